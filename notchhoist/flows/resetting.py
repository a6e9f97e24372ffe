"""A balancer's resets, and the retries that they bring about."""

from msgspec import Struct, field

from notchhoist.flows.boards import BalancerBoard, Count
from notchhoist.flows.effects import SendCaller
from notchhoist.flows.segments import Segment, SegmentCodec

RETRY_WITHIN_S = 0.25
"""A caller that was reset opens its next flow within this time, seconds: two
crossings of a few ms, and the caller's own pause."""

RETRY_AGE_S = 0.7
"""How long the caller of a retried request is taken to have waited, seconds:
the most that a note can say, so that it counts as late."""

RETRIES_MAX = 10_000


class FlowResetter(Struct, eq=False):
    """Ends flows towards their callers and knows whose retries are due.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        expected: When each caller of a service address was last reset.
    """

    board: BalancerBoard
    codec: SegmentCodec
    expected: dict[tuple[str, bytes], float] = field(default_factory=dict)

    def reset(
        self, segment: Segment, reason: str, now: float, **inputs: object
    ) -> None:
        """Resets the flow of a caller's packet.

        Args:
            segment: The packet; the reset lies in its window.
            reason: Why, for the log.
            now: Runtime clock, seconds.
            inputs: What decided it, for the log.
        """
        board = self.board
        board.records.counters[Count.RESETS] += 1
        board.records.decide("reset", segment.flow, reason, **inputs)
        reset = self.codec.make_reset(segment)
        board.outbox.append(SendCaller(segment.caller, reset))
        if len(self.expected) < RETRIES_MAX:
            self.expected[segment.caller, segment.service_key] = now

    def waited_s(self, segment: Segment, now: float) -> float:
        """Returns how long the caller of an opening packet has waited.

        A flow that begins right after a reset carries a retry of an older
        request.
        """
        reset_at = self.expected.pop(
            (segment.caller, segment.service_key), None
        )
        if reset_at is not None and now - reset_at < RETRY_WITHIN_S:
            return RETRY_AGE_S
        return segment.waited_s

    def sweep(self, now: float) -> None:
        """Forgets retries that did not come."""
        old = [
            key
            for key, reset_at in self.expected.items()
            if now - reset_at >= RETRY_WITHIN_S
        ]
        for key in old:
            del self.expected[key]
