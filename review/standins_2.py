"""Stand-ins of the second review: store, clients, backends, processes.

Only the standard library is used. Everything runs on one asyncio loop; the
project's own programs are separate processes, started with the commands of
the deploy file. Each machine is a loopback address of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

SYN, RST, FIN, BOUNCED, ACK = 1, 2, 4, 32, 64
HEAD = struct.Struct(">IIIBBIHH4s4sH")
KEY = b"the key of both ends"
MOD = 1 << 32
WINDOW = 16
MAX_DATA = 1200
ROUTE = ("198.18.0.1", 8080)
PACKETS, READY, CONTROL, OUTBOUND, APP = 28172, 28167, 28166, 28162, 28165
STORE = 28169
PEERS = [27720, 27735]
ROOT = Path(__file__).resolve().parent.parent

Ends = tuple[tuple[str, int], tuple[str, int]]


def octets(host: str) -> bytes:
    """Returns the four bytes of an address."""
    return bytes(int(part) for part in host.split("."))


class Packet:
    """A packet as the two ends of a flow read and write it."""

    def __init__(
        self,
        src: tuple[str, int],
        dst: tuple[str, int],
        flags: int,
        seq: int,
        ack: int,
        data: bytes = b"",
        total: int | None = None,
    ) -> None:
        """Creates a packet; without ``total`` its sum is computed."""
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq % MOD, ack % MOD, data
        self.total = self.keyed_sum() if total is None else total

    def raw(self, flags: int, total: int) -> bytes:
        """Returns the bytes of the packet."""
        head = HEAD.pack(
            0,
            self.seq,
            self.ack,
            flags,
            0,
            total,
            self.src[1],
            self.dst[1],
            octets(self.dst[0]),
            octets(self.src[0]),
            len(self.data),
        )
        return head + self.data

    def keyed_sum(self) -> int:
        """Returns the sum over all but echo, pad and BOUNCED."""
        return zlib.crc32(self.raw(self.flags & ~BOUNCED, 0), zlib.crc32(KEY))

    def encode(self) -> bytes:
        """Returns the datagram."""
        return self.raw(self.flags, self.total)

    @property
    def genuine(self) -> bool:
        """Whether the sum is that of the content."""
        return self.total == self.keyed_sum()


def decode(raw: bytes) -> Packet:
    """Decodes a datagram."""
    _, seq, ack, flags, _, total, sport, dport, dst, src, size = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    if len(data) != size:
        raise ValueError("length")
    source = ".".join(map(str, src)), sport
    target = ".".join(map(str, dst)), dport
    return Packet(source, target, flags, seq, ack, data, total)


class Stream:
    """One end of an open flow: window, acknowledgements, retransmissions."""

    def __init__(
        self, emit: Callable[[int, int, int, bytes], None], seq: int, ack: int
    ) -> None:
        """Creates an end whose first byte has the number ``seq``."""
        self.emit, self.next_seq, self.next_in = emit, seq % MOD, ack % MOD
        self.sent: dict[int, list[object]] = {}
        self.unsent: list[tuple[bytes, int]] = []
        self.early: dict[int, tuple[bytes, int]] = {}
        self.owed = 0
        self.ack_due = float("inf")
        self.peer_closed = False

    def write(self, data: bytes, closes: bool = False) -> None:
        """Queues data, and FIN where the stream closes."""
        for at in range(0, len(data), MAX_DATA):
            self.unsent.append((data[at : at + MAX_DATA], 0))
        if closes:
            self.unsent.append((b"", FIN))
        self.fill()

    def fill(self) -> None:
        """Sends what the window takes."""
        while self.unsent and len(self.sent) < WINDOW:
            data, flags = self.unsent.pop(0)
            size = len(data) + bool(flags & FIN)
            due = time.monotonic() + 0.2
            self.sent[self.next_seq] = [data, flags, size, due, 0.2]
            self.send(flags, self.next_seq, data)
            self.next_seq = (self.next_seq + size) % MOD

    def send(self, flags: int, seq: int, data: bytes) -> None:
        """Sends one packet, which acknowledges all that came."""
        self.owed, self.ack_due = 0, float("inf")
        self.emit(flags | ACK, seq, self.next_in, data)

    def take(self, packet: Packet) -> bytes:
        """Handles a packet; returns the bytes that are now in order."""
        for seq, item in list(self.sent.items()):
            if (packet.ack - seq - int(str(item[2]))) % MOD < MOD // 2:
                del self.sent[seq]
        self.fill()
        if not packet.data and not packet.flags & FIN:
            return b""
        if (packet.seq - self.next_in) % MOD >= MOD // 2:
            self.send(0, self.next_seq, b"")
            return b""
        self.early[packet.seq] = (packet.data, packet.flags & FIN)
        got = b""
        while self.next_in in self.early:
            data, fin = self.early.pop(self.next_in)
            got += data
            self.peer_closed = self.peer_closed or bool(fin)
            self.next_in = (self.next_in + len(data) + bool(fin)) % MOD
        self.owed += 1
        if self.owed >= 2 or self.peer_closed:
            self.send(0, self.next_seq, b"")
        else:
            self.ack_due = time.monotonic() + 0.04
        return got

    def tick(self) -> None:
        """Sends what is due again."""
        now = time.monotonic()
        for seq, item in self.sent.items():
            if now >= float(str(item[3])):
                pause = min(1.6, float(str(item[4])) * 2)
                item[3], item[4] = now + pause, pause
                self.send(int(str(item[1])), seq, bytes(item[0]))  # type: ignore[call-overload]
        if now >= self.ack_due:
            self.send(0, self.next_seq, b"")


def request(number: int, size: int, work_ms: int) -> bytes:
    """Returns the bytes of a request."""
    head = (
        f"POST /book HTTP/1.1\r\nHost: b\r\nNotchhoist-Request-Id: {number}\r\n"
        f"Work: {work_ms}\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + b"x" * size


def read_message(data: bytes) -> tuple[dict[str, str], int] | None:
    """Returns the headers and the size of a complete message."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = data[:end].decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    size = end + 4 + int(fields["Content-Length"])
    return (fields, size) if len(data) >= size else None


