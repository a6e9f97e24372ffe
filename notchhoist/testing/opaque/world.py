"""Hosts, routers and the network between them, on one simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from urllib.parse import parse_qsl, urlsplit

import attrs

from notchhoist.base.draws import make_draw
from notchhoist.flows import effects
from notchhoist.flows.agent import AgentNode, make_agent
from notchhoist.flows.balancer import BalancerNode, make_balancer
from notchhoist.flows.message_codec import decode_message, encode_message
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.store import StoreCall, StoreReader
from notchhoist.testing.opaque.callers import SERVICE_HOST, CallerModel
from notchhoist.testing.opaque.frames import (
    Address,
    Frame,
    decode_frame,
    encode_frame,
    is_genuine,
)
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.servers import ServerModel
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.opaque.traffic import Workload

KEY = b"not told to the system"
IN_ZONE_S = 0.0001
CALLER_S = 0.001
LOCAL_S = 0.00002
PROBE_S = 0.5
MISSES = 2
MODEL_TICK_S = 0.02
HEARTBEAT_S = 1.2
HEARTBEATS_MISSED = 3
HEADERS_BYTES = 28
SEEDS = 3
START_S = 0.3
"""From power to serving, seconds; about what a thin entry host takes."""


@attrs.define(eq=False)
class Host:
    """A host with one process of ours, and perhaps a backend server.

    Attributes:
        name: Its name.
        ip: Its IP number.
        zone: Its availability zone.
        service: Service of its backend server; empty on entry hosts.
        node: The process, or None while it is down.
        server: The backend server, or None.
        frozen: The process stands still; what comes waits.
        waiting: What came meanwhile.
        generation: Counts the starts of the process.
        misses: Unanswered questions of the routers in a row.
        feeder: A balancer's feeder from the store.
        calling: Number of its call to the store that is under way.
    """

    name: str
    ip: str
    zone: str
    service: str = ""
    node: BalancerNode | AgentNode | None = None
    server: ServerModel | None = None
    frozen: bool = False
    waiting: list[Callable[[], None]] = attrs.Factory(list)
    generation: int = 0
    misses: int = MISSES
    feeder: StoreFeeder | None = None
    calling: int = 0


@attrs.define(eq=False)
class OpaqueWorld:
    """Everything in one run.

    Attributes:
        rng: Source of every draw.
        zones: Names of the availability zones.
        cross_zone_s: One-way delay between zones, seconds.
        workloads: What callers ask for.
        steady: Routers hash so that only the flows of a balancer that comes
            or goes move; else nearly all do.
        judge: What was seen.
        store: The platform's store.
        now: The clock, seconds.
        loss: Share of datagrams that are lost.
        cuts: Pairs of IP numbers that cannot reach each other; an IP number
            with itself is cut off from the store.
        hosts: Hosts by IP number.
        callers: Callers by zone.
        zone_of_caller: Zone of each caller's IP number.
        requests: Kind of each request by its number.
        zone_bytes: Bytes between zones so far.
        queue: What happens, by time.
        numbers: Order of what happens at the same time.
        asked_by_number: Request numbers given so far.
    """

    rng: random.Random
    zones: Sequence[str]
    workloads: tuple[Workload, ...]
    cross_zone_s: float = 0.0014
    steady: bool = False
    judge: Judge = attrs.Factory(Judge)
    store: StoreModel = attrs.field(init=False)
    now: float = 0.0
    loss: float = 0.0
    cuts: set[frozenset[str]] = attrs.Factory(set)
    hosts: dict[str, Host] = attrs.Factory(dict)
    callers: dict[str, CallerModel] = attrs.Factory(dict)
    zone_of_caller: dict[str, str] = attrs.Factory(dict)
    requests: dict[int, Workload] = attrs.Factory(dict)
    zone_bytes: int = 0
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    numbers: "itertools.count[int]" = attrs.Factory(itertools.count)
    codec: PacketCodec = attrs.Factory(PacketCodec)

    def __attrs_post_init__(self) -> None:
        self.store = StoreModel(random.Random(self.rng.random()))
        for zone in self.zones:
            self._add_callers(zone)
        self._every(MODEL_TICK_S, self._tick_models)
        self._every(PROBE_S, self._probe)

    # Time.

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Does something after a delay."""
        entry = (self.now + delay, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def _every(self, period: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.later(period, again)

        self.later(period, again)

    def run_until(self, when: float) -> None:
        """Advances the clock."""
        while self.queue and self.queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = when

    # Building.

    def _add_callers(self, zone: str) -> None:
        index = len(self.callers)
        hosts = [f"100.64.{index}.{number}" for number in range(1, 14)]
        self.callers[zone] = CallerModel(
            zone=zone,
            hosts=hosts,
            rng=random.Random(self.rng.random()),
            judge=self.judge,
            send=lambda frame: self._from_caller(zone, frame),
            later=self.later,
            register=self._register,
            is_alive=self._is_alive,
        )
        self.zone_of_caller.update(dict.fromkeys(hosts, zone))

    def _register(self, workload: Workload) -> int:
        number = len(self.requests) + 1
        self.requests[number] = workload
        return number

    def _is_alive(self, caller: Address, service: Address) -> bool:
        return any(
            host.server is not None and host.server.holds((caller, service))
            for host in self.hosts.values()
        )

    def add_host(self, zone: str, service: str = "", slots: int = 3) -> Host:
        """Adds a host: an entry host, or one with a backend server."""
        number = len(self.hosts) + 1
        zone_number = list(self.zones).index(zone) + 1
        ip = f"10.{zone_number}.{number // 250}.{number % 250 + 1}"
        host = Host(f"{service or 'entry'}-{number}", ip, zone, service)
        self.hosts[ip] = host
        if service:
            self.start_server(host, slots)
        self.start(host)
        return host

    def start(self, host: Host) -> None:
        """Starts the process of a host."""
        host.generation += 1
        host.waiting.clear()
        if host.service:
            host.node = make_agent(host.service, self.codec, self.now)
        else:
            name = f"{host.name}/{host.generation}"
            node = make_balancer(
                host.zone, self.codec, name, host.ip, self._seeds()
            )
            host.node = node
            host.feeder = StoreFeeder(node, StoreReader(make_draw(name)))
            self._call_store(host, host.generation)
        self._tick_node(host, host.generation)

    def _seeds(self) -> tuple[str, ...]:
        """Returns the balancers that settings name: the first three."""
        entries = [host for host in self.hosts.values() if not host.service]
        return tuple(host.ip for host in entries[:SEEDS])

    def start_server(self, host: Host, slots: int = 3) -> None:
        """Starts a new incarnation of a backend server."""
        server_id = f"i{self.rng.getrandbits(24):06x}"
        server = ServerModel(
            server_id=server_id,
            service=host.service,
            rng=random.Random(self.rng.random()),
            judge=self.judge,
            send=lambda frame: self._from_server(host, server, frame),
            later=self.later,
            workloads=self.requests,
            slots=slots,
            started_at=self.now,
        )
        host.server = server
        self.announce(host, server)

    def announce(self, host: Host, server: ServerModel) -> None:
        """Writes a server's entry, as it does itself."""
        cold_s = max(0.0, server.started_at + 2.0 - self.now)
        self.store.put(
            f"servers/{server.server_id}",
            {
                "service": server.service,
                "address": f"{host.ip}:8080",
                "zone": host.zone,
                "version": "v1",
                "slots": server.slots,
                "state": "draining" if server.draining else "ready",
                "cold_remaining_ms": int(cold_s * 1000),
                "seq": 1,
            },
        )

    def publish(self, version: int, without: Sequence[str] = ()) -> None:
        """Publishes a configuration with a route for each kind."""
        routes = [
            {
                "name": workload.name,
                "host": SERVICE_HOST,
                "path_prefix": f"/{workload.port}/",
                "kind": workload.kind,
                "timeout_ms": int(workload.deadline_s * 1000),
                "target_latency_ms": int(workload.aim_s * 1000),
                "priority": workload.priority,
                "service": workload.service,
                "max_attempts": 2,
            }
            for workload in self.workloads
            if workload.name not in without
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("op/config", document)

    # Network.

    def _is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def _carry(self, source: str, target: str, zone: str, size: int) -> float:
        """Returns the delay of a datagram, or infinity where it is lost."""
        if self._is_cut(source, target) or self.rng.random() < self.loss:
            return float("inf")
        if self._zone_of(source) == zone:
            return IN_ZONE_S
        self.zone_bytes += size + HEADERS_BYTES
        return self.cross_zone_s

    def _zone_of(self, ip: str) -> str:
        host = self.hosts.get(ip)
        return host.zone if host else self.zone_of_caller.get(ip, "")

    def _from_caller(self, zone: str, frame: Frame) -> None:
        host = self._route(zone, frame)
        if host is None:
            return
        raw = encode_frame(frame, KEY)
        delay = self._carry(frame.src[0], host.ip, host.zone, len(raw))
        if delay < float("inf"):
            self.later(CALLER_S + delay, lambda: self._at_balancer(host, raw))

    def _route(self, zone: str, frame: Frame) -> Host | None:
        """Returns the balancer that routers hand a caller's packet to."""
        entries = [host for host in self.hosts.values() if not host.service]
        near = [host for host in entries if host.zone == zone] or entries
        ready = [host for host in near if host.misses < MISSES]
        if not ready and near is not entries:
            ready = [host for host in entries if host.misses < MISSES]
        elif len(ready) * 2 < len(near):
            ready = near
        if not ready:
            return None
        key = f"{frame.src}{frame.dst}"
        if self.steady:
            return max(ready, key=lambda host: hash_text(key + host.ip))
        return ready[hash_text(key) % len(ready)]

    def _probe(self) -> None:
        for host in self.hosts.values():
            node = host.node
            well = node is not None and not host.frozen and node.is_ready
            host.misses = 0 if well else host.misses + 1

    def _when_awake(self, host: Host, action: Callable[[], None]) -> None:
        if host.frozen:
            host.waiting.append(action)
        elif host.node is not None:
            action()

    def _at_balancer(self, host: Host, raw: bytes) -> None:
        def take() -> None:
            if isinstance(host.node, BalancerNode):
                segment = self.codec.decode_request(raw)
                self._perform(host, host.node.on_caller(segment, self.now))

        self._when_awake(host, take)

    def _perform(self, host: Host, todo: list[effects.Effect]) -> None:
        for effect in todo:
            match effect:
                case effects.SendAgent() | effects.SendBalancer():
                    self._to_process(host, effect.host, effect.datagram)
                case effects.SendPeer():
                    self._to_control(host, effect)
                case effects.SendCaller():
                    self._to_caller(host, effect)
                case effects.SendBackend():
                    self._to_server(host, effect.datagram)
                case effects.CheckBackend():
                    self.later(LOCAL_S, lambda: self._check(host))

    def _to_process(self, source: Host, target: str, raw: bytes) -> None:
        host = self.hosts.get(target)
        if host is None:
            return
        delay = self._carry(source.ip, target, host.zone, len(raw))
        if delay == float("inf"):
            return

        def take() -> None:
            segment = self.codec.decode_request(raw)
            if isinstance(host.node, BalancerNode):
                todo = host.node.on_agent(source.ip, segment, self.now)
            elif isinstance(host.node, AgentNode):
                todo = host.node.on_balancer(source.ip, segment, self.now)
            else:
                return
            self._perform(host, todo)

        self.later(delay, lambda: self._when_awake(host, take))

    def _to_control(self, source: Host, effect: effects.SendPeer) -> None:
        host = self.hosts.get(effect.host)
        if host is None:
            return
        message = decode_message(encode_message(effect.message))
        size = len(encode_message(message))
        delay = self._carry(source.ip, effect.host, host.zone, size)

        def take() -> None:
            if host.node is not None:
                self._perform(
                    host, host.node.on_peer(source.ip, message, self.now)
                )

        if delay < float("inf"):
            self.later(delay, lambda: self._when_awake(host, take))

    def _to_caller(self, source: Host, effect: effects.SendCaller) -> None:
        zone = self.zone_of_caller.get(effect.host, "")
        size = len(effect.datagram)
        delay = self._carry(source.ip, effect.host, zone, size)
        if not zone or delay == float("inf"):
            return
        frame = decode_frame(effect.datagram)
        if frame.checksum and not is_genuine(frame, KEY):
            self.judge.break_rule("MIXED", f"forged for {frame.dst}", self.now)
            return
        caller = self.callers[zone]
        self.later(CALLER_S + delay, lambda: caller.on_frame(frame, self.now))

    def _to_server(self, host: Host, raw: bytes) -> None:
        def take() -> None:
            server = host.server
            if server is None or not server.alive:
                return
            frame = decode_frame(raw)
            if not is_genuine(frame, KEY):
                self.judge.break_rule("UNASKED", "forged packet", self.now)
                return
            server.on_frame(frame, self.now)

        self.later(LOCAL_S, take)

    def _from_server(
        self, host: Host, server: ServerModel, frame: Frame
    ) -> None:
        if not server.alive:
            return
        raw = encode_frame(frame, KEY)

        def take() -> None:
            if isinstance(host.node, AgentNode):
                segment = self.codec.decode_answer(raw)
                self._perform(host, host.node.on_backend(segment, self.now))

        self.later(LOCAL_S, lambda: self._when_awake(host, take))

    def _check(self, host: Host) -> None:
        if isinstance(host.node, AgentNode):
            listens = host.server is not None and host.server.alive
            self._perform(host, host.node.on_checked(listens, self.now))

    # The store.

    def _call_store(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.feeder is None:
            return
        call = host.feeder.next_call(self.now)
        if call is None:
            self._call_again(host, generation)
            return
        self.store.calls += 1
        host.calling += 1
        number = host.calling
        self.later(
            call.timeout_s,
            lambda: self._on_no_answer(host, generation, number, "timeout"),
        )
        trouble = self.store.trouble_for(host.ip)
        if trouble == "silent" or self._is_cut(host.ip, host.ip):
            return
        delay = self.store.answer_s + self.cross_zone_s
        if trouble == "reset":
            self.later(
                delay,
                lambda: self._on_no_answer(host, generation, number, "reset"),
            )
        elif trouble:
            status = {"busy": 503, "many": 429}[trouble]
            self.later(
                delay,
                lambda: self._on_answer(host, generation, number, status, b""),
            )
        else:
            self.later(
                delay,
                lambda: self._answer_call(host, generation, number, call),
            )

    def _answer_call(
        self,
        host: Host,
        generation: int,
        number: int,
        call: StoreCall,
        ends_at: float = 0.0,
    ) -> None:
        parts = urlsplit(call.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/kv-range":
            body = self.store.read_range(query)
            self._on_answer(host, generation, number, 200, body)
            return
        status, changes = self.store.read_changes(query)
        ends_at = ends_at or self.now + int(query["wait_ms"]) / 1000
        if changes is None and self.now < ends_at:
            self.later(
                MODEL_TICK_S,
                lambda: self._answer_call(
                    host, generation, number, call, ends_at
                ),
            )
            return
        body = self.store.no_changes() if changes is None else changes
        if not self.store.trouble_for(host.ip):
            self._on_answer(host, generation, number, status, body)

    def _is_current(self, host: Host, generation: int, number: int) -> bool:
        same = host.generation == generation and host.calling == number
        return same and host.node is not None

    def _on_answer(
        self, host: Host, generation: int, number: int, status: int, body: bytes
    ) -> None:
        if not self._is_current(host, generation, number):
            return
        host.calling += 1
        if host.feeder is not None:
            host.feeder.on_answer(status, body, self.now)
        self._call_again(host, generation)

    def _on_no_answer(
        self, host: Host, generation: int, number: int, reason: str
    ) -> None:
        if not self._is_current(host, generation, number):
            return
        host.calling += 1
        if host.feeder is not None:
            host.feeder.on_failed(reason, self.now)
        self._call_again(host, generation)

    def _call_again(self, host: Host, generation: int) -> None:
        if host.feeder is None:
            return
        self._perform(host, host.feeder.node.take_effects())
        delay = max(0.0, host.feeder.reader.due - self.now)
        self.later(delay, lambda: self._call_store(host, generation))

    # What happens by itself.

    def _tick_node(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.node is None:
            return
        if not host.frozen:
            self._perform(host, host.node.tick(self.now))
        self.later(0.01, lambda: self._tick_node(host, generation))

    def _tick_models(self) -> None:
        for caller in self.callers.values():
            caller.tick(self.now)
        for host in self.hosts.values():
            if host.server is not None and host.server.alive:
                host.server.tick(self.now)

    # Troubles.

    def kill(self, host: Host, for_s: float = START_S) -> None:
        """Kills a process; it starts again."""
        self.judge.disturb(self.now)
        host.node = None
        host.frozen = False
        host.generation += 1
        self.later(for_s, lambda: self._revive(host))

    def _revive(self, host: Host) -> None:
        self.judge.disturb(self.now)
        if host.node is None and host.ip in self.hosts:
            self.start(host)

    def crash_server(self, host: Host) -> None:
        """Ends a backend server without a word; its entry lapses later."""
        server = host.server
        if server is None:
            return
        server.alive = False
        lapse_s = HEARTBEAT_S * HEARTBEATS_MISSED
        key = f"servers/{server.server_id}"
        self.later(lapse_s, lambda: self.store.remove(key))

    def power_off(self, host: Host, for_s: float) -> None:
        """Takes the power from a host; everything on it starts anew."""
        self.kill(host, for_s + START_S)
        if host.server is not None:
            slots = host.server.slots
            self.crash_server(host)
            self.later(for_s, lambda: self.start_server(host, slots))

    def stop_balancer(self, host: Host, leave_s: float = 1.8) -> None:
        """Stops a balancer as planned; it starts again."""
        if isinstance(host.node, BalancerNode):
            host.node.stop()
        self.later(leave_s, lambda: self._restart(host))

    def _restart(self, host: Host) -> None:
        host.node = None
        host.generation += 1
        self.later(START_S, lambda: self.start(host))

    def freeze(self, host: Host, for_s: float) -> None:
        """Lets a process stand still for a while."""
        self.judge.disturb(self.now)
        host.frozen = True
        self.later(for_s, lambda: self._wake(host))

    def _wake(self, host: Host) -> None:
        self.judge.disturb(self.now)
        host.frozen = False
        waiting = list(host.waiting)
        host.waiting.clear()
        for action in waiting:
            if host.node is not None:
                action()

    def retire(self, host: Host, after_s: float = 5.0) -> None:
        """Drains a backend server and takes its host away."""
        server = host.server
        if server is None:
            return
        server.draining = True
        self.announce(host, server)

        def leave() -> None:
            server.alive = False
            self.store.remove(f"servers/{server.server_id}")
            host.node = None
            self.hosts.pop(host.ip, None)

        self.later(after_s, leave)

    def cut(self, one: str, other: str, for_s: float) -> None:
        """Cuts two IP numbers apart; the same twice cuts it from the store."""
        self.judge.disturb(self.now)
        pair = frozenset((one, other))
        self.cuts.add(pair)

        def heal() -> None:
            self.judge.disturb(self.now)
            self.cuts.discard(pair)

        self.later(for_s, heal)


def hash_text(text: str) -> int:
    """Returns a hash that is the same in every run."""
    return random.Random(text).getrandbits(32)
