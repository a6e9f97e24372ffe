"""How many new flows a backend server gets while it is cold.

The load it answers: servers that have just started, or whose availability zone
is used again, bear a few new flows a second, and several balancers send them
theirs without knowing of each other. Only the agent beside a server sees the
sum, so it counts, in every span of a second, and hands back at once what would
be too much; balancers then leave the server alone until it bears the next one.
"""

import collections
import math

from msgspec import Struct, field

WINDOW_S = 1.05
"""Length of the span in which flows are counted, seconds: the platform counts
in each second, and a packet may take a moment longer to the server than the
next one."""


class SlidingCount(Struct, eq=False):
    """Counts what happened in the last ``WINDOW_S``, wherever that begins.

    Examples:
        >>> count = SlidingCount()
        >>> count.note(10.0), count.note(10.5)
        (None, None)
        >>> count.pause_s(2, 10.9)
        0.15
        >>> count.pause_s(2, 11.1)
        0.0
    """

    times: "collections.deque[float]" = field(default_factory=collections.deque)

    def note(self, now: float) -> None:
        """Counts one."""
        self.times.append(now)

    def pause_s(self, most: int, now: float) -> float:
        """Returns when one more is allowed, seconds from now; 0 for at once.

        Args:
            most: How many are allowed in one span.
            now: Runtime clock, seconds.
        """
        while self.times and now - self.times[0] >= WINDOW_S:
            self.times.popleft()
        if len(self.times) < most:
            return 0.0
        if most < 1:
            return WINDOW_S
        oldest = self.times[len(self.times) - most]
        return round(oldest + WINDOW_S - now, 6)


def cold_limit(per_s: float) -> int:
    """Returns how many new flows a cold server gets in one span.

    What it bears and no more, though the platform allows a share above it: a
    second agent life beside the same server, which knows nothing of the first,
    then stays within what is allowed for both together.

    Examples:
        >>> cold_limit(6.0), cold_limit(0.5)
        (6, 1)
    """
    return max(1, math.floor(per_s))


def first_limit(per_s: float, overage: float, slack: float) -> int:
    """Returns the limit for the first span of an agent's life.

    A former life of the agent may have handed over as many as ``cold_limit``
    in the same second.

    Examples:
        >>> first_limit(6.0, 1.5, 5.0), first_limit(20.0, 1.5, 5.0)
        (6, 14)

    Args:
        per_s: New flows that the server bears in a second.
        overage: Factor up to which more are allowed.
        slack: New flows that are allowed besides.
    """
    allowed = math.floor(per_s * overage + slack) - 1
    limit = cold_limit(per_s)
    return min(limit, max(0, allowed - limit))
