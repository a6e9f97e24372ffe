"""An agent's controller that offers new flows to its backend server."""

from msgspec import Struct, field

from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.free_slots import FreeSlots
from notchhoist.flows.agent.opening_gate import DEFER_MAX_S, OpeningGate
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.backend_flows import (
    ENDED_PHASES,
    BackendFlow,
    Phase,
)
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.model.segments import Segment, SegmentCodec

ACCEPT_TIMEOUT_S = 0.025
"""Time for a backend server to accept a flow, seconds; it takes 0.3 ms."""


class DeferredOpening(Struct, frozen=True):
    """A new flow that came before the state of the server was reported.

    Attributes:
        host: Host of the balancer that sent it.
        segment: Its opening packet.
        since: When the packet came, seconds.
    """

    host: str
    segment: Segment
    since: float


class FlowOffers(Struct, eq=False):
    """Offers new flows to the backend server, or returns them.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        opening_gate: Decides whether the backend server may get a new flow.
        free_slots: Tells whether a slot is free for a new flow.
        replies: Sends replies to balancers.
        watch: Detects that the backend server has exited.
        offered: Flows that the backend server has not accepted yet.
        deferred: New flows that wait for a report of the server state.
    """

    board: AgentBoard
    codec: SegmentCodec
    opening_gate: OpeningGate
    free_slots: FreeSlots
    replies: Replies
    watch: BackendWatch
    offered: dict[bytes, BackendFlow] = field(default_factory=dict)
    deferred: dict[bytes, DeferredOpening] = field(default_factory=dict)

    def on_opening(
        self, host: str, segment: Segment, kind: NoteKind, now: float
    ) -> None:
        """Handles an opening packet or its retransmission.

        Args:
            host: Host of the balancer that sent it.
            segment: The packet.
            kind: On which condition the balancer offers it, if any.
            now: Runtime clock, seconds.
        """
        has_cold_bound = kind is NoteKind.PLACE_BOUNDED
        known = self.board.flows.get(segment.flow)
        new = known is None or known.phase in ENDED_PHASES
        if new and self.opening_gate.must_defer(has_cold_bound):
            self._defer(host, segment, now)
        elif new and self._must_send_busy(kind, now):
            self.replies.send_busy(host, segment, now)
        else:
            self._offer_or_refuse(host, segment, has_cold_bound, now)

    def _must_send_busy(self, kind: NoteKind, now: float) -> bool:
        """Tells whether a conditional offer is returned for lack of a slot.

        Where the server gets no new flows at all, that is reported instead.
        """
        if kind is not NoteKind.PLACE_IF_FREE:
            return False
        closed = self.opening_gate.closed_pause_s(now) > 0
        return not closed and not self.free_slots.has_free_slot(now)

    def _offer_or_refuse(
        self, host: str, segment: Segment, has_cold_bound: bool, now: float
    ) -> None:
        """Offers a flow to the backend server or refuses it."""
        board = self.board
        held = board.flows.get(segment.flow)
        new = held is None or held.phase in ENDED_PHASES
        pause_s = self._pause_s(held, new, has_cold_bound, now)
        if pause_s:
            self._refuse(host, segment, held, pause_s, now)
            return
        if held is None or new:
            held = BackendFlow(Phase.OFFERED, host, now, now, opening=segment)
            board.flows[segment.flow] = held
            self.replies.counter.note_offer()
            self.opening_gate.note_opening(now)
            if not notes.hints_of(segment.note).upload:
                self.free_slots.reserve(segment.flow, now)
        held.balancer = host
        if held.hints is None:
            held.hints = notes.hints_of(segment.note)
            held.hints_received_at = now
        if held.phase is Phase.OFFERED:
            held.since = now
            self.offered[segment.flow] = held
        board.outbox.append(SendBackend(self.codec.with_note(segment, 0)))

    def _pause_s(
        self,
        held: BackendFlow | None,
        new: bool,
        has_cold_bound: bool,
        now: float,
    ) -> float:
        """Returns the pause if such a packet is refused, else 0, seconds."""
        opening_gate = self.opening_gate
        if held is None or new:
            return opening_gate.pause_s(now, has_cold_bound)
        if held.phase is Phase.OFFERED:
            return opening_gate.closed_pause_s(now)
        if (
            held.phase is Phase.ACCEPTED
            and opening_gate.is_past_evacuation_cutoff(now)
        ):
            return opening_gate.closed_pause_s(now)
        return 0.0

    def _refuse(
        self,
        host: str,
        segment: Segment,
        held: BackendFlow | None,
        pause_s: float,
        now: float,
    ) -> None:
        """Returns a new flow to its balancer, with a pause."""
        if held is not None and held.phase is Phase.ACCEPTED:
            held.phase = Phase.REFUSED
        elif held is not None and held.phase is Phase.OFFERED:
            self.forget(segment.flow)
        self.replies.send_full(host, segment, pause_s, now)
        state = self.board.state
        self.board.records.record_decision(
            "turn away",
            segment.flow,
            self.opening_gate.refusal_reason(),
            pause_s=round(pause_s, 3),
            handed=len(self.opening_gate.recent_openings.times),
            revision=state.revision if state else 0,
        )

    def forget(self, flow: bytes) -> None:
        """Forgets an offered flow and its reserved slot."""
        self.board.flows.pop(flow, None)
        self.board.reserved_until.pop(flow, None)
        self.offered.pop(flow, None)

    def on_accepted(
        self, held: BackendFlow, segment: Segment, now: float
    ) -> None:
        """Handles the acceptance of a flow by the backend server."""
        self.offered.pop(segment.flow, None)
        held.server_seq = segment.seq
        if held.phase is Phase.OFFERED:
            held.phase = Phase.ACCEPTED
            held.since = now
        if held.balancer and held.opening is not None:
            self.replies.send_note(
                held.balancer, NoteKind.ACCEPTED, held.opening, now
            )

    def _defer(self, host: str, segment: Segment, now: float) -> None:
        """Defers a new flow and lets the balancer report the server state.

        The load that is sent names no state revision, which asks for a report.
        """
        if segment.flow not in self.deferred:
            self.deferred[segment.flow] = DeferredOpening(host, segment, now)
            self.replies.send_load(host, now)

    def decide_deferred(self, now: float) -> None:
        """Offers or refuses all deferred flows that callers still wait for."""
        openings, self.deferred = self.deferred, {}
        for item in openings.values():
            if now - item.since >= ATTEMPT_TIMEOUT_S:
                self.board.records.counters[Count.OPENINGS_EXPIRED] += 1
                continue
            self._offer_or_refuse(item.host, item.segment, True, now)

    def tick(self, now: float) -> None:
        """Handles deferred flows and offers whose time is over."""
        if self.deferred and now >= self._deferred_due():
            self.decide_deferred(now)
        timed_out = [
            held
            for held in self.offered.values()
            if now - held.since >= ACCEPT_TIMEOUT_S
        ]
        for held in timed_out:
            self._on_offer_timeout(held, now)

    def _on_offer_timeout(self, held: BackendFlow, now: float) -> None:
        """Returns a flow that the backend server has not accepted in time."""
        segment = held.opening
        if segment is None:
            return
        self.board.records.counters[Count.BACKEND_SILENT] += 1
        self.offered.pop(segment.flow, None)
        self.board.reserved_until.pop(segment.flow, None)
        self.watch.schedule_check(now)
        self.replies.return_packet(
            held.balancer, segment, "server is silent", now
        )

    def _deferred_due(self) -> float:
        first = min(
            (item.since for item in self.deferred.values()),
            default=float("inf"),
        )
        return first + DEFER_MAX_S

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        offered = min(
            (held.since for held in self.offered.values()),
            default=float("inf"),
        )
        return min(offered + ACCEPT_TIMEOUT_S, self._deferred_due())