class Udp(asyncio.DatagramProtocol):
    """Hands datagrams to a function."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        """Creates the protocol."""
        self.take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram."""
        self.take(data)


async def udp(
    at: tuple[str, int], take: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Opens a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(take), local_addr=at
    )
    return transport


class Held:
    """A flow at a backend."""

    def __init__(self, seq: int, caller_seq: int) -> None:
        """Creates a flow that has not opened yet."""
        self.seq, self.caller_seq = seq, caller_seq
        self.stream: Stream | None = None
        self.data = b""
        self.closing = False


class Backend:
    """A backend: packets at ``app`` over UDP, health checks over TCP."""

    def __init__(self, world: "World", name: str, ip: str) -> None:
        """Creates a backend that is not started yet."""
        self.world, self.name, self.ip = world, name, ip
        self.flows: dict[Ends, Held] = {}
        self.draining = False
        self.alive = False
        self.health: asyncio.Server | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.draining_at = 0.0
        self.service = "booking"
        self.cold_until = 0.0
        self.lives = 0

    def crash(self) -> None:
        """Ends at once; it announces nothing, its entry lapses later."""
        self.alive = False
        self.flows = {}
        if self.transport is not None:
            self.transport.close()
        if self.health is not None:
            self.health.close()
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, self.world.store.remove, f"servers/{self.name}")

    async def reborn(self, cold_s: float) -> None:
        """Starts as a new incarnation with a new id; slow at first."""
        self.lives += 1
        self.name = f"{self.name}-{self.lives}"
        self.cold_until = time.monotonic() + cold_s
        await self.start()
        self.beat(self.name)

    def beat(self, name: str) -> None:
        """Writes the entry again each 1.2 s while the backend is slow."""
        if self.name == name and self.alive:
            slow = time.monotonic() < self.cold_until
            self.announce()
            if slow:
                loop = asyncio.get_running_loop()
                loop.call_later(1.2, self.beat, name)

    async def start(self) -> None:
        """Starts it and writes its entry."""
        self.alive = True
        self.transport = await udp((self.ip, APP), self.take)
        self.health = await asyncio.start_server(
            self.serve_health, self.ip, APP
        )
        self.announce()

    async def serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a health check."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        writer.close()

    def announce(self) -> None:
        """Writes its entry into the store."""
        left = max(0.0, self.cold_until - time.monotonic())
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{APP}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 5,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": int(left * 1000),
            "seq": 1,
        }
        self.world.store.put(f"servers/{self.name}", entry)

    def drain(self) -> None:
        """Announces that it leaves; takes no more health checks."""
        self.draining = True
        self.draining_at = time.monotonic()
        self.announce()
        if self.health is not None:
            self.health.close()

    def send(self, packet: Packet) -> None:
        """Sends a packet to the daemon on its machine."""
        if self.transport is not None:
            self.transport.sendto(packet.encode(), (self.ip, OUTBOUND))

    def take(self, raw: bytes) -> None:
        """Handles a packet of the daemon on its machine."""
        packet = decode(raw)
        if not packet.genuine:
            self.world.broke("UNASKED", f"{self.name} got a forged packet")
            return
        ends = (packet.src, packet.dst)
        held = self.flows.get(ends)
        if packet.flags & SYN:
            if held is None:
                held = Held(random.getrandbits(32), packet.seq + 1)
                self.flows[ends] = held
            self.emit(ends, SYN | ACK, held.seq, held.caller_seq, b"")
        elif held is None:
            packet.flags |= BOUNCED
            self.send(packet)
        elif packet.flags & RST:
            del self.flows[ends]
        else:
            self.take_open(ends, held, packet)

    def emit(
        self, ends: Ends, flags: int, seq: int, ack: int, data: bytes
    ) -> None:
        """Sends a packet of a flow."""
        self.send(Packet(ends[1], ends[0], flags, seq, ack, data))

    def take_open(self, ends: Ends, held: Held, packet: Packet) -> None:
        """Handles a packet of a flow that it holds."""
        if held.stream is None:
            if packet.ack != (held.seq + 1) % MOD:
                packet.flags |= BOUNCED
                self.send(packet)
                return
            held.stream = Stream(
                lambda *part: self.emit(ends, *part),
                held.seq + 1,
                held.caller_seq,
            )
        held.data += held.stream.take(packet)
        if held.stream.peer_closed and not held.closing:
            held.closing = True
            held.stream.write(b"", closes=True)
        while (found := read_message(held.data)) is not None:
            fields, size = found
            held.data = held.data[size:]
            number = fields["Notchhoist-Request-Id"]
            self.world.ran(number, self.name)
            pause = int(fields["Work"]) / 1000
            asyncio.get_running_loop().call_later(
                pause, self.answer, ends, held, number
            )

    def answer(self, ends: Ends, held: Held, number: str) -> None:
        """Answers a request; closes the flow when it leaves."""
        if self.flows.get(ends) is not held or held.stream is None:
            return
        body = f"{number} {self.name}".encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        closes = self.draining and not held.closing
        held.closing = held.closing or closes
        held.stream.write(head.encode() + body, closes)

    def holds(self, ends: Ends) -> bool:
        """Tells whether a flow is open here."""
        held = self.flows.get(ends)
        return (
            self.alive
            and held is not None
            and held.stream is not None
            and not held.closing
        )

    def tick(self) -> None:
        """Sends what is due again."""
        for held in self.flows.values():
            if held.stream is not None:
                held.stream.tick()


