"""A balancer's resets, and the retries that they bring about."""

from msgspec import Struct, field

from notchhoist.flows.boards import BalancerBoard, Count
from notchhoist.flows.effects import SendCaller
from notchhoist.flows.segments import Segment, SegmentCodec

RETRY_WITHIN_S = 0.25
"""A caller that was reset opens its next flow within this time, seconds: two
crossings of a few ms, and the caller's own pause."""

RETRY_AGE_S = 0.7
"""How long the caller of a retried request is taken to have waited where
nothing is known of it, seconds: the most that a note can say, so that it counts
as late."""

RETRIES_MAX = 10_000


class FlowResetter(Struct, eq=False):
    """Ends flows towards their callers and knows whose retries are due.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        expected: When each caller of a service address began to wait for the
            request that its last reset ended, and when that reset went out.
    """

    board: BalancerBoard
    codec: SegmentCodec
    expected: dict[tuple[str, bytes], tuple[float, float]] = field(
        default_factory=dict
    )

    def reset(
        self,
        segment: Segment,
        reason: str,
        now: float,
        age_s: float = RETRY_AGE_S,
        **inputs: object,
    ) -> None:
        """Resets the flow of a caller's packet.

        Args:
            segment: The packet; the reset lies in its window.
            reason: Why, for the log.
            now: Runtime clock, seconds.
            age_s: How long the caller has been waiting, seconds.
            inputs: What decided it, for the log.
        """
        board = self.board
        board.records.counters[Count.RESETS] += 1
        board.records.decide("reset", segment.flow, reason, **inputs)
        reset = self.codec.make_reset(segment)
        board.outbox.append(SendCaller(segment.caller, reset))
        if len(self.expected) < RETRIES_MAX:
            key = (segment.caller, segment.service_key)
            self.expected[key] = (now - age_s, now)

    def waited_s(self, segment: Segment, now: float) -> float:
        """Returns how long the caller of an opening packet has waited.

        A flow that begins right after a reset carries a retry of an older
        request.
        """
        retry = self.expected.pop((segment.caller, segment.service_key), None)
        if retry is None or not self.board.uses.retry_age:
            return segment.waited_s
        asked_at, reset_at = retry
        if now - reset_at >= RETRY_WITHIN_S:
            return segment.waited_s
        return now - asked_at

    def sweep(self, now: float) -> None:
        """Forgets retries that did not come."""
        old = [
            key
            for key, (_, reset_at) in self.expected.items()
            if now - reset_at >= RETRY_WITHIN_S
        ]
        for key in old:
            del self.expected[key]
