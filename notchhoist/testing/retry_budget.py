"""Retry budget that limits retries to a fraction of successes.

The algorithm and the values of the floor rate, of the burst and of the
bucket, which is full at the start, are from "Deep dive: the retry budget
(NResilience)".
"""

import math

import attrs

BURST_S = 10.0
"""Capacity of the bucket, in seconds of the floor rate."""


@attrs.define
class RetryBudget:
    """A token bucket to which successes add and from which retries take.

    First attempts take no token.

    Examples:
        >>> budget = RetryBudget(fraction=0.1, floor_per_s=0.0, tokens=0.0)
        >>> for _ in range(10):
        ...     budget.deposit(now=0.0)
        >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
        (True, False)

    Attributes:
        fraction: Tokens added by each success.
        floor_per_s: Tokens added each second without any success.
        capacity: Largest number of tokens in the bucket.
        tokens: Tokens in the bucket, which is full at the start.
        refilled_at: Runtime clock of the last refill, seconds, or None.
    """

    fraction: float = 0.1
    floor_per_s: float = 3.0
    capacity: float = attrs.field()
    tokens: float = attrs.field()
    refilled_at: float | None = None

    @capacity.default
    def _default_capacity(self) -> float:
        return max(1.0, self.floor_per_s * BURST_S)

    @tokens.default
    def _default_tokens(self) -> float:
        return self.capacity

    def deposit(self, now: float) -> None:
        """Adds the tokens of a success."""
        self._refill(now)
        self.tokens = min(self.capacity, self.tokens + self.fraction)

    def try_spend(self, now: float) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        self._refill(now)
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True

    def retry_after_s(self, now: float) -> int | None:
        """Returns the time until the floor rate supplies the next token.

        Returns:
            Whole seconds, rounded up, or None without a floor rate, as the
            time of the next success is unknown.
        """
        self._refill(now)
        if self.floor_per_s <= 0.0:
            return None
        missing = max(0.0, 1.0 - self.tokens)
        return math.ceil(missing / self.floor_per_s)

    def _refill(self, now: float) -> None:
        if self.refilled_at is None:
            self.refilled_at = now
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        gained = elapsed * self.floor_per_s
        self.tokens = min(self.capacity, self.tokens + gained)