class Client:
    """A client that keeps one flow for many requests, one at a time."""

    def __init__(self, world: "World", ip: str, port: int) -> None:
        """Creates a client without a flow."""
        self.world, self.own = world, (ip, port)
        self.ends: Ends = (self.own, ROUTE)
        self.seq = random.getrandbits(32)
        self.stream: Stream | None = None
        self.data = b""
        self.state = "new"
        self.pending = ""
        self.server = ""
        self.answers = 0
        self.syn_due = [0.0, 0.2, 0.6]
        self.opened_at = 0.0
        self.front = 0

    def open(self) -> None:
        """Sends the opening packet and its copies."""
        loop = asyncio.get_running_loop()
        for copy, pause in enumerate(self.syn_due):
            loop.call_later(pause, self.send_syn, copy)

    def send_syn(self, copy: int) -> None:
        """Sends one copy of the opening packet."""
        if self.state == "new":
            self.send(SYN, self.seq, copy, b"")

    def send(self, flags: int, seq: int, ack: int, data: bytes) -> None:
        """Sends a packet to the daemon that the router picks."""
        packet = Packet(self.own, ROUTE, flags, seq, ack, data)
        self.world.to_front(self, packet.encode())

    def ask(self, size: int, work_ms: int) -> None:
        """Sends a request on the open flow."""
        self.pending = self.world.new_request()
        self.world.note(f"sent {self.pending} on {self.own[1]} {self.server}")
        if self.stream is not None:
            self.stream.write(request(int(self.pending), size, work_ms))

    def take(self, packet: Packet) -> None:
        """Handles a packet."""
        if packet.flags & RST:
            if self.state in ("new", "open"):
                self.world.on_reset(self, packet)
                self.state = "reset"
        elif packet.flags & SYN:
            if self.state == "new":
                self.state = "open"
                self.opened_at = time.monotonic()
                self.stream = Stream(self.send, self.seq + 1, packet.seq + 1)
                self.stream.send(0, self.stream.next_seq, b"")
        elif self.state == "open" and self.stream is not None:
            self.data += self.stream.take(packet)
            found = read_message(self.data)
            if found is not None:
                body = self.data[: found[1]].split(b"\r\n\r\n", 1)[1].decode()
                self.data = self.data[found[1] :]
                number, self.server = body.split()
                self.world.answered(self, number)
            if self.stream.peer_closed:
                self.state = "closed"
                self.stream.write(b"", closes=True)

    def tick(self) -> None:
        """Sends what is due again."""
        if self.stream is not None and self.state in ("open", "closed"):
            self.stream.tick()


