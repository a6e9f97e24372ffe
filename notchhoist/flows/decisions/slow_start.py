"""The cold bound: a limit on new flows to a backend server in slow start.

A cold server, one that has just started or whose availability zone is used
again, accepts only a few new flows a second. Several balancers send it flows
without knowing of each other. Only the agent beside the server sees the sum,
so the agent counts new flows in a sliding window of about one second and
returns the excess at once. Balancers then send the server no new flow until it
may get the next one.
"""

import collections
import math

from msgspec import Struct, field

WINDOW_S = 1.05
"""Length of the sliding window, seconds. The platform counts in windows of one
second, and a packet may take slightly longer to the server than the next one,
which moves flows closer together."""


class SlidingWindowCounter(Struct, eq=False):
    """Counts events in a sliding window of ``WINDOW_S``.

    Examples:
        >>> count = SlidingWindowCounter()
        >>> count.record(10.0), count.record(10.5)
        (None, None)
        >>> count.pause_s(2, 10.9)
        0.15
        >>> count.pause_s(2, 11.1)
        0.0

    Attributes:
        times: Times of the events, the oldest first, seconds; old ones are
            dropped by ``pause_s``.
    """

    times: "collections.deque[float]" = field(default_factory=collections.deque)

    def record(self, now: float) -> None:
        """Counts one event.

        Args:
            now: Runtime clock, seconds.
        """
        self.times.append(now)

    def pause_s(self, most: int, now: float) -> float:
        """Returns the time until one more event is allowed, seconds; 0 for now.

        Args:
            most: Events that are allowed in one window.
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
    """Returns how many new flows a cold server gets in one window.

    This is the configured rate, without the overage that the platform allows
    above it. The overage is left for an agent that restarts beside the same
    server and does not know what its predecessor forwarded.

    Examples:
        >>> cold_limit(6.0), cold_limit(0.5)
        (6, 1)

    Args:
        per_s: New flows that the server accepts in a second.
    """
    return max(1, math.floor(per_s))


def startup_limit(per_s: float, overage: float, slack: float) -> int:
    """Returns the limit for the first window after the start of an agent.

    The agent's previous incarnation may have forwarded up to ``cold_limit``
    flows in the same second.

    Examples:
        >>> startup_limit(6.0, 1.5, 5.0), startup_limit(20.0, 1.5, 5.0)
        (6, 14)

    Args:
        per_s: New flows that the server accepts in a second.
        overage: Factor by which the platform lets the rate be exceeded.
        slack: Number of new flows that the platform allows on top of that.
    """
    allowed = math.floor(per_s * overage + slack) - 1
    limit = cold_limit(per_s)
    return min(limit, max(0, allowed - limit))
