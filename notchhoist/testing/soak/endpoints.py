"""Endpoints of flows in a run: callers and backend servers."""

import random
import socket
from functools import partial

import attrs

from notchhoist.base import datagrams
from notchhoist.daemon.loop import Loop
from notchhoist.testing.opaque.callers import CallerModel
from notchhoist.testing.opaque.frames import (
    SYN,
    Address,
    Frame,
    decode_frame,
    encode_frame,
    is_genuine,
)
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.servers import ServerModel
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.routers import Routers

KEY = b"not told to the daemons"
CALLERS_PER_ZONE = 4
DRAIN_S = 3.0
"""A draining server must get no new flow after this time, seconds."""

RETRANSMISSION_S = 0.7
"""Allowance for retransmissions, seconds: that of an opening packet arrives up
to 0.6 s after the original."""


@attrs.define(eq=False)
class ServerHost:
    """A host with a backend server and an agent.

    Attributes:
        daemon: The agent.
        slots: Limit of concurrent requests at the server.
        server: The current or last server, None before the first.
        packets: Its UDP socket.
        listener: Its TCP socket, for liveness checks.
        draining_since: When it announced its drain, seconds.
    """

    daemon: Daemon
    slots: int
    server: ServerModel | None = None
    packets: socket.socket | None = None
    listener: socket.socket | None = None
    draining_since: float = float("inf")

    @property
    def ip(self) -> str:
        """IP address in its published entry."""
        return self.daemon.advertised_ip

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self.daemon.zone


