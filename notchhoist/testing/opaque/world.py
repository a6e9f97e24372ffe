"""Hosts, routers and the network between them, on one simulated clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from notchhoist.base.draws import make_draw
from notchhoist.flows import effects
from notchhoist.flows.agent import AgentNode, make_agent
from notchhoist.flows.balancer import BalancerNode, make_balancer
from notchhoist.flows.message_codec import decode_message, encode_message
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.store import StoreReader
from notchhoist.testing.opaque import published
from notchhoist.testing.opaque.callers import CallerModel
from notchhoist.testing.opaque.frames import (
    Address,
    Frame,
    decode_frame,
    encode_frame,
    is_genuine,
)
from notchhoist.testing.opaque.hosts import MISSES, Host
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.servers import ServerModel
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.opaque.store_link import StoreLink
from notchhoist.testing.opaque.traffic import Workload

KEY = b"not told to the system"
IN_ZONE_S = 0.0001
CALLER_S = 0.001
LOCAL_S = 0.00002
PROBE_S = 0.5
MODEL_TICK_S = 0.02
HEADERS_BYTES = 28
SEEDS = 3
CHECK_S = 0.25
"""How long a balancer waits for a host that says nothing, seconds."""


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
        store_link: Carries calls to it.
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
    store_link: StoreLink = attrs.field(init=False)
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
        self.store_link = StoreLink(self)
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
            self.store_link.call(host, host.generation)
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
        entry = published.entry_of(host, server, self.now)
        self.store.put(f"servers/{server.server_id}", entry)

    def publish(self, version: int, without: Sequence[str] = ()) -> None:
        """Publishes a configuration with a route for each kind."""
        kinds = [item for item in self.workloads if item.name not in without]
        self.store.put("op/config", published.configuration_of(version, kinds))

    # Network.

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether two IP numbers are cut apart."""
        return frozenset((one, other)) in self.cuts

    def _carry(self, source: str, target: str, zone: str, size: int) -> float:
        """Returns the delay of a datagram, or infinity where it is lost."""
        if self.is_cut(source, target) or self.rng.random() < self.loss:
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
                self.perform(host, host.node.on_caller(segment, self.now))

        self._when_awake(host, take)

    def perform(self, host: Host, todo: list[effects.Effect]) -> None:
        """Carries out what a process asks for."""
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
                case effects.CheckHost():
                    self._check_host(host, effect.host)
                case effects.ConfirmView():
                    self.store_link.confirm(host, host.generation)

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
            self.perform(host, todo)

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
                self.perform(
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
                self.perform(host, host.node.on_backend(segment, self.now))

        self.later(LOCAL_S, lambda: self._when_awake(host, take))

    def _check(self, host: Host) -> None:
        if isinstance(host.node, AgentNode):
            listens = host.server is not None and host.server.alive
            self.perform(host, host.node.on_checked(listens, self.now))

    def _check_host(self, source: Host, target: str) -> None:
        """Lets a balancer try to connect to another host."""
        host = self.hosts.get(target)
        reach = effects.Reach.SILENT
        if host is not None and not self.is_cut(source.ip, target):
            reach = host.reach()
        silent = reach is effects.Reach.SILENT
        delay = CHECK_S if silent else 2 * self.cross_zone_s

        def take() -> None:
            if isinstance(source.node, BalancerNode):
                node = source.node
                self.perform(
                    source, node.on_host_checked(target, reach, self.now)
                )

        self.later(delay, lambda: self._when_awake(source, take))

    # What happens by itself.

    def _tick_node(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.node is None:
            return
        if not host.frozen:
            self.perform(host, host.node.tick(self.now))
        self.later(0.01, lambda: self._tick_node(host, generation))

    def _tick_models(self) -> None:
        for caller in self.callers.values():
            caller.tick(self.now)
        for host in self.hosts.values():
            if host.server is not None and host.server.alive:
                host.server.tick(self.now)


def hash_text(text: str) -> int:
    """Returns a hash that is the same in every run."""
    return random.Random(text).getrandbits(32)
