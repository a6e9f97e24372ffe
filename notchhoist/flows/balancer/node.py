"""Balancer node of the opaque-flow path."""

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base.draws import first_number, make_draw
from notchhoist.flows.balancer.absence import AbsenceChecker
from notchhoist.flows.balancer.caller_packets import CallerPackets
from notchhoist.flows.balancer.confirming import ViewConfirmer
from notchhoist.flows.balancer.distances import make_distances
from notchhoist.flows.balancer.finding import FlowFinder
from notchhoist.flows.balancer.flow_queries import make_flow_queries
from notchhoist.flows.balancer.forwarding import FlowForwarder
from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.balancer.idle_flows import IdleFlowMonitor
from notchhoist.flows.balancer.informing import AgentInformer
from notchhoist.flows.balancer.isolation import IsolationDetector
from notchhoist.flows.balancer.liveness import HostChecker
from notchhoist.flows.balancer.lost_flows import LostFlows
from notchhoist.flows.balancer.opening import FlowOpener, make_opener
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.balancer.resuming import FlowResumer
from notchhoist.flows.balancer.sample_packets import SampleSender
from notchhoist.flows.balancer.scope import SearchScope
from notchhoist.flows.balancer.service_identity import ServiceIdentifier
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions.completeness import CONTACT_S
from notchhoist.flows.decisions.early_packets import EarlyPackets
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import ConnectResult, Effect
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.messages import (
    FlowsTell,
    LoadTell,
    PeerMessage,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count, Readiness
from notchhoist.flows.model.segments import Segment, SegmentCodec
from notchhoist.flows.published.fleet_updater import (
    FleetUpdater,
    make_fleet_updater,
)
from notchhoist.flows.published.reroutings import RerouteDetector
from notchhoist.flows.published.view_sync import (
    ViewSynchronizer,
    make_view_synchronizer,
)

SWEEP_EVERY_S = 1.0
CLOSED_KEPT_S = 3.0
"""How long a placement is kept for the last packets of a flow after its caller
has closed it, seconds; longer than the longest pause between two
retransmissions, 1.6 s."""


class BalancerNode(Struct, eq=False):
    """Decision logic of a balancer; see ``make_balancer``.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        fleet: Applies what the platform publishes.
        resetter: Resets flows.
        health: Monitors the health of agents.
        opener: Places new flows.
        finder: Searches for flows that are not known here.
        reroute_detector: Detects routes that no longer name a service.
        synchronizer: Synchronizes the published view with other balancers.
        informer: Sends agents the published state of their servers.
        isolation: Detects that this balancer is isolated.
        identifier: Learns which service an agent runs.
        caller_packets: Routes packets of callers.
        idle_monitor: Checks idle flows whose server may be down.
        readiness: Records why this balancer is not ready.
        sweep_due: When expired state is next removed, seconds.
    """

    board: BalancerBoard
    codec: SegmentCodec
    fleet: FleetUpdater
    resetter: FlowResetter
    health: AgentHealthMonitor
    opener: FlowOpener
    finder: FlowFinder
    reroute_detector: RerouteDetector
    synchronizer: ViewSynchronizer
    informer: AgentInformer
    isolation: IsolationDetector
    identifier: ServiceIdentifier
    caller_packets: CallerPackets
    idle_monitor: IdleFlowMonitor
    readiness: Readiness
    sweep_due: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether routers should send flows to this balancer."""
        return self.board.not_ready is None

    def on_caller(self, segment: Segment, now: float) -> list[Effect]:
        """Handles a packet of a caller."""
        board = self.board
        board.records.counters[Count.CALLER_PACKETS] += 1
        self.caller_packets.handle(segment, now)
        return self.take_effects()

    def on_agent(self, host: str, segment: Segment, now: float) -> list[Effect]:
        """Handles a packet of an agent."""
        self.board.records.counters[Count.PEER_PACKETS] += 1
        if host not in self.board.by_host:
            self.board.records.counters[Count.UNKNOWN_SENDER] += 1
            return []
        kind = notes.kind_of(segment.note)
        load = notes.load_of(segment.note)
        if kind is NoteKind.AT_COLD_BOUND:
            load = replace(
                load, service_time_ms=self.board.by_host[host].service_time_ms
            )
        self.health.on_heard(host, load, now)
        self._repeat_overdue_question(host, now)
        match kind:
            case NoteKind.ACCEPTED:
                self.opener.outcomes.on_accepted(host, segment, now)
            case NoteKind.AT_COLD_BOUND:
                self.opener.on_full(host, segment, now)
            case NoteKind.BUSY:
                self.opener.on_busy(host, segment, now)
            case NoteKind.REFUSED:
                self.opener.on_refused(host, segment, now)
            case NoteKind.RETURNED:
                self.board.records.counters[Count.RETURNED] += 1
                self.finder.on_returned(host, segment, now)
            case NoteKind.ABSENT | NoteKind.PRESENT | NoteKind.UNSURE:
                self.finder.on_answer(host, kind, segment, now)
            case _:
                self.board.records.counters[Count.MALFORMED] += 1
        return self.take_effects()

    def on_peer(
        self, host: str, message: PeerMessage, now: float
    ) -> list[Effect]:
        """Handles a control message."""
        match message:
            case LoadTell():
                self.health.on_load_tell(host, message, now)
                self.identifier.on_load_tell(host, message, now)
                self.informer.on_load_tell(host, message, now)
                self._repeat_overdue_question(host, now)
            case FlowsTell():
                self.finder.on_tell(host, message, now)
            case ViewAsk():
                self.synchronizer.on_query(host, message, now)
            case ViewTell():
                self.synchronizer.on_update(host, message, now)
            case ViewPiece():
                self.synchronizer.on_piece(host, message, now)
        self.on_published(now)
        return self.take_effects()

    def _repeat_overdue_question(self, host: str, now: float) -> None:
        server = self.board.by_host.get(host)
        if server is not None:
            self.finder.queries.on_heard(host, server.tag, now)

    def on_host_checked(
        self, host: str, reach: ConnectResult, now: float
    ) -> list[Effect]:
        """Handles the outcome of ``CheckHost``."""
        self.health.host_checker.on_checked(host, reach, now)
        return self.take_effects()

    def on_resumed(self, now: float) -> None:
        """Handles that messages which waited through a stall have been read.

        What agents said during the stall is no answer to any later packet.
        """
        self.board.resumed_at = now

    def on_published(self, now: float) -> None:
        """Handles changes of what the platform publishes."""
        self.reroute_detector.check(now)
        self.caller_packets.replay_early(now)
        self._update_readiness(now)

    def _update_readiness(self, now: float) -> None:
        self.readiness.update(self.board.not_ready, now, self._state_sources)

    def _state_sources(self, now: float) -> dict[str, object]:
        from notchhoist.flows.balancer.readiness import state_sources

        return state_sources(self.board, self.synchronizer.membership, now)

    def tick(self, now: float) -> list[Effect]:
        """Performs the periodic work that is due."""
        self.caller_packets.early.note_start(now)
        self.reroute_detector.check(now)
        self.opener.tick(now)
        self.idle_monitor.tick(now)
        self.finder.tick(now)
        self.health.tick(now)
        self.isolation.tick(now)
        self.synchronizer.tick(now)
        self.informer.tick(now)
        self._update_readiness(now)
        if now >= self.sweep_due:
            self.sweep_due = now + SWEEP_EVERY_S
            self._sweep(now)
        return self.take_effects()

    def _sweep(self, now: float) -> None:
        self.fleet.sweep(now)
        self.finder.absence.is_list_stable(now)
        self.health.probe_unavailable(now)
        self.health.distances.sweep(now)
        flows = self.board.flows
        idle_s = self.board.table.idle_s if self.board.table else 0.0
        expired = [
            flow
            for flow, placement in flows.items()
            if now - placement.last_at
            > (CLOSED_KEPT_S if placement.closing else idle_s + CLOSED_KEPT_S)
        ]
        for flow in expired:
            del flows[flow]

    def stop(self) -> None:
        """Begins a planned stop: routers should send flows elsewhere."""
        self.board.stopping = True

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            self.opener.due(),
            self.finder.due(),
            self.health.due(),
            self.synchronizer.due(),
            self.informer.due(),
            self.idle_monitor.due(),
            self.sweep_due,
        )

    def take_effects(self) -> list[Effect]:
        """Returns the pending effects and clears them."""
        effects = list(self.board.outbox)
        self.board.outbox.clear()
        return effects


def make_balancer(
    zone: str,
    codec: SegmentCodec,
    seed: str,
    host: str = "",
    seeds: tuple[str, ...] = (),
    link_mbps: int = 0,
    uses: Mechanisms = ALL,
    contact_s: float = CONTACT_S,
    first_start: bool = False,
    started_at: float = float("-inf"),
) -> BalancerNode:
    """Creates a balancer without any knowledge of routes and servers.

    Args:
        zone: Its availability zone.
        codec: Codec of the packets.
        seed: Seed of all random numbers.
        host: IP address of its host.
        seeds: Hosts of some other balancers.
        link_mbps: Bandwidth of the host's link, Mbit/s; 0 if unknown.
        uses: Mechanisms in use.
        contact_s: See ``BalancerBoard``.
        first_start: The whole system starts for the first time, so no flow is
            older than the balancer.
        started_at: When the process started, seconds.
    """
    board = BalancerBoard(zone, host, started_at, contact_s, uses=uses)
    if first_start:
        board.reroutes_known_since = float("-inf")
    early = EarlyPackets()
    resetter = FlowResetter(board, codec)
    distances = make_distances(zone)
    host_checker = HostChecker(board)
    health = AgentHealthMonitor(
        board, LostFlows(board, resetter), host_checker, distances, link_mbps
    )
    fleet = make_fleet_updater(board)
    draw, numbers = make_draw(seed), make_draw(f"numbers of {seed}")
    number = first_number(numbers)
    synchronizer = make_view_synchronizer(
        board, fleet, seeds, link_mbps, number
    )
    informer = AgentInformer(board, synchronizer)
    queries = make_flow_queries(board, codec, distances, first_number(numbers))
    absence = AbsenceChecker(board)
    finder = FlowFinder(
        board,
        codec,
        health,
        resetter,
        ViewConfirmer(board),
        queries,
        SampleSender(board, codec, queries),
        FlowResumer(board, codec, health),
        absence,
        SearchScope(board, absence),
    )
    opener = make_opener(board, codec, health, resetter, draw, early, informer)
    return BalancerNode(
        board=board,
        codec=codec,
        fleet=fleet,
        resetter=resetter,
        health=health,
        opener=opener,
        finder=finder,
        reroute_detector=RerouteDetector(board),
        synchronizer=synchronizer,
        informer=informer,
        isolation=IsolationDetector(board, health, synchronizer),
        identifier=ServiceIdentifier(board, opener),
        caller_packets=CallerPackets(
            board,
            resetter,
            opener,
            FlowForwarder(board, codec, health),
            finder,
            early,
        ),
        idle_monitor=IdleFlowMonitor(board, codec, health, finder),
        readiness=Readiness(board.records, started_at),
    )