@attrs.define(eq=False)
class Endpoints:
    """All callers and backend servers of a run.

    Attributes:
        loop: The event loop.
        rng: Source of all random draws.
        judge: Checks what callers and servers observe.
        routers: Pick the balancers for callers' packets.
        requests: Kind of each request by its number.
        callers: Caller models by zone.
        server_hosts: Hosts of backend servers.
        sockets: The callers' sockets by IP address.
        servers_started: Number of servers started so far, for new ids.
        unrouted: Service ports whose routes are dropped.
    """

    loop: Loop
    rng: random.Random
    judge: Judge
    routers: Routers
    requests: dict[int, Workload] = attrs.Factory(dict)
    callers: dict[str, CallerModel] = attrs.Factory(dict)
    server_hosts: list[ServerHost] = attrs.Factory(list)
    sockets: dict[str, socket.socket] = attrs.Factory(dict)
    servers_started: int = 0
    unrouted: set[int] = attrs.Factory(set)

    def _later(self, delay: float, action: object) -> None:
        self.loop.call_later(delay, action)  # type: ignore[arg-type]

    def add_callers(self, zone: str, hosts: list[str]) -> None:
        """Adds the callers of a zone.

        Raises:
            OSError: An address cannot be bound.
        """
        model = CallerModel(
            zone=zone,
            hosts=hosts,
            rng=random.Random(self.rng.random()),
            judge=self.judge,
            send=lambda frame: self._from_caller(zone, frame),
            later=self._later,
            register=self._register,
            is_alive=self._is_alive,
        )
        self.callers[zone] = model
        for host in hosts:
            sock = datagrams.open_socket((host, addresses.PACKETS_PORT))
            self.sockets[host] = sock
            self.loop.on_readable(sock, partial(self._to_caller, model, sock))

    def _register(self, workload: Workload) -> int:
        number = len(self.requests) + 1
        self.requests[number] = workload
        return number

    def _is_alive(self, caller: Address, service: Address) -> bool:
        """Tells whether a flow is alive, so that a reset needs an excuse."""
        return service[1] not in self.unrouted and any(
            server_host.server is not None
            and server_host.server.holds((caller, service))
            for server_host in self.server_hosts
        )

    def _from_caller(self, zone: str, frame: Frame) -> None:
        daemon = self.routers.pick(zone, f"{frame.src}{frame.dst}")
        if daemon is None:
            return
        raw = encode_frame(frame, KEY)
        to = (daemon.bound_ip, addresses.PACKETS_PORT)
        datagrams.send(self.sockets[frame.src[0]], raw, to)

    def _to_caller(self, model: CallerModel, sock: socket.socket) -> None:
        for raw, _ in datagrams.receive_batch(sock):
            now = self.loop.clock()
            frame = self._decode(raw, "MIXED", now)
            if frame is not None:
                model.on_frame(frame, now)

    def _decode(self, raw: bytes, rule: str, now: float) -> Frame | None:
        """Decodes a packet; a malformed or forged one violates a rule."""
        try:
            frame = decode_frame(raw)
        except ValueError as error:
            self.judge.break_rule(rule, str(error), now)
            return None
        own_reset = rule == "MIXED" and frame.checksum == 0
        if not own_reset and not is_genuine(frame, KEY):
            self.judge.break_rule(rule, f"forged packet {frame.src}", now)
            return None
        return frame

    def start_server(
        self, server_host: ServerHost, server_id: str = ""
    ) -> ServerModel:
        """Starts a new incarnation of a backend server.

        Args:
            server_host: Host of the server.
            server_id: Id of the server; empty for a new one.

        Raises:
            OSError: Its address cannot be bound.
        """
        self.servers_started += 1
        address = (server_host.daemon.bound_ip, addresses.SERVER_PORT)
        packets = datagrams.open_socket(address)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen()
        to_agent = (server_host.daemon.bound_ip, addresses.OUTBOUND_PORT)
        server = ServerModel(
            server_id=server_id or f"i{self.servers_started:05}",
            service=server_host.daemon.service,
            rng=random.Random(self.rng.random()),
            judge=self.judge,
            send=lambda frame: self._send(packets, frame, to_agent),
            later=self._later,
            workloads=self.requests,
            slots=server_host.slots,
            started_at=self.loop.clock(),
            zone=server_host.zone,
        )
        server_host.server = server
        server_host.packets, server_host.listener = packets, listener
        server_host.draining_since = float("inf")
        self.loop.on_readable(
            packets, lambda: self._to_server(server_host, packets)
        )
        self.loop.on_readable(listener, lambda: _accept_and_close(listener))
        return server

    def _send(self, sock: socket.socket, frame: Frame, to: Address) -> None:
        datagrams.send(sock, encode_frame(frame, KEY), to)

    def _to_server(self, server_host: ServerHost, sock: socket.socket) -> None:
        for raw, _ in datagrams.receive_batch(sock):
            now = self.loop.clock()
            frame = self._decode(raw, "UNASKED", now)
            if frame is not None and server_host.server is not None:
                self._check_draining(
                    server_host, server_host.server, frame, now
                )
                server_host.server.on_frame(frame, now)

    def _check_draining(
        self,
        server_host: ServerHost,
        server: ServerModel,
        frame: Frame,
        now: float,
    ) -> None:
        late = now - server_host.draining_since > DRAIN_S + RETRANSMISSION_S
        if frame.flags & SYN and late and self.judge.is_calm(now):
            text = f"{server.server_id} left long ago and gets a flow"
            self.judge.break_rule("DRAIN", text, now)

    def crash_server(self, server_host: ServerHost) -> None:
        """Stops a backend server abruptly, without a drain."""
        if server_host.server is not None:
            server_host.server.alive = False
        for sock in (server_host.packets, server_host.listener):
            if sock is not None:
                self.loop.stop_watching(sock)
                sock.close()
        server_host.packets = server_host.listener = None

    def tick(self, now: float) -> None:
        """Sends the retransmissions that are due."""
        for model in self.callers.values():
            model.tick(now)
        for server_host in self.server_hosts:
            if server_host.server is not None and server_host.server.alive:
                server_host.server.tick(now)

    def close(self) -> None:
        """Stops all servers and closes all sockets."""
        for server_host in self.server_hosts:
            self.crash_server(server_host)
        for sock in self.sockets.values():
            self.loop.stop_watching(sock)
            sock.close()


def _accept_and_close(listener: socket.socket) -> None:
    """Accepts a connection of a liveness check and closes it."""
    try:
        sock, _ = listener.accept()
    except OSError:
        return  # The connection was aborted before the accept.
    sock.close()
