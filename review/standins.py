"""Stand-ins for the platform, the backends and the clients of a small site.

They speak what the users' page PROTOCOL.md says, use the standard library
only, and run in one process. The project's own programs run beside it as
separate processes, started with the commands of ``deploy/system.toml``.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SYN, RST, FIN, BOUNCED, ACK = 1, 2, 4, 32, 64
HEAD = struct.Struct(">IIIBBIHH4s4sH")
KEY = b"the key is not told"
MODULUS = 1 << 32
MAX_DATA = 1200
WINDOW = 16
METRICS_PORT = 9464
HEARTBEAT_S = 1.2
CONTACT_S = 4.0
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "max_flow_s": 60,
}
Address = tuple[str, int]


@dataclass(frozen=True)
class Packet:
    """One packet of a flow, as the page lays it out."""

    src: Address
    dst: Address
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    sum: int = 0

    def encode(self) -> bytes:
        """Returns the bytes of the packet with its keyed sum."""
        covered = self._pack(0, self.flags & ~BOUNCED, 0)
        total = zlib.crc32(covered, zlib.crc32(KEY))
        return self._pack(self.echo, self.flags, total)

    def _pack(self, echo: int, flags: int, total: int) -> bytes:
        head = HEAD.pack(
            echo,
            self.seq,
            self.ack,
            flags,
            0,
            total,
            self.src[1],
            self.dst[1],
            socket.inet_aton(self.dst[0]),
            socket.inet_aton(self.src[0]),
            len(self.data),
        )
        return head + self.data

    def is_genuine(self) -> bool:
        """Tells whether the sum is that of the content."""
        covered = self._pack(0, self.flags & ~BOUNCED, 0)
        return self.sum == zlib.crc32(covered, zlib.crc32(KEY))


def decode(raw: bytes) -> Packet:
    """Returns the packet in some bytes."""
    echo, seq, ack, flags, _, total, sport, dport, dst, src, size = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    if len(data) != size:
        raise ValueError("the length is wrong")
    return Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        seq,
        ack,
        data,
        echo,
        total,
    )


class Stream:
    """One end of an open flow: sends again what is not acknowledged."""

    def __init__(
        self, emit: Callable[[int, int, int, bytes], None], seq: int, ack: int
    ) -> None:
        """Creates the end with its next numbers to send and to expect."""
        self.emit = emit
        self.seq = seq
        self.ack = ack
        self.sent: dict[int, list[Any]] = {}
        self.unsent: list[tuple[bytes, int]] = []
        self.early: dict[int, tuple[bytes, int]] = {}
        self.peer_closed = False
        self.tries_max = 1000

    def write(self, data: bytes, now: float, fin: bool = False) -> None:
        """Sends bytes, and then FIN if the stream ends."""
        for start in range(0, len(data), MAX_DATA):
            self.unsent.append((data[start : start + MAX_DATA], 0))
        if fin:
            self.unsent.append((b"", FIN))
        self._fill(now)

    def _fill(self, now: float) -> None:
        while self.unsent and len(self.sent) < WINDOW:
            data, flags = self.unsent.pop(0)
            self.sent[self.seq] = [data, flags, now + 0.2, 0.2, 0]
            self.emit(flags | ACK, self.seq, self.ack, data)
            length = len(data) + (1 if flags & FIN else 0)
            self.seq = (self.seq + length) % MODULUS

    def on_packet(self, packet: Packet, now: float) -> bytes:
        """Takes a packet of the other end; returns the bytes in order."""
        for seq, item in list(self.sent.items()):
            end = (seq + len(item[0]) + (1 if item[1] & FIN else 0)) % MODULUS
            if (packet.ack - end) % MODULUS < MODULUS // 2:
                del self.sent[seq]
        self._fill(now)
        if not packet.data and not packet.flags & FIN:
            return b""
        if (packet.seq - self.ack) % MODULUS < MODULUS // 2:
            self.early[packet.seq] = (packet.data, packet.flags & FIN)
        received = b""
        while self.ack in self.early:
            data, fin = self.early.pop(self.ack)
            received += data
            self.peer_closed = self.peer_closed or bool(fin)
            self.ack = (self.ack + len(data) + (1 if fin else 0)) % MODULUS
        self.emit(ACK, self.seq, self.ack, b"")
        return received

    def tick(self, now: float) -> bool:
        """Sends again what is due; returns False once it has given up."""
        for seq, item in list(self.sent.items()):
            if now < item[2]:
                continue
            if item[4] >= self.tries_max:
                return False
            item[4] += 1
            item[3] = min(1.6, item[3] * 2)
            item[2] = now + item[3]
            self.emit(item[1] | ACK, seq, self.ack, item[0])
        return True


def read_message(data: bytes) -> tuple[str, dict[str, str], bytes, int] | None:
    """Returns first line, headers, body and length of an HTTP message."""
    head, found, _ = data.partition(b"\r\n\r\n")
    if not found:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    start = len(head) + 4
    size = int(headers.get("content-length", "0"))
    if len(data) < start + size:
        return None
    return lines[0], headers, data[start : start + size], start + size


class Record:
    """Writes down what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Opens the record anew."""
        self.file = path.open("w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line with the time since the start."""
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)


