"""An agent's controller that refuses requests which get no slot."""

from msgspec import Struct

from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.queued_requests import QueuedRequest
from notchhoist.flows.model import notes
from notchhoist.flows.model.backend_flows import Phase
from notchhoist.flows.model.effects import SendBalancer, SendCaller
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class Refuser(Struct, eq=False):
    """Ends flows of which no request has run.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
    """

    board: AgentBoard
    codec: SegmentCodec

    def refuse(
        self,
        request: QueuedRequest,
        now: float,
        reason: str = "no slot in time",
    ) -> None:
        """Refuses a queued request of an unopened flow.

        The note to the balancer makes it reset the flow.

        Args:
            request: The request, which is removed from the queue.
            now: Runtime clock, seconds.
            reason: Why it is refused, for the log.
        """
        board = self.board
        del board.waiting[request.flow]
        board.observe_wait(request, "refused", now)
        request.held.phase = Phase.REFUSED
        load = Load(len(board.flows), len(board.waiting) + len(board.active))
        note = notes.to_balancer(NoteKind.REFUSED, load)
        segment = request.segments[-1]
        datagram = self.codec.header_with_note(segment, note)
        board.outbox.append(SendBalancer(request.held.balancer, datagram))
        board.records.record_decision(
            "refuse",
            request.flow,
            reason,
            waited_s=round(now - request.arrived_at, 3),
            waiting=len(board.waiting),
            slots=board.slots,
        )

    def reset_abandoned(
        self, request: QueuedRequest, segment: Segment, now: float
    ) -> None:
        """Resets the flow of a caller that has abandoned its queued request."""
        board = self.board
        del board.waiting[request.flow]
        board.observe_wait(request, "caller left", now)
        board.records.counters[Count.CALLERS_LEFT] += 1
        request.held.phase = Phase.REFUSED
        self.reset_unopened(segment)
        board.records.record_decision(
            "reset",
            request.flow,
            "caller left",
            waited_s=round(now - request.arrived_at, 3),
            left_s=round(request.expires_at - now, 3),
            waiting=len(board.waiting),
        )

    def reset_unopened(self, segment: Segment) -> None:
        """Resets an unopened flow; an earlier reset may have been lost."""
        if segment.resets:
            return
        reset = self.codec.make_reset(segment)
        self.board.outbox.append(SendCaller(segment.caller, reset))
