"""Resets of flows towards their callers."""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendCaller
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowResetter(Struct, eq=False):
    """Sends resets to the callers of flows that cannot go on.

    Attributes:
        board: State of the balancer.
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
            segment: The packet; the reset is valid in its window.
            reason: Reason, for the log.
            inputs: Facts behind the decision, for the log.
        """
        board = self.board
        board.records.counters[Count.RESETS] += 1
        board.records.record_decision("reset", segment.flow, reason, **inputs)
        reset = self.codec.make_reset(segment)
        board.outbox.append(SendCaller(segment.caller, reset))