class Store:
    """The platform's store: ``/kv-key``, ``/kv-range`` and ``/kv-watch``.

    ``down`` makes it silent for all daemons.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 10
        self.down = False
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begins to serve at an address."""
        self.server = await asyncio.start_server(self._serve, *address)

    def put(self, key: str, value: object) -> None:
        """Writes an item, which is acknowledged when this returns."""
        self.revision += 1
        known = self.items.get(key)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                if self.down:
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                )
                writer.write(text)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            return  # The deployment ends.
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.004)
        path, _, text = target.partition("?")
        query = dict(item.partition("=")[::2] for item in text.split("&"))
        prefix = query.get("path_prefix", "")
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item) if item else (404, {})
        if path == "/kv-range":
            after = query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            body = {"items": items[:500], "more_pages": len(items) > 500}
            return 200, body | {"as_of": self.revision}
        after_revision = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after_revision
                and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if (events and not self.down) or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except TimeoutError:
                continue


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_packet: Callable[[bytes], None]) -> None:
        self.on_packet = on_packet

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hands on a datagram."""
        self.on_packet(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listened to an earlier datagram."""


async def open_udp(
    address: Address, on_packet: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Opens a UDP socket at an address."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(on_packet), local_addr=address
    )
    return transport


@dataclass
class Held:
    """A flow at a backend; it is open once ``stream`` is there."""

    caller: Address
    service: Address
    first: int
    peer: int
    stream: Stream | None = None
    data: bytes = b""
    due: float = 0.0
    wait: float = 0.2
    tries: int = 0


