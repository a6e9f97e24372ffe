"""Sockets of a daemon, with sending paced to the rate of the link."""

import enum
import errno
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from msgspec import Struct, field

from notchhoist.base import datagrams
from notchhoist.base.errors import AddressError
from notchhoist.daemon.http_port import open_listener
from notchhoist.daemon.loop import Loop, Timer
from notchhoist.flows.model.records import Records, Timing
from notchhoist.links.packets import Address, Outgoing
from notchhoist.links.scheduler import LinkScheduler

MIN_SEND_INTERVAL_S = 0.005
"""Shortest time between two sends from the backlog, seconds. A wake-up costs
processor time, and the link's own queue holds 0.02 s of earlier datagrams."""


class SocketRole(enum.IntEnum):
    """Purpose of a socket.

    Attributes:
        PACKETS: Callers' packets (balancer) or the backend server's (agent).
        PEERS: Packets between balancers and agents.
        CONTROL: Control messages.
    """

    PACKETS = 0
    PEERS = 1
    CONTROL = 2


class HostSockets(Struct, frozen=True):
    """The sockets that a process needs in order to serve.

    Attributes:
        datagrams: The sockets for datagrams, by ``SocketRole``.
        readiness: Listens for readiness checks.
    """

    datagrams: tuple[socket.socket, ...]
    readiness: socket.socket


def open_host_sockets(
    udp_addresses: Sequence[Address], readiness: Address
) -> HostSockets:
    """Opens all sockets that a process needs, or none of them.

    Args:
        udp_addresses: Addresses to bind, by ``SocketRole``.
        readiness: Address of the readiness check.

    Raises:
        AddressError: An address cannot be bound.
    """
    opened: list[socket.socket] = []
    try:
        for address in udp_addresses:
            with _naming("udp", address):
                opened.append(datagrams.open_socket(address))
        with _naming("tcp", readiness):
            opened.append(open_listener(readiness))
    except AddressError:
        for sock in opened:
            sock.close()
        raise
    return HostSockets(tuple(opened[:-1]), opened[-1])


@contextmanager
def _naming(protocol: str, address: Address) -> Iterator[None]:
    """Turns errors of the system into errors that name an address."""
    try:
        yield
    except OSError as error:
        raise AddressError(
            f"{protocol} {address[0]}:{address[1]}",
            str(error),
            error.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL),
        ) from error


class Ports(Struct, eq=False):
    """Sends datagrams no faster than the link carries them.

    Attributes:
        loop: The event loop.
        sockets: The sockets, by ``SocketRole``.
        link: Decides which datagrams are sent now.
        records: Records how long datagrams waited.
        timer: Next send from the backlog.
    """

    loop: Loop
    sockets: tuple[socket.socket, ...]
    link: LinkScheduler
    records: Records
    timer: Timer = field(default_factory=lambda: Timer(float("inf"), None))

    def send(
        self,
        port: SocketRole,
        datagram: bytes,
        to: Address,
        flow: bytes = b"",
        seq: int = 0,
    ) -> None:
        """Sends a datagram to another host, at once or from the backlog."""
        if not self.link.rate:
            datagrams.send(self.sockets[port], datagram, to)
            return
        now = self.loop.clock()
        packet = Outgoing(port, datagram, to, flow, seq, now)
        if self.link.offer(packet, now) is not None:
            datagrams.send(self.sockets[port], datagram, to)
        else:
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        if self.timer.callback is not None or not self.link.waiting:
            return
        when = max(self.link.due(), now + MIN_SEND_INTERVAL_S)
        self.timer = self.loop.call_at(when, self._send_waiting)

    def _send_waiting(self) -> None:
        self.timer = Timer(float("inf"), None)
        now = self.loop.clock()
        try:
            for packet in self.link.take(now):
                self._send_packet(packet, now)
        finally:
            self._schedule(now)

    def _send_packet(self, packet: Outgoing, now: float) -> None:
        datagrams.send(self.sockets[packet.port], packet.datagram, packet.to)
        self.records.observe(Timing.LINK, "", "sent", now - packet.since)