class Store:
    """The platform's metadata store: ``/kv-range`` and ``/kv-watch``."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[tuple[int, dict[str, object]]] = []
        self.revision = 10
        self.changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Writes an item."""
        self.revision += 1
        known = self.items.get(key)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item: dict[str, object] = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.add(item)

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        self.add({"key": key, "revision": self.revision, "removed": True})

    def add(self, event: dict[str, object]) -> None:
        """Adds an event and wakes the watches."""
        self.history.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                body = json.dumps(await self.read(target)).encode()
                await asyncio.sleep(0.004)
                size = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + size.encode() + body)
                await writer.drain()
        writer.close()

    async def read(self, target: str) -> dict[str, object]:
        """Returns the body of an answer."""
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/kv-range":
            items = [self.items[key] for key in sorted(self.items)]
            return {
                "items": items,
                "more_pages": False,
                "as_of": self.revision,
            }
        after = int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while self.revision <= after and time.monotonic() < ends:
            with contextlib.suppress(TimeoutError):
                left = max(0.001, ends - time.monotonic())
                await asyncio.wait_for(self.changed.wait(), left)
        events = [event for at, event in self.history if at > after]
        return {"events": events, "as_of": self.revision}


class Daemon:
    """A process of the system, started as the deploy file says."""

    def __init__(self, world: "World", name: str, ip: str, role: str) -> None:
        """Creates a daemon that is not started yet."""
        self.world, self.name, self.ip, self.role = world, name, ip, role
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = world.folder / f"{name}.json"
        self.service = "booking"
        self.zone = "zone-b" if name == "front-1" else "zone-a"

    def start(self, bootstrap: bool) -> None:
        """Starts the process."""
        front = self.role == "balancer"
        listen = {
            "datagram_addr": f"{self.ip}:{PACKETS}",
            "ready": f"{self.ip}:{READY}",
        }
        fields: dict[str, object] = {
            "node": self.name,
            "role": self.role,
            "class": "front" if front else "side",
            "serves": ["front", "control"] if front else ["side"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-a",
            "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "listen": listen,
            "internal_ports": PEERS,
            "seeds": [f"{ip}:{CONTROL}" for ip in self.world.front_ips],
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 0.645,
                "cores": 1,
                "memory_mb": 168,
                "max_fds": 4096,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 4000,
                "drain_ms": 3000,
                "grace_s": 6,
                "config_apply_ms": 3000,
                "rollback_slack_ms": 250,
                "flow_ms": 2000,
                "max_flow_s": 60,
            },
            "hash": "mod",
            "encap": "agent",
            "platform": {"address": f"{self.world.store_ip}:{STORE}"},
        }
        if front:
            listen["control"] = f"{self.ip}:{CONTROL}"
        else:
            listen["outbound"] = f"{self.ip}:{OUTBOUND}"
            fields["app"] = f"{self.ip}:{APP}"
            fields["service"] = self.service
        self.settings.write_text(json.dumps(fields))
        with (ROOT / "deploy/system.toml").open("rb") as file:
            run = tomllib.load(file)["roles"][self.role]["run"]
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "NOTCHHOIST_NODE_FILE": str(self.settings),
        }
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                run.split(), cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self) -> None:
        """Stops the process and starts it again, as the platform does."""
        self.send_signal(signal.SIGTERM)
        ends = time.monotonic() + 6.0
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > ends:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        self.start(bootstrap=False)


