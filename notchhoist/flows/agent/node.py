"""The node of an agent for opaque flows."""

from msgspec import Struct

from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.flow_lookup import FlowLookup
from notchhoist.flows.agent.flow_offers import FlowOffers
from notchhoist.flows.agent.free_slots import FreeSlots
from notchhoist.flows.agent.idle_survey import IdleFlowSurvey
from notchhoist.flows.agent.load_counter import LoadCounter
from notchhoist.flows.agent.opening_gate import OpeningGate, OpeningLimits
from notchhoist.flows.agent.packet_forwarder import PacketForwarder
from notchhoist.flows.agent.refuser import Refuser
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.request_gate import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.queueing import SlotQueue
from notchhoist.flows.model import notes
from notchhoist.flows.model.backend_flows import (
    CLOSED_KEPT_S,
    ENDED_PHASES,
    BackendFlow,
    Phase,
)
from notchhoist.flows.model.effects import (
    Effect,
    SendCaller,
)
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.messages import (
    FlowsAsk,
    LoadAsk,
    PeerMessage,
)
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count, Readiness
from notchhoist.flows.model.segments import Segment, SegmentCodec

IDLE_RETENTION_S = 60.0
"""Time after its last packet until an open flow is forgotten, seconds."""

STOP_NOTICE_WINDOW_S = 60.0
"""Balancers heard within this time are notified of a planned stop, seconds; it
equals the longest lifetime of a flow. A balancer whose flows are all idle was
last heard long ago; without the notice it takes the silence of the restart for
the loss of the agent and searches for the flows."""

SWEEP_INTERVAL_S = 1.0

DEFAULT_LIMITS = OpeningLimits()


