"""An agent's controller for flows that have not been accepted yet."""

from msgspec import Struct, field

from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.bearing import UNTOLD_S, OpeningGate
from notchhoist.flows.agent.calling import SlotCaller
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.vacancies import SlotVacancies
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.held import ENDED, HeldFlow, Phase
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

ACCEPT_WAIT_S = 0.025
"""A backend server has this long to accept a flow, seconds; it takes 0.3 ms."""


class UntoldOpening(Struct, frozen=True):
    """A new flow that came before anything was told of the backend server.

    Attributes:
        host: Host of the balancer that sent it.
        segment: Its opening packet.
        since: When it came, seconds.
    """

    host: str
    segment: Segment
    since: float


class FlowOffers(Struct, eq=False):
    """Offers new flows to the backend server, as far as it may get them.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        bearing: Says which new flows the backend server may get.
        vacancies: Says whether a slot is free for one.
        caller: Calls flows that wait at balancers.
        replies: Answers balancers.
        watch: Notices when the backend server has ended.
        offered: Flows that the backend server has not accepted yet.
        untold: New flows that wait until somebody has told what it bears.
    """

    board: AgentBoard
    codec: SegmentCodec
    bearing: OpeningGate
    vacancies: SlotVacancies
    caller: SlotCaller
    replies: Replies
    watch: BackendWatch
    offered: dict[bytes, HeldFlow] = field(default_factory=dict)
    untold: dict[bytes, UntoldOpening] = field(default_factory=dict)

    def on_opening(
        self, host: str, segment: Segment, kind: NoteKind, now: float
    ) -> None:
        """Takes an opening packet or a copy of one.

        Args:
            host: Host of the balancer that sent it.
            segment: The packet.
            kind: How the balancer offers it.
            now: Runtime clock, seconds.
        """
        self.caller.on_offer(host, segment, kind, now)
        bounded = kind is NoteKind.PLACE_BOUNDED
        known = self.board.flows.get(segment.flow)
        new = known is None or known.phase in ENDED
        if new and self.bearing.must_wait(bounded):
            self._keep_untold(host, segment, now)
        elif new and self._finds_busy(kind, now):
            self.replies.tell_busy(host, segment, now)
        else:
            self._decide(host, segment, bounded, now)

    def _finds_busy(self, kind: NoteKind, now: float) -> bool:
        """Tells whether a new flow goes back because no slot is free for it.

        A server that is to get nothing at all says that instead.
        """
        if kind is not NoteKind.PLACE_IF_FREE:
            return False
        closed = self.bearing.closed_pause_s(now) > 0
        return not closed and not self.vacancies.has_free(now)

    def _decide(
        self, host: str, segment: Segment, bounded: bool, now: float
    ) -> None:
        """Offers a flow to the server, or turns it away."""
        board = self.board
        held = board.flows.get(segment.flow)
        new = held is None or held.phase in ENDED
        pause_s = self._pause_s(held, new, bounded, now)
        if pause_s:
            self._turn_away(host, segment, held, pause_s, now)
            return
        if held is None or new:
            held = HeldFlow(Phase.OFFERED, host, now, now, opening=segment)
            board.flows[segment.flow] = held
            self.replies.counter.note_offer()
            self.bearing.note_handed(now)
            if not notes.wish_of(segment.note).upload:
                self.vacancies.promise(segment.flow, now)
        held.balancer = host
        if held.wish is None:
            held.wish = notes.wish_of(segment.note)
            held.wished_at = now
        if held.phase is Phase.OFFERED:
            held.since = now
            self.offered[segment.flow] = held
        board.outbox.append(SendBackend(self.codec.with_note(segment, 0)))

    def _pause_s(
        self, held: HeldFlow | None, new: bool, bounded: bool, now: float
    ) -> float:
        """Returns how long the server is to get no such packet, seconds."""
        bearing = self.bearing
        if held is None or new:
            return bearing.pause_s(now, bounded)
        if held.phase is Phase.OFFERED:
            return bearing.closed_pause_s(now)
        if held.phase is Phase.ACCEPTED and bearing.is_overdue(now):
            return bearing.closed_pause_s(now)
        return 0.0

    def _turn_away(
        self,
        host: str,
        segment: Segment,
        held: HeldFlow | None,
        pause_s: float,
        now: float,
    ) -> None:
        """Hands a new flow back that the backend server is not to get."""
        if held is not None and held.phase is Phase.ACCEPTED:
            held.phase = Phase.REFUSED
        elif held is not None and held.phase is Phase.OFFERED:
            self.forget(segment.flow)
        self.replies.turn_away(host, segment, pause_s, now)
        state = self.board.state
        self.board.records.decide(
            "turn away",
            segment.flow,
            self.bearing.reason(),
            pause_s=round(pause_s, 3),
            handed=len(self.bearing.handed.times),
            revision=state.revision if state else 0,
        )

    def forget(self, flow: bytes) -> None:
        """Forgets a flow that was offered."""
        self.board.flows.pop(flow, None)
        self.board.promised.pop(flow, None)
        self.offered.pop(flow, None)

    def on_accepted(self, held: HeldFlow, segment: Segment, now: float) -> None:
        """Takes the backend server's acceptance of a flow."""
        self.offered.pop(segment.flow, None)
        held.server_seq = segment.seq
        if held.phase is Phase.OFFERED:
            held.phase = Phase.ACCEPTED
            held.since = now
        if held.balancer and held.opening is not None:
            self.replies.tell(held.balancer, NoteKind.TAKEN, held.opening, now)

    def _keep_untold(self, host: str, segment: Segment, now: float) -> None:
        """Keeps a new flow for a moment and asks what the server bears."""
        if segment.flow not in self.untold:
            self.untold[segment.flow] = UntoldOpening(host, segment, now)
            self.replies.tell_load(host, now)

    def on_told(self, now: float) -> None:
        """Decides on the flows that were kept until something was told."""
        kept, self.untold = self.untold, {}
        for item in kept.values():
            self._decide(item.host, item.segment, True, now)

    def tick(self, now: float) -> None:
        """Decides on flows that nobody has said anything of in time."""
        if self.untold and now >= self._untold_due():
            self.on_told(now)
        late = [
            held
            for held in self.offered.values()
            if now - held.since >= ACCEPT_WAIT_S
        ]
        for held in late:
            self._on_silent(held, now)

    def _on_silent(self, held: HeldFlow, now: float) -> None:
        """Gives a flow back that the backend server has not accepted."""
        segment = held.opening
        if segment is None:
            return
        self.board.records.counters[Count.BACKEND_SILENT] += 1
        self.offered.pop(segment.flow, None)
        self.board.promised.pop(segment.flow, None)
        self.watch.check_soon(now)
        self.replies.give_back(held.balancer, segment, "server is silent", now)

    def _untold_due(self) -> float:
        first = min(
            (item.since for item in self.untold.values()), default=float("inf")
        )
        return first + UNTOLD_S

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        offered = min(
            (held.since for held in self.offered.values()),
            default=float("inf"),
        )
        return min(offered + ACCEPT_WAIT_S, self._untold_due())
