"""How fast a backend server works, told from how long requests wait there.

The load it answers: servers of one service of which some take twice the time of
others, for as long as they live. Long flows stay where they were first placed,
so a difference has to be known after a few answers, must not be blurred by a
few requests that take long, and a server with more requests of a kind that
takes longer must not look slow.
"""

import math

from msgspec import Struct, field

GAIN = 0.1
"""Weight of a new answer in what is usual: about the last 20."""

LEAST_ANSWERS = 3
"""Nothing is said of a server before so many answers of one kind. Work spreads
like a lognormal distribution with a sigma of 0.5, so three answers tell servers
apart that differ by a factor of two, in nine of ten cases."""

KEPT_S = 10.0
"""A kind of request without an answer for this time counts no more, seconds: a
server that was slow and has been avoided since is tried again."""

KINDS_MAX = 2000
"""Kinds of request that are kept; the deployments have 450 routes."""


class KindPace(Struct, eq=False):
    """The time that requests of one kind take.

    Attributes:
        log_s: Mean of the logarithms of their times, seconds.
        answers: How many there were.
        at: When the last one ended, seconds.
    """

    log_s: float
    answers: int
    at: float


class WorkPace(Struct, eq=False):
    """Learns what a backend server takes for its requests.

    Logarithms are averaged: one request in thirty that takes seven times as
    long moves their mean by 6%, and the mean of the times by 18%.

    Examples:
        >>> pace = WorkPace()
        >>> for took_s in (0.05, 0.04, 0.0625):
        ...     pace.note(b"feed", took_s, now=1.0)
        >>> round(pace.usual_s(now=1.0), 3), pace.usual_s(now=60.0)
        (0.05, 0.0)

    Attributes:
        by_kind: What is known of each kind, by the key of its service address.
    """

    by_kind: dict[bytes, KindPace] = field(default_factory=dict)

    def note(self, kind: bytes, took_s: float, now: float) -> None:
        """Takes account of an answer.

        Args:
            kind: Key of the service address.
            took_s: How long the server worked on it, seconds.
            now: Runtime clock, seconds.
        """
        log_s = math.log(max(took_s, 1e-4))
        known = self.by_kind.get(kind)
        if known is None or now - known.at >= KEPT_S:
            if known is not None or len(self.by_kind) < KINDS_MAX:
                self.by_kind[kind] = KindPace(log_s, 1, now)
            return
        known.answers += 1
        gain = max(GAIN, 1.0 / known.answers)
        known.log_s += gain * (log_s - known.log_s)
        known.at = now

    def usual_s(self, now: float) -> float:
        """Returns the usual time of a request, seconds; 0 if not known.

        Each kind counts alike, however many there were of it.
        """
        logs = [
            kind.log_s
            for kind in self.by_kind.values()
            if kind.answers >= LEAST_ANSWERS and now - kind.at < KEPT_S
        ]
        return math.exp(sum(logs) / len(logs)) if logs else 0.0
