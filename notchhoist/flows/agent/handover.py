"""An agent's controller for packets of flows that should be at its server."""

from msgspec import Struct

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.bearing import OpeningGate
from notchhoist.flows.agent.refusing import Refuser
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.telling import FlowTeller
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.held import HeldFlow, Phase
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowHandover(Struct, eq=False):
    """Hands packets to the backend server, or gives them back.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        gate: Shares out the slots.
        refuser: Tells callers that get no slot.
        watch: Notices when the backend server has ended.
        bearing: Says which new flows the backend server may get.
        replies: Answers balancers.
        teller: Knows which flows are here.
    """

    board: AgentBoard
    codec: SegmentCodec
    gate: RequestGate
    refuser: Refuser
    watch: BackendWatch
    bearing: OpeningGate
    replies: Replies
    teller: FlowTeller

    def take(
        self, host: str, segment: Segment, kind: NoteKind, now: float
    ) -> None:
        """Takes a packet of a balancer that believes its flow to be here.

        Args:
            host: Host of the balancer.
            segment: The packet.
            kind: How sure the balancer is.
            now: Runtime clock, seconds.
        """
        board = self.board
        held = board.flows.get(segment.flow)
        if held is None or not self.teller.is_here(held, segment):
            if held is not None or (
                kind is not NoteKind.TRY and self.teller.knows_all(now)
            ):
                self.replies.give_back(host, segment, "flow not here", now)
                return
            held = HeldFlow(Phase.TRIED, host, now, now)
            board.flows[segment.flow] = held
        if held.phase is Phase.REFUSED:
            held.last_at = now
            self.refuser.reset_again(segment)
            return
        if held.phase is Phase.TRIED:
            # Only the backend server can tell whether the flow is here, if it
            # has not ended: then nobody would say anything.
            self.watch.check_soon(now)
            self._note_use(held, host, segment, now)
            board.outbox.append(SendBackend(self.codec.with_note(segment, 0)))
            return
        opening = held.phase is Phase.ACCEPTED
        if opening and self.bearing.is_overdue(now):
            held.phase = Phase.REFUSED
            self.refuser.reset_again(segment)
            board.records.decide("reset", segment.flow, "zone evacuated")
            return
        self._note_use(held, host, segment, now)
        wish = notes.wish_of(segment.note)
        first = opening or held.request_end is None
        if first and self.board.uses.opening_wish:
            wish = held.wish_now(wish, now)
        self.gate.take(held, segment, wish, opening, now)

    def _note_use(
        self, held: HeldFlow, host: str, segment: Segment, now: float
    ) -> None:
        held.balancer = host
        held.last_at = now
        held.sample = segment
        if segment.size:
            held.data = segment
        if held.phase is Phase.ACCEPTED:
            held.phase = Phase.OPEN
            held.since = now
            held.opening = None
        if segment.size and held.is_copy(segment, now):
            # A copy: the backend server may not have had the first one.
            self.watch.check_soon(now)
        if segment.resets:
            held.phase = Phase.CLOSED