class World:
    """A small deployment, its clients and what they saw."""

    def __init__(self, fronts: int = 2, backends: int = 3) -> None:
        """Chooses a free block of loopback addresses."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        block = f"127.{random.randrange(100, 250)}.{random.randrange(1, 250)}"
        self.store_ip = f"{block}.1"
        self.client_ip = f"{block}.200"
        self.front_ips = [f"{block}.{11 + item}" for item in range(fronts)]
        self.fronts = [
            Daemon(self, f"front-{item}", ip, "balancer")
            for item, ip in enumerate(self.front_ips)
        ]
        ips = [f"{block}.{51 + item}" for item in range(backends)]
        self.agents = [
            Daemon(self, f"side-{item}", ip, "agent")
            for item, ip in enumerate(ips)
        ]
        self.backends = [
            Backend(self, f"b{item}", ip) for item, ip in enumerate(ips)
        ]
        self.store = Store()
        self.clients: dict[tuple[str, int], Client] = {}
        self.breaks: list[str] = []
        self.record: list[str] = []
        self.runs: dict[str, int] = {}
        self.lost: list[str] = []
        self.numbers = 0
        self.port = 40000
        self.started = backends
        self.transport: asyncio.DatagramTransport | None = None
        self.began = time.monotonic()

    def note(self, line: str) -> None:
        """Adds a line to the record."""
        self.record.append(f"{time.monotonic() - self.began:8.3f} {line}")

    def broke(self, rule: str, detail: str) -> None:
        """Records a broken rule."""
        self.breaks.append(f"{rule}: {detail}")
        self.note(f"BROKEN {rule}: {detail}")

    def new_request(self) -> str:
        """Returns the number of a new request."""
        self.numbers += 1
        return str(self.numbers)

    def ran(self, number: str, server: str) -> None:
        """Records that a backend began a request."""
        self.note(f"run {number} at {server}")
        self.runs[number] = self.runs.get(number, 0) + 1
        if self.runs[number] > 1:
            self.broke("TWICE", f"request {number} ran again at {server}")

    def answered(self, client: Client, number: str) -> None:
        """Records an answer."""
        self.note(f"answered {number} on {client.own[1]} by {client.server}")
        if number != client.pending:
            self.broke("MIXED", f"{number} came for {client.pending}")
        client.pending = ""
        client.answers += 1

    def on_reset(self, client: Client, packet: Packet) -> None:
        """Records a reset; one on a living flow breaks FLOW."""
        holder = [item for item in self.backends if item.holds(client.ends)]
        where = ", ".join(item.name for item in holder) or "no backend"
        whose = "the system's" if packet.total == 0 else "the backend's"
        ran = self.runs.get(client.pending, 0)
        text = f"{whose} reset on {client.own[1]}, open at {where}"
        if client.pending:
            text += f", request {client.pending} ran {ran} times"
        self.note(text)
        if packet.total == 0 and holder and client.state == "open":
            self.broke("FLOW (a)", text)
            if client.pending and not ran:
                self.lost.append(client.pending)

    def to_front(self, client: Client, raw: bytes) -> None:
        """Sends a client's packet to a daemon of its zone, by its hash."""
        ip = self.front_ips[client.front % len(self.front_ips)]
        if self.transport is not None:
            self.transport.sendto(raw, (ip, PACKETS))

    def from_system(self, raw: bytes) -> None:
        """Handles a packet for a client."""
        packet = decode(raw)
        own_reset = packet.flags & RST and packet.total == 0
        if not own_reset and not packet.genuine:
            self.broke("MIXED", "a client got a forged packet")
            return
        client = self.clients.get(packet.dst)
        if client is not None:
            client.take(packet)

    def configure(self, version: int, service: str = "booking") -> None:
        """Writes a configuration; its one route goes to a service."""
        route = {
            "name": "booking",
            "host": ROUTE[0],
            "path_prefix": f"/{ROUTE[1]}/",
            "service": service,
            "kind": "unsafe",
            "timeout_ms": 8000,
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [route],
                "services": [
                    {"name": name, "health_path": "/health"}
                    for name in ("booking", "booking-next")
                ],
                "limits": {"idle_timeout_ms": 15000},
            },
        )

    async def start(self) -> bool:
        """Starts everything; tells whether it became ready."""
        await asyncio.start_server(self.store.serve, self.store_ip, STORE)
        self.transport = await udp((self.client_ip, PACKETS), self.from_system)
        self.configure(100)
        for backend in self.backends[: self.started]:
            await backend.start()
        for daemon in self.fronts + self.agents:
            daemon.start(bootstrap=True)
        asyncio.get_running_loop().call_later(0.01, self.tick)
        for ip in self.front_ips + [item.ip for item in self.agents]:
            if not await self.wait_ready(ip):
                return False
        return True

    async def wait_ready(self, ip: str) -> bool:
        """Waits until a daemon answers its readiness check with 200."""
        ends = time.monotonic() + 20
        while time.monotonic() < ends:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(ip, READY)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.03)
        return False

    def tick(self) -> None:
        """Sends what is due again."""
        for client in list(self.clients.values()):
            client.tick()
        for backend in self.backends:
            backend.tick()
        asyncio.get_running_loop().call_later(0.01, self.tick)

    def new_client(self) -> Client:
        """Creates a client with a port of its own and opens its flow."""
        self.port += 1
        client = Client(self, self.client_ip, self.port)
        self.clients[client.own] = client
        client.open()
        return client

    def close(self) -> None:
        """Ends all processes."""
        for daemon in self.fronts + self.agents:
            if daemon.process is not None:
                daemon.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()