class Backend:
    """One incarnation of a backend; works on every request at once."""

    def __init__(
        self, lab: "Lab", machine: "Machine", server_id: str, service: str
    ) -> None:
        """Creates a backend that does not run yet."""
        self.lab = lab
        self.machine = machine
        self.server_id = server_id
        self.service = service
        self.flows: dict[tuple[Address, Address], Held] = {}
        self.alive = False
        self.work_s = 0.03
        self.written: dict[str, Any] = {}
        self.started_at = 0.0

    async def start(self) -> None:
        """Opens its sockets and writes its entry."""
        address = (self.machine.bound, self.lab.app_port)
        self.udp = await open_udp(address, self._on_datagram)
        self.tcp = await asyncio.start_server(self._on_health, *address)
        self.alive = True
        self.started_at = time.monotonic()
        self.lab.record(f"backend {self.server_id} of {self.service} starts")
        self.lab.spawn(self._beat())
        self.lab.spawn(self._tick())

    def crash(self) -> None:
        """Ends at once and forgets its flows."""
        self.alive = False
        self.udp.close()
        self.tcp.close()
        self.flows.clear()
        self.lab.record(f"backend {self.server_id} of {self.service} crashes")
        self.lab.spawn(self._lapse())

    async def _lapse(self) -> None:
        """Removes its entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        while self.lab.store.down:
            await asyncio.sleep(0.05)
        self.lab.store.remove(f"servers/{self.server_id}")

    async def _beat(self) -> None:
        while self.alive:
            if self.lab.is_cut(self.machine):
                await self._lapse_unless_healed()
            if not self.lab.store.down:
                cold = self.started_at + 2.0 - time.monotonic()
                entry = {
                    "service": self.service,
                    "address": f"{self.machine.ip}:{self.lab.app_port}",
                    "zone": self.lab.zone,
                    "version": "v1",
                    "slots": 5,
                    "state": "ready",
                    "cold_remaining_ms": int(max(0.0, cold) * 1000),
                    "seq": 1,
                }
                if not self.written:
                    self.lab.store.put(f"servers/{self.server_id}", entry)
                    self.lab.record(f"entry of {self.server_id} is written")
                self.written = entry
            # While the store is down, tries again soon after its return.
            await asyncio.sleep(0.2 if self.lab.store.down else HEARTBEAT_S)

    async def _lapse_unless_healed(self) -> None:
        """Waits for the end of a cut; its entry goes after three heartbeats."""
        silent_since = time.monotonic() - HEARTBEAT_S
        while self.lab.is_cut(self.machine):
            await asyncio.sleep(0.05)
            silent_s = time.monotonic() - silent_since
            if self.written and silent_s >= 3 * HEARTBEAT_S:
                self.lab.store.remove(f"servers/{self.server_id}")
                self.lab.record(f"entry of {self.server_id} is removed")
                self.written = {}

    async def _on_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _send(self, packet: Packet) -> None:
        if self.alive:
            to = (self.machine.bound, self.lab.outbound_port)
            self.udp.sendto(packet.encode(), to)

    def _emit(
        self, held: Held, flags: int, seq: int, ack: int, data: bytes
    ) -> None:
        self._send(Packet(held.service, held.caller, flags, seq, ack, data))

    def _on_datagram(self, raw: bytes) -> None:
        if not self.alive:
            return
        packet = decode(raw)
        now = time.monotonic()
        if not packet.is_genuine():
            self.lab.break_rule("UNASKED", f"forged packet at {self.server_id}")
            return
        ends = (packet.src, packet.dst)
        held = self.flows.get(ends)
        if packet.flags & SYN:
            if held is None:
                first = random.getrandbits(32)
                peer = (packet.seq + 1) % MODULUS
                held = Held(packet.src, packet.dst, first, peer, due=now + 0.2)
                self.flows[ends] = held
                self.lab.on_opening(self, packet)
            if held.stream is None:
                self._emit(held, SYN | ACK, held.first, held.peer, b"")
        elif held is None:
            self._send(
                Packet(
                    packet.src,
                    packet.dst,
                    packet.flags | BOUNCED,
                    packet.seq,
                    packet.ack,
                    packet.data,
                    packet.echo,
                )
            )
        elif packet.flags & RST:
            del self.flows[ends]
        else:
            self._on_packet(held, packet, now)

    def _on_packet(self, held: Held, packet: Packet, now: float) -> None:
        if held.stream is None:
            if packet.ack != (held.first + 1) % MODULUS:
                bounced = Packet(
                    packet.src,
                    packet.dst,
                    packet.flags | BOUNCED,
                    packet.seq,
                    packet.ack,
                    packet.data,
                    packet.echo,
                )
                self._send(bounced)
                return
            held.stream = Stream(
                lambda *args: self._emit(held, *args),
                (held.first + 1) % MODULUS,
                held.peer,
            )
            held.stream.tries_max = 8
        held.data += held.stream.on_packet(packet, now)
        while (message := read_message(held.data)) is not None:
            line, headers, _, size = message
            held.data = held.data[size:]
            self.lab.spawn(self._run(held, line, headers))

    async def _run(
        self, held: Held, line: str, headers: dict[str, str]
    ) -> None:
        number = headers.get("notchhoist-request-id", "")
        self.lab.on_run(self, number, line)
        await asyncio.sleep(self.work_s)
        if not self.alive or held.stream is None:
            return
        body = f"{number} by {self.server_id}".encode()
        text = (
            f"HTTP/1.1 200 OK\r\nNotchhoist-Server-Stamp: {self.server_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        held.stream.write(text.encode() + body, time.monotonic())

    async def _tick(self) -> None:
        while self.alive:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for ends, held in list(self.flows.items()):
                if held.stream is not None:
                    if not held.stream.tick(now):
                        self.flows.pop(ends, None)
                elif now >= held.due:
                    held.tries += 1
                    held.wait = min(1.6, held.wait * 2)
                    held.due = now + held.wait
                    if held.tries > 8:
                        self.flows.pop(ends, None)
                        continue
                    self._emit(held, SYN | ACK, held.first, held.peer, b"")

    def holds(self, caller: Address, service: Address) -> bool:
        """Tells whether it lives and has the flow open."""
        held = self.flows.get((caller, service))
        return self.alive and held is not None and held.stream is not None


class Machine:
    """A machine with one process of the system."""

    def __init__(self, lab: "Lab", name: str, kind: str, number: int) -> None:
        """Creates a machine whose process does not run yet."""
        self.lab = lab
        self.name = name
        self.kind = kind
        self.bound = f"{lab.prefix}.1.{number}"
        # Behind a proxy, others know a machine by an address of the proxy.
        part = 5 if lab.proxied else 1
        self.ip = f"{lab.prefix}.{part}.{number}"
        self.service = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.starts = 0
        self.misses = 2

    def write_settings(self, bootstrap: bool) -> Path:
        """Writes its settings file as the page lays it out."""
        lab = self.lab
        listen = {
            "datagram_addr": f"{self.bound}:{lab.packet_port}",
            "ready": f"{self.bound}:{lab.ready_port}",
        }
        settings: dict[str, Any] = {
            "node": self.name,
            "class": self.kind,
            "ip": self.ip,
            "bind_ip": self.bound,
            "zone": lab.zone,
            "region": "whanganui",
            "zones": {lab.zone: "whanganui"},
            "listen": listen,
            "internal_ports": [lab.inner_port, lab.inner_port + 15],
            "seeds": [f"{m.ip}:{lab.control_port}" for m in lab.fronts[:3]],
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "announce",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": [
                *("base", "drain", "config", "cost", "recover", "flows"),
                "platform",
            ],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "hash": "mod",
            "encap": "agent",
            "platform": {
                "address": f"{lab.store_address[0]}:{lab.store_address[1]}",
                "encap": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "max_value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        if self.kind == "front":
            settings |= {"role": "balancer", "serves": ["front", "control"]}
            listen["control"] = f"{self.bound}:{lab.control_port}"
        else:
            settings |= {"role": "agent", "serves": ["side"]}
            settings["service"] = self.service
            settings["app"] = f"{self.bound}:{lab.app_port}"
            listen["outbound"] = f"{self.bound}:{lab.outbound_port}"
        path = lab.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def start(self) -> None:
        """Starts its process with the command of the deploy file."""
        path = self.write_settings(bootstrap=self.lab.bootstrap)
        role = "balancer" if self.kind == "front" else "agent"
        command = self.lab.deploy["roles"][role]["run"].split()
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        variables = {k: v for k, v in os.environ.items() if k in kept}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["NOTCHHOIST_NODE_FILE"] = str(path)
        log = (self.lab.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=variables, stdout=log, stderr=log
        )
        log.close()
        self.started_at = time.monotonic()
        self.starts += 1
        self.lab.record(f"process on {self.name} starts")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.lab.record(f"{number.name} to the process on {self.name}")

    def kill(self) -> None:
        """Kills its process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None
        self.misses = 2


