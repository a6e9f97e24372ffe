"""A balancer's resets."""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendCaller
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowResetter(Struct, eq=False):
    """Ends flows towards their callers.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
    """

    board: BalancerBoard
    codec: SegmentCodec

    def reset(
        self,
        segment: Segment,
        reason: str,
        **inputs: object,
    ) -> None:
        """Resets the flow of a caller's packet.

        Args:
            segment: The packet; the reset lies in its window.
            reason: Why, for the log.
            inputs: What decided it, for the log.
        """
        board = self.board
        board.records.counters[Count.RESETS] += 1
        board.records.decide("reset", segment.flow, reason, **inputs)
        reset = self.codec.make_reset(segment)
        board.outbox.append(SendCaller(segment.caller, reset))
