"""Discrete-event simulation of a deployment: hosts, routers and network."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from notchhoist.base.draws import make_draw
from notchhoist.daemon.ports import SocketRole
from notchhoist.flows.agent.node import AgentNode, make_agent
from notchhoist.flows.agent.opening_gate import OpeningLimits
from notchhoist.flows.balancer.node import BalancerNode, make_balancer
from notchhoist.flows.codec.message_codec import encode_message
from notchhoist.flows.model import effects
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
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
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.judge import (
    COLD_OVERAGE,
    COLD_SLACK,
    DRAIN_S,
    EVACUATE_S,
    Judge,
)
from notchhoist.testing.opaque.links import make_link
from notchhoist.testing.opaque.network import CALLER_DELAY_S, KEY, Network
from notchhoist.testing.opaque.routers import PROBE_S, Routers
from notchhoist.testing.opaque.servers import ServerModel
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.opaque.store_link import StoreLink
from notchhoist.testing.opaque.traffic import Workload

LOOPBACK_DELAY_S = 0.00002
MODEL_TICK_S = 0.02
SEEDS = 3
HOST_CHECK_TIMEOUT_S = 0.25
"""Time until a balancer's connection attempt to a silent host times out,
seconds."""


@attrs.define(eq=False)
class OpaqueWorld:
    """State and event queue of one simulated run.

    Attributes:
        rng: Source of random draws.
        zones: Names of the availability zones.
        workloads: Kinds of request that callers send.
        steady: Routers hash consistently: when a balancer joins or leaves,
            only its flows move. Otherwise nearly all flows move.
        link_mbps: Capacity of the links of entry hosts, Mbit/s; 0 for no
            limit.
        paced: Balancers send no faster than their links carry.
        cold_per_s: Cold bound of a server in slow start, new flows a second;
            0 for no limit.
        uses: Mechanisms that are enabled in the daemons.
        judge: Records observations and broken rules.
        store: The platform's store.
        store_link: Carries requests of balancers to the store.
        routers: Forward callers' packets to balancers.
        network: Carries datagrams.
        now: Simulated time, seconds.
        hosts: Hosts by IP number.
        callers: Callers by zone.
        zone_of_caller: Zone of each caller's IP number.
        requests: Workload of each request by its number.
        queue: Heap of pending events: time, sequence number and action.
        numbers: Sequence numbers, which order events of the same time.
        codec: Decodes packets for the daemons.
    """

    rng: random.Random
    zones: Sequence[str]
    workloads: tuple[Workload, ...]
    steady: bool = False
    link_mbps: float = 0.0
    paced: bool = True
    cold_per_s: float = 0.0
    uses: Mechanisms = ALL
    judge: Judge = attrs.Factory(Judge)
    store: StoreModel = attrs.field(init=False)
    store_link: StoreLink = attrs.field(init=False)
    routers: Routers = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    now: float = 0.0
    hosts: dict[str, Host] = attrs.Factory(dict)
    callers: dict[str, CallerModel] = attrs.Factory(dict)
    zone_of_caller: dict[str, str] = attrs.Factory(dict)
    requests: dict[int, Workload] = attrs.Factory(dict)
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    numbers: "itertools.count[int]" = attrs.Factory(itertools.count)
    codec: PacketCodec = attrs.Factory(PacketCodec)

    def __attrs_post_init__(self) -> None:
        self.judge.cold_per_s = self.cold_per_s
        self.store = StoreModel(random.Random(self.rng.random()))
        self.store_link = StoreLink(self)
        self.network = Network(self)
        self.routers = Routers(self.hosts, self.steady)
        for zone in self.zones:
            self._add_callers(zone)
        self._every(MODEL_TICK_S, self._tick_models)
        self._every(PROBE_S, self.routers.probe)

    # Event queue.

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay, seconds."""
        entry = (self.now + delay, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def _every(self, period: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.later(period, again)

        self.later(period, again)

    def run_until(self, when: float) -> None:
        """Runs all events up to a time and sets the clock to it."""
        while self.queue and self.queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = when

    # Construction of hosts, servers and callers.

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
        """Adds and starts an entry host, or a host with a backend server."""
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
        """Starts the daemon of a host: an agent or a balancer."""
        host.generation += 1
        host.waiting.clear()
        mbps = 0.0 if host.service else self.link_mbps
        host.link = make_link(mbps, self.paced)
        if host.service:
            slack = COLD_SLACK if self.cold_per_s else None
            limits = OpeningLimits(EVACUATE_S, COLD_OVERAGE, slack, DRAIN_S)
            host.node = make_agent(
                host.service, self.codec, self.now, self.uses, limits=limits
            )
        else:
            name = f"{host.name}/{host.generation}"
            seeds = self._seeds()
            node = make_balancer(
                host.zone,
                self.codec,
                name,
                host.ip,
                seeds,
                uses=self.uses,
                started_at=self.now,
            )
            host.node = node
            host.feeder = StoreFeeder(node, StoreReader(make_draw(name)))
            self.store_link.call(host, host.generation)
        self._tick_node(host, host.generation)

    def _seeds(self) -> tuple[str, ...]:
        """Returns the seed balancers of the settings: the first three."""
        entries = [host for host in self.hosts.values() if not host.service]
        return tuple(host.ip for host in entries[:SEEDS])

    def start_server(
        self, host: Host, slots: int = 3, server_id: str = ""
    ) -> None:
        """Starts a new incarnation of a backend server.

        Args:
            host: Its host.
            slots: Requests that it runs concurrently.
            server_id: Its id; empty for a new random one.
        """
        server_id = server_id or f"i{self.rng.getrandbits(24):06x}"
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
            zone=host.zone,
        )
        host.server = server
        self.announce(host, server)

    def announce(self, host: Host, server: ServerModel) -> None:
        """Writes a server's entry into the store, as the server itself does."""
        entry = published.entry_of(host, server, self.now)
        self.store.put(f"servers/{server.server_id}", entry)

    def publish(self, version: int, without: Sequence[str] = ()) -> None:
        """Publishes a configuration with routes for all kinds but some."""
        kinds = [item for item in self.workloads if item.name not in without]
        document = published.configuration_of(version, kinds, self.cold_per_s)
        self.store.put("op/config", document)

    # Network.

    def _from_caller(self, zone: str, frame: Frame) -> None:
        host = self.routers.route(zone, frame)
        if host is None:
            return
        raw = encode_frame(frame, KEY)
        delay = self.network.carry(frame.src[0], host.ip, host.zone, len(raw))
        if delay < float("inf"):
            self.later(
                CALLER_DELAY_S + delay, lambda: self._at_balancer(host, raw)
            )

    def _at_balancer(self, host: Host, raw: bytes) -> None:
        def take() -> None:
            if isinstance(host.node, BalancerNode):
                segment = self.codec.decode_request(raw)
                self.perform(host, host.node.on_caller(segment, self.now))

        self.network.when_awake(host, take)

    def perform(self, host: Host, todo: Sequence[effects.Effect]) -> None:
        """Performs the effects that a daemon returned."""
        for effect in todo:
            match effect:
                case effects.SendAgent(target, raw, flow, seq):
                    self.network.send_datagram(
                        host, SocketRole.PEERS, target, raw, flow, seq
                    )
                case effects.SendBalancer(target, raw):
                    self.network.send_datagram(
                        host, SocketRole.PEERS, target, raw
                    )
                case effects.SendPeer(target, message):
                    raw = encode_message(message)
                    self.network.send_datagram(
                        host, SocketRole.CONTROL, target, raw
                    )
                case effects.SendCaller(target, raw, flow, seq):
                    self.network.send_datagram(
                        host, SocketRole.PACKETS, target, raw, flow, seq
                    )
                case effects.SendBackend():
                    self._to_server(host, effect.datagram)
                case effects.CheckBackend():
                    self.later(
                        LOOPBACK_DELAY_S, lambda: self._check_backend(host)
                    )
                case effects.CheckHost():
                    self._check_host(host, effect.host)
                case effects.ConfirmView():
                    self.store_link.confirm(host, host.generation)

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

        self.later(LOOPBACK_DELAY_S, take)

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

        self.later(
            LOOPBACK_DELAY_S, lambda: self.network.when_awake(host, take)
        )

    def _check_backend(self, host: Host) -> None:
        if isinstance(host.node, AgentNode):
            listens = host.server is not None and host.server.alive
            self.perform(host, host.node.on_backend_checked(listens, self.now))

    def _check_host(self, source: Host, target: str) -> None:
        """Simulates a balancer's connection attempt to another host."""
        host = self.hosts.get(target)
        result = effects.ConnectResult.SILENT
        if host is not None and not self.network.is_cut(source.ip, target):
            result = host.connect_result()
        silent = result is effects.ConnectResult.SILENT
        delay = (
            HOST_CHECK_TIMEOUT_S if silent else 2 * self.network.cross_zone_s
        )

        def take() -> None:
            if isinstance(source.node, BalancerNode):
                node = source.node
                self.perform(
                    source, node.on_host_checked(target, result, self.now)
                )

        self.later(delay, lambda: self.network.when_awake(source, take))

    # Periodic events.

    def _tick_node(self, host: Host, generation: int) -> None:
        if host.generation != generation or host.node is None:
            return
        if not host.frozen:
            self.perform(host, host.node.tick(self.now))
        self.later(0.01, lambda: self._tick_node(host, generation))

    def _tick_models(self) -> None:
        if self.store.down or self.store.lost_share:
            self.judge.core_disturbed_at = self.now
        for caller in self.callers.values():
            caller.tick(self.now)
        for host in self.hosts.values():
            if host.server is not None and host.server.alive:
                host.server.tick(self.now)