class Proxy:
    """Stands before a machine; drops all datagrams of a machine cut off.

    It passes on datagrams between daemons, and takes the connections by which
    a daemon checks whether a host is there. While the machine is cut off, such
    connections hang, as its queue of new connections is kept full.
    """

    def __init__(self, lab: "Lab", machine: Machine) -> None:
        """Creates the proxy of a machine."""
        self.lab = lab
        self.machine = machine
        self.cut = False
        self.udp: dict[int, asyncio.DatagramTransport] = {}
        self.server: asyncio.Server | None = None
        self.blocked: list[socket.socket] = []

    async def open(self) -> None:
        """Opens the proxy's sockets."""
        loop = asyncio.get_running_loop()
        for port in (self.lab.inner_port, self.lab.inner_port + 1):
            transport, _ = await loop.create_datagram_endpoint(
                lambda port=port: _Relay(self, port),
                local_addr=(self.machine.ip, port),
            )
            self.udp[port] = transport
        await self._open_port()

    def on_datagram(self, raw: bytes, source: str, port: int) -> None:
        """Passes on a datagram that a daemon sent to this machine."""
        sender = self.lab.proxies.get(source)
        if sender is None or self.cut or sender.cut:
            return
        sender.udp[port].sendto(raw, (self.machine.bound, port))

    async def _open_port(self) -> None:
        self.server = await asyncio.start_server(
            lambda _, writer: writer.close(), self.machine.ip, METRICS_PORT
        )

    def close_port(self) -> None:
        """Closes the port for checks."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for sock in self.blocked:
            sock.close()
        self.blocked = []

    async def set_cut(self, cut: bool) -> None:
        """Cuts the machine off from all others, or ends that."""
        self.lab.record(f"{self.machine.name} cut off: {cut}")
        self.cut = cut
        self.close_port()
        if not cut:
            await self._open_port()
            return
        self.block_port()

    def block_port(self) -> None:
        """Makes connections for checks hang."""
        address = (self.machine.ip, METRICS_PORT)
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(address)
        full.listen(0)
        self.blocked = [full]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.blocked.append(filler)


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, proxy: Proxy, port: int) -> None:
        self.proxy = proxy
        self.port = port

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes on a datagram."""
        self.proxy.on_datagram(data, addr[0], self.port)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listened to an earlier datagram."""


@dataclass
class Flow:
    """A flow at its client."""

    own: Address
    service: Address
    first: int
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    stream: Stream | None = None
    data: bytes = b""
    answers: list[str] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    reset_by: str = ""
    reset_at: float = 0.0
    opened_at: float = 0.0


class Clients:
    """All clients of the site; they share one address."""

    def __init__(self, lab: "Lab") -> None:
        """Creates clients without flows."""
        self.lab = lab
        self.ip = f"{lab.prefix}.2.1"
        self.flows: dict[Address, Flow] = {}
        self.next_port = 40_000
        self.number = 0

    async def start(self) -> None:
        """Opens the socket and begins to send again what is lost."""
        self.udp = await open_udp(
            (self.ip, self.lab.packet_port), self._on_datagram
        )
        self.lab.spawn(self._tick())

    async def open(self, service: Address) -> Flow | None:
        """Opens a flow; returns None if the attempt fails."""
        self.next_port += 1
        flow = Flow((self.ip, self.next_port), service, random.getrandbits(32))
        self.flows[flow.own] = flow
        started = time.monotonic()
        for copies, at in enumerate((0.0, 0.2, 0.6)):
            await self._until(flow, started + at)
            if flow.opened.is_set() or flow.ended.is_set():
                break
            syn = Packet(flow.own, service, SYN, flow.first, copies)
            self.lab.route(syn, self.udp)
        await self._until(flow, started + 1.4)
        if flow.opened.is_set():
            return flow
        flow.ended.set()
        self.flows.pop(flow.own, None)
        return None

    async def _until(self, flow: Flow, when: float) -> None:
        while time.monotonic() < when:
            if flow.opened.is_set() or flow.ended.is_set():
                return
            await asyncio.sleep(0.005)

    async def ask(self, flow: Flow, path: str, timeout_s: float) -> str:
        """Sends a request on a flow; returns how it ended."""
        self.number += 1
        number = f"r{self.number}"
        self.lab.record(f"client {flow.own[1]} sends {number} for {path}")
        flow.answered.clear()
        if flow.stream is not None and not flow.ended.is_set():
            text = (
                f"POST {path} HTTP/1.1\r\nNotchhoist-Request-Id: {number}\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            flow.stream.write(text.encode(), time.monotonic())
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if flow.answered.is_set() or flow.ended.is_set():
                break
            await asyncio.sleep(0.005)
        if flow.answered.is_set():
            outcome = f"answered: {flow.answers[-1]}"
            if not flow.answers[-1].startswith(f"{number} "):
                self.lab.break_rule("MIXED", f"{number}: {outcome}")
        elif flow.ended.is_set():
            outcome = f"reset by the {flow.reset_by}"
        else:
            outcome = "no answer in time"
        self.lab.record(f"client {flow.own[1]}: {number} {outcome}")
        return outcome

    async def close(self, flow: Flow) -> None:
        """Closes a flow with FIN."""
        if flow.stream is not None and not flow.ended.is_set():
            flow.stream.write(b"", time.monotonic(), fin=True)
            await asyncio.sleep(0.3)
        flow.ended.set()
        self.flows.pop(flow.own, None)

    def _on_datagram(self, raw: bytes) -> None:
        packet = decode(raw)
        now = time.monotonic()
        flow = self.flows.get(packet.dst)
        own_reset = packet.flags == RST and packet.sum == 0
        if not own_reset and not packet.is_genuine():
            self.lab.break_rule("MIXED", "a client got a forged packet")
            return
        if flow is None or flow.ended.is_set():
            return
        if packet.flags & RST:
            flow.reset_by = "system" if own_reset else "backend"
            flow.reset_at = now
            flow.ended.set()
            self.lab.on_reset(flow, own_reset)
        elif packet.flags & SYN:
            if flow.stream is None:
                flow.stream = Stream(
                    lambda f, s, a, d: self.lab.route(
                        Packet(flow.own, flow.service, f, s, a, d), self.udp
                    ),
                    (flow.first + 1) % MODULUS,
                    (packet.seq + 1) % MODULUS,
                )
                flow.opened_at = now
                flow.stream.emit(ACK, flow.stream.seq, flow.stream.ack, b"")
                flow.opened.set()
        elif flow.stream is not None:
            flow.data += flow.stream.on_packet(packet, now)
            while (message := read_message(flow.data)) is not None:
                flow.data = flow.data[message[3] :]
                flow.answers.append(message[2].decode())
                flow.answered.set()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for flow in list(self.flows.values()):
                if flow.stream is not None and not flow.ended.is_set():
                    flow.stream.tick(time.monotonic())


class Lab:
    """A small deployment on loopback addresses and what is seen there."""

    zone = "war-memorial"

    def __init__(self, record: Path, proxied: bool = False) -> None:
        """Chooses addresses and ports that are free."""
        self.proxied = proxied
        self.proxies: dict[str, Proxy] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(record)
        self.deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.bootstrap = True
        self.broken: list[str] = []
        self.fronts: list[Machine] = []
        self.sides: list[Machine] = []
        self.backends: list[Backend] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.prefix = self._free_prefix()
        self.store_address = (f"{self.prefix}.3.1", self.ports[6])
        self.store = Store()
        self.clients = Clients(self)
        self.on_opening: Callable[[Backend, Packet], None] = lambda *_: None
        self.on_run: Callable[[Backend, str, str], None] = self._note_run
        self.on_reset: Callable[[Flow, bool], None] = lambda *_: None

    def _free_prefix(self) -> str:
        for _ in range(100):
            prefix = f"127.{random.randint(214, 250)}"
            base = random.randint(20_000, 30_000)
            self.ports = [base + 20 * item for item in range(8)]
            hosts = [f"{prefix}.{p}.{n}" for p in (1, 5) for n in range(1, 12)]
            hosts += [f"{prefix}.2.1", f"{prefix}.3.1"]
            if all(_is_free(host, port) for host in hosts for port in self.all):
                return prefix
        raise OSError("no free addresses")

    @property
    def all(self) -> list[int]:
        """All ports that the deployment may use."""
        inner = [self.ports[5], self.ports[5] + 1]
        return [*self.ports[:5], *inner, self.ports[6], METRICS_PORT]

    @property
    def packet_port(self) -> int:
        """Port of ``datagram_addr``."""
        return self.ports[0]

    @property
    def ready_port(self) -> int:
        """Port of ``ready``."""
        return self.ports[1]

    @property
    def control_port(self) -> int:
        """Port of ``control``."""
        return self.ports[2]

    @property
    def outbound_port(self) -> int:
        """Port of ``outbound``."""
        return self.ports[3]

    @property
    def app_port(self) -> int:
        """Port of a backend."""
        return self.ports[4]

    @property
    def inner_port(self) -> int:
        """First port for what daemons say to one another."""
        return self.ports[5]

    def spawn(self, work: Awaitable[None]) -> None:
        """Runs something beside the rest until the deployment ends."""
        self.tasks.append(asyncio.ensure_future(work))  # type: ignore[arg-type]

    def break_rule(self, rule: str, text: str) -> None:
        """Writes down that a rule was broken."""
        self.broken.append(rule)
        self.record(f"BROKEN {rule}: {text}")

    def _note_run(self, backend: Backend, number: str, line: str) -> None:
        self.record(
            f"backend {backend.server_id} of {backend.service} runs {number}"
            f" ({line})"
        )

    def add_front(self) -> Machine:
        """Adds a front machine."""
        number = len(self.fronts) + 1
        machine = Machine(self, f"front-{number}", "front", number)
        self.fronts.append(machine)
        return machine

    def add_side(self, service: str) -> Machine:
        """Adds a side machine with its backend, neither started."""
        number = len(self.sides) + 5
        machine = Machine(self, f"side-{number}", "side", number)
        machine.service = service
        self.sides.append(machine)
        self.add_backend(machine, service)
        return machine

    def add_backend(self, machine: Machine, service: str) -> Backend:
        """Adds a new backend on a machine, not started."""
        name = f"i{len(self.backends) + 1}"
        backend = Backend(self, machine, name, service)
        self.backends.append(backend)
        return backend

    async def start(self) -> None:
        """Starts everything and waits until all daemons are in."""
        await self.store.listen(self.store_address)
        await self.clients.start()
        for backend in self.backends:
            await backend.start()
        for machine in [*self.fronts, *self.sides]:
            await self.add_proxy(machine)
            machine.start()
        self.bootstrap = False
        self.spawn(self._watch_readiness())
        await self.wait_ready(10.0)
        await asyncio.sleep(1.0)

    async def add_proxy(self, machine: Machine) -> None:
        """Opens the proxy of a machine if the deployment has proxies."""
        if self.proxied:
            self.proxies[machine.bound] = Proxy(self, machine)
            await self.proxies[machine.bound].open()

    async def silence(self, machine: Machine) -> None:
        """Makes checks of a machine without power hang, as on the page."""
        blocked = Proxy(self, machine)
        self.proxies[f"no power {machine.name}"] = blocked
        blocked.block_port()

    async def wait_ready(self, limit_s: float) -> None:
        """Waits until every front daemon is in.

        Raises:
            TimeoutError: One is still out after the limit.
        """
        ends_at = time.monotonic() + limit_s
        while any(machine.misses for machine in self.fronts):
            if time.monotonic() > ends_at:
                raise TimeoutError("a front daemon is not ready")
            await asyncio.sleep(0.05)

    async def _watch_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(item) for item in self.fronts))
            await asyncio.sleep(0.5)

    async def _probe(self, machine: Machine) -> None:
        try:
            status = await asyncio.wait_for(self._ready_of(machine), 0.4)
        except (OSError, TimeoutError, IndexError):
            status = 0
        machine.misses = 0 if status == 200 else machine.misses + 1

    async def _ready_of(self, machine: Machine) -> int:
        reader, writer = await asyncio.open_connection(
            machine.bound, self.ready_port
        )
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()

    def is_cut(self, machine: Machine) -> bool:
        """Tells whether a machine is cut off from all others."""
        proxy = self.proxies.get(machine.bound)
        return proxy is not None and proxy.cut

    def route(self, packet: Packet, udp: asyncio.DatagramTransport) -> None:
        """Hands a client's packet to a daemon, as the routers do."""
        ready = [item for item in self.fronts if item.misses < 2]
        if 2 * len(ready) < len(self.fronts):
            ready = self.fronts
        key = f"{packet.src}{packet.dst}".encode()
        chosen = ready[zlib.crc32(key) % len(ready)]
        udp.sendto(packet.encode(), (chosen.bound, self.packet_port))

    def close(self) -> None:
        """Ends all processes that were started, and removes the folder."""
        for machine in [*self.fronts, *self.sides]:
            machine.kill()
        for proxy in self.proxies.values():
            proxy.close_port()
        for task in self.tasks:
            task.cancel()
        kept = os.environ.get("REVIEW_KEEP")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def configuration(
    version: int, routes: dict[str, tuple[Address, str]]
) -> dict[str, Any]:
    """Returns a configuration with routes by name: address and service."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": address[0],
                "path_prefix": f"/{address[1]}/",
                "service": service,
                "kind": "unsafe",
                "timeout_ms": 2500,
                "target_latency_ms": 283,
                "max_attempts": 2,
                "priority": 1,
            }
            for name, (address, service) in routes.items()
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 2000}
            for name in sorted({service for _, service in routes.values()})
        ],
        "limits": {"idle_timeout_ms": 15000},
    }


def play(
    folder: Path,
    scenario: Callable[[Lab, bool], Awaitable[None]],
    proxied: bool = False,
) -> None:
    """Plays a scenario and exits with 1, 0 or 2 as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        lab = Lab(folder / "record.txt", proxied)
        try:
            await asyncio.wait_for(scenario(lab, trouble), 110.0)
        except Exception as error:
            lab.record(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            lab.close()
        lab.record(f"broken: {lab.broken or 'nothing'}")
        return 1 if lab.broken else 0

    try:
        status = asyncio.run(run())
    except OSError as error:
        print(f"could not run: {error}", file=sys.stderr)
        status = 2
    sys.exit(status)