class AgentNode(Struct, eq=False):
    """Turns the events of an agent into effects; see ``make_agent``.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        request_gate: Admits requests to the slots of the backend server.
        watch: Detects that the backend server has exited.
        sweep_due: When old flows are next forgotten, seconds.
        counter: Counts the load.
        opening_gate: Decides whether the backend server may get a new flow.
        replies: Sends replies to balancers.
        offers: Offers new flows to the backend server.
        lookup: Answers balancers that search for flows.
        forwarder: Forwards packets of existing flows.
        idle_survey: Resets idle flows whose server has exited.
        readiness: Records why the agent is not ready.
    """

    board: AgentBoard
    codec: SegmentCodec
    request_gate: RequestGate
    watch: BackendWatch
    counter: LoadCounter
    opening_gate: OpeningGate
    replies: Replies
    offers: FlowOffers
    lookup: FlowLookup
    forwarder: PacketForwarder
    idle_survey: IdleFlowSurvey
    readiness: Readiness
    sweep_due: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the agent serves, which ends with a planned stop."""
        return self.board.not_ready is None

    def _update_readiness(self, now: float) -> None:
        self.readiness.update(self.board.not_ready, now, lambda _: {})

    def load(self, now: float) -> Load:
        """Returns the load of the backend server; see ``LoadCounter``."""
        return self.counter.load(now)

    def on_balancer(
        self, host: str, segment: Segment, now: float, service: str = ""
    ) -> list[Effect]:
        """Handles a packet from a balancer.

        Args:
            host: Host of the balancer.
            segment: The packet.
            now: Runtime clock, seconds.
            service: The service that an opening packet is for; empty if the
                balancer gives only its tag.
        """
        board = self.board
        board.balancers[host] = now
        kind = notes.kind_of(segment.note)
        if kind is NoteKind.QUERY:
            self._answer_lookup(host, segment, now)
        elif not self._is_for_this_service(segment, service):
            board.records.counters[Count.WRONG_SERVICE] += 1
            self.replies.return_packet(host, segment, "other service", now)
        elif board.backend_gone:
            self.watch.schedule_check(now)
            self.replies.return_packet(
                host, segment, "backend server gone", now
            )
        elif segment.opens:
            self.offers.on_opening(host, segment, kind, now)
        else:
            self.forwarder.forward(host, segment, kind, now)
        return self._take_effects()

    def _is_for_this_service(self, segment: Segment, service: str) -> bool:
        if service:
            return service == self.board.service
        return notes.tag_of(segment) == self.board.tag

    def _answer_lookup(self, host: str, segment: Segment, now: float) -> None:
        kind = self.lookup.presence_of(segment, notes.tag_of(segment), now)
        self.replies.send_note(host, kind, segment, now)

    def _answer_flows(self, host: str, query: FlowsAsk, now: float) -> None:
        """Answers a query and forwards its sample packets to the server."""
        self.lookup.on_query(host, query, self.load(now), now)
        for segment in self.lookup.decode(query.samples):
            if query.tag != self.board.tag or self.board.backend_gone:
                self.lookup.note_absent(host, segment.flow, now)
                continue
            self.forwarder.forward(host, segment, NoteKind.SAMPLE, now)
            held = self.board.flows.get(segment.flow)
            if held is not None:
                held.sampled = held.phase is Phase.UNCONFIRMED

    def on_backend(self, segment: Segment, now: float) -> list[Effect]:
        """Handles a packet that the backend server sent or returned."""
        board = self.board
        board.records.counters[Count.ANSWER_PACKETS] += 1
        self.idle_survey.on_heard(now)
        if segment.returned:
            self._on_returned(segment, now)
            return self._take_effects()
        held = board.flows.get(segment.flow)
        if held is None:
            # The agent has restarted; the answer shows that the flow is open.
            held = BackendFlow(Phase.OPEN, "", now, now)
            board.flows[segment.flow] = held
        if held.phase is Phase.REFUSED:
            # Retransmissions of an acceptance that must not reach the caller.
            return self._take_effects()
        held.record_ack(segment)
        held.record_server_packet(segment, now)
        if segment.accepts:
            self.watch.on_accepted()
            self.offers.on_accepted(held, segment, now)
        elif held.phase is Phase.UNCONFIRMED:
            self._on_confirmed(held, now)
        if segment.size or segment.closes:
            # The packet that ends an answer may overtake its data.
            self.request_gate.on_answer(segment, held, now)
        if segment.resets:
            self.request_gate.on_reset(held)
            self.idle_survey.on_reset(held, segment.flow, now)
        if segment.closes or segment.resets:
            held.phase = Phase.CLOSED
            self.request_gate.forget(segment.flow, now)
        held.last_at = now
        board.outbox.append(
            SendCaller(
                segment.caller,
                self.codec.with_note(segment, 0),
                segment.flow,
                segment.seq,
            )
        )
        return self._take_effects()

    def _on_confirmed(self, held: BackendFlow, now: float) -> None:
        """Reports an unconfirmed flow as present to its balancer."""
        held.phase = Phase.OPEN
        if held.balancer and held.last_packet is not None:
            self.replies.send_note(
                held.balancer, NoteKind.PRESENT, held.last_packet, now
            )

    def _on_returned(self, segment: Segment, now: float) -> None:
        """Handles a packet that the backend server has returned."""
        held = self.board.flows.pop(segment.flow, None)
        if held is not None and held.is_within_idle_timeout(now):
            # The server held this flow; it has restarted since.
            self.opening_gate.note_backend_restart(now)
        self.offers.offered.pop(segment.flow, None)
        self.request_gate.forget(segment.flow, now)
        if held is None or self.idle_survey.reset_returned(held, segment, now):
            return
        if not held.balancer:
            return
        unconfirmed = held.phase is Phase.UNCONFIRMED
        if unconfirmed and held.sampled:
            self.lookup.note_absent(held.balancer, segment.flow, now)
            return
        self.replies.return_packet(
            held.balancer,
            segment,
            "" if unconfirmed else "server returned it",
            now,
        )

    def on_backend_checked(
        self, listens: bool, now: float, ended: bool | None = None
    ) -> list[Effect]:
        """Handles the outcome of ``CheckBackend``; see ``BackendWatch``."""
        had_exited = self.board.backend_gone
        unconfirmed = self._unconfirmed_flows()
        if self.watch.on_checked(listens, now, ended):
            self.offers.offered.clear()
            for flow, held in unconfirmed:
                self.lookup.note_absent(held.balancer, flow, now)
        if had_exited and not self.board.backend_gone:
            self.opening_gate.note_backend_restart(now)
        return self._take_effects()

    def _unconfirmed_flows(self) -> list[tuple[bytes, BackendFlow]]:
        """Returns unconfirmed flows that a balancer awaits a report of."""
        return [
            (flow, held)
            for flow, held in self.board.flows.items()
            if held.phase is Phase.UNCONFIRMED and held.balancer
        ]

    def on_peer(
        self, host: str, message: PeerMessage, now: float
    ) -> list[Effect]:
        """Handles a control message from a balancer."""
        self.board.balancers[host] = now
        if isinstance(message, LoadAsk):
            self._update_state(message, now)
            self.replies.send_load(host, now)
            self.offers.decide_deferred(now)
        elif isinstance(message, FlowsAsk):
            self._answer_flows(host, message, now)
        return self._take_effects()

    def _update_state(self, message: LoadAsk, now: float) -> None:
        self.board.slots = message.slots
        if message.state is None:
            return
        if self.opening_gate.update_state(message.state, now):
            self.opening_gate.note_backend_restart(now)
            self.watch.on_restarted(now)
            self.idle_survey.survey("server began anew")

    def tick(self, now: float) -> list[Effect]:
        """Runs all timers that are due."""
        self.offers.tick(now)
        if self.opening_gate.is_past_evacuation_cutoff(now):
            self.request_gate.refuse_unopened("zone evacuated", now)
        self.request_gate.tick(now)
        self.idle_survey.tick(now)
        self.watch.tick(now)
        self._update_readiness(now)
        if now >= self.lookup.outcomes_due:
            self.lookup.tick(self.load(now), now)
        if now >= self.sweep_due:
            self.sweep_due = now + SWEEP_INTERVAL_S
            self._sweep(now)
        return self._take_effects()

    def _sweep(self, now: float) -> None:
        flows = self.board.flows
        forgotten = [
            flow
            for flow, held in flows.items()
            if now - held.last_at
            > (
                CLOSED_KEPT_S
                if held.phase in ENDED_PHASES
                else IDLE_RETENTION_S
            )
        ]
        for flow in forgotten:
            del flows[flow]
            self.request_gate.forget(flow, now)
        self.request_gate.sweep(now)

    def stop(self, now: float) -> list[Effect]:
        """Begins a planned stop and notifies the balancers."""
        self.board.stopping = True
        self._update_readiness(now)
        for host, heard_at in self.board.balancers.items():
            if now - heard_at <= STOP_NOTICE_WINDOW_S:
                self.replies.send_load(host, now)
        return self._take_effects()

    def awaits_backend_exit(self) -> bool:
        """Tells whether a planned stop must wait until the server exits.

        A draining server exits soon, and only its agent can observe that.
        """
        return self.idle_survey.awaits_backend_exit()

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            self.offers.due(),
            self.watch.due(),
            self.idle_survey.due(),
            self.lookup.outcomes_due,
            self.sweep_due,
            self.request_gate.due(),
        )

    def _take_effects(self) -> list[Effect]:
        effects = list(self.board.outbox)
        self.board.outbox.clear()
        return effects


def make_agent(
    service: str,
    codec: SegmentCodec,
    now: float,
    uses: Mechanisms = ALL,
    knows_all_flows: bool = False,
    limits: OpeningLimits = DEFAULT_LIMITS,
) -> AgentNode:
    """Returns the node of an agent that starts now.

    Args:
        service: Service of the backend server on this host.
        codec: Codec of the packets.
        now: Runtime clock, seconds.
        uses: Which mechanisms are in use.
        knows_all_flows: The whole system starts for the first time, so no flow
            is older than the agent.
        limits: Limits for new flows, from the settings.
    """
    tag = notes.service_tag(service)
    board = AgentBoard(service, tag, now, knows_all_flows, uses=uses)
    refuser = Refuser(board, codec)
    request_gate = RequestGate(board, codec, refuser, queue=SlotQueue(uses))
    watch = BackendWatch(board, codec, request_gate)
    counter = LoadCounter(board, request_gate)
    lookup = FlowLookup(board, codec)
    opening_gate = OpeningGate(board, limits)
    replies = Replies(board, codec, counter)
    free_slots = FreeSlots(board, request_gate)
    offers = FlowOffers(board, codec, opening_gate, free_slots, replies, watch)
    return AgentNode(
        board=board,
        codec=codec,
        request_gate=request_gate,
        watch=watch,
        counter=counter,
        opening_gate=opening_gate,
        replies=replies,
        offers=offers,
        lookup=lookup,
        forwarder=PacketForwarder(
            board,
            codec,
            request_gate,
            refuser,
            watch,
            opening_gate,
            replies,
            lookup,
        ),
        idle_survey=IdleFlowSurvey(board, codec, watch),
        readiness=Readiness(board.records, now),
    )