def run(
    play: Callable[[World, bool], object],
    folder: Path,
    backends: int = 3,
    started: int = 0,
    others: int = 0,
) -> int:
    """Plays a case and writes its record.

    Args:
        play: The case.
        folder: Where the record goes.
        backends: Machines with a backend.
        started: How many backends run from the start; 0 for all.
        others: How many more backends run another service.

    Returns:
        1 if a rule was broken, 0 if not, 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        world = World(backends=backends + others)
        world.started = started or backends + others
        for item in range(backends, backends + others):
            world.backends[item].service = "booking-next"
            world.agents[item].service = "booking-next"
        try:
            if not await world.start():
                world.note("not ready")
                return 2
            good = await play(world, trouble)  # type: ignore[misc]
            if not good:
                return 2
            return 1 if world.breaks else 0
        finally:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            world.close()
            world.record.append(f"broken: {world.breaks}")
            world.record.append(f"requests lost: {world.lost}")
            (folder / "record.txt").write_text("\n".join(world.record) + "\n")
            if os.environ.get("LOGS"):
                for path in sorted(world.folder.glob("*.log")):
                    print(path.name)
                    print(path.read_text())

    try:
        status = asyncio.run(main())
    except OSError:
        traceback.print_exc()
        return 2
    print(f"exit {status}", file=sys.stderr)
    return status
