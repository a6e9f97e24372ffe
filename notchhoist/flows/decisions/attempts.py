"""How many servers a new flow is offered to before it waits for a slot.

A balancer's load reports are older than a short request takes, so a server
that is reported free is busy about as often as any other, and flows wait while
other servers have free slots. This shows at half load. Only the agent knows the
current state. A flow is therefore first offered on the condition that a slot is
free. An agent without one returns it at once, with its load, and after a few
attempts the flow waits at the best of the servers that were asked.
"""

from msgspec import Struct, field

ATTEMPTS_MAX = 6
"""Most servers that are asked for a free slot. At a slot utilization of one
half, one flow in 64 finds none."""

ATTEMPTS_WHEN_FULL = 2
"""The same where hardly any slot is free: the shorter of two queues gives
most of the achievable balance."""

FULL_SHARE = 0.97
"""A service is full if more than this share of attempts finds no free slot."""

SHARE_GAIN = 0.02
"""Weight of one answer in the exponentially smoothed share of attempts that
find no free slot, which follows about the last 100 answers."""


ANSWERS_MIN = 10
"""With fewer answers the slot utilization of a service is unknown."""


class BusyShares(Struct, eq=False):
    """Tracks how often attempts find no free slot, by service.

    Examples:
        >>> shares = BusyShares()
        >>> shares.attempts("feed")
        6
        >>> for _ in range(200):
        ...     shares.record("feed", busy=True)
        >>> shares.attempts("feed")
        2

    Attributes:
        by_service: Exponentially smoothed share of attempts that found no free
            slot, 0 at first.
        means: The same share without the bias of the initial 0: the first
            answers count as much as later ones.
        counts: Number of answers, at most 1 / ``SHARE_GAIN``.
    """

    by_service: dict[str, float] = field(default_factory=dict)
    means: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def record(self, service: str, busy: bool) -> None:
        """Records an answer to an attempt.

        Args:
            service: Service of the server that answered.
            busy: The server had no free slot.
        """
        share = self.share(service)
        self.by_service[service] = share + SHARE_GAIN * (busy - share)
        count = min(self.counts.get(service, 0) + 1, int(1 / SHARE_GAIN))
        mean = self.means.get(service, 0.0)
        self.counts[service] = count
        self.means[service] = mean + (busy - mean) / count

    def share(self, service: str) -> float:
        """Returns the share of attempts that find no free slot."""
        return self.by_service.get(service, 0.0)

    def busy(self, service: str) -> float | None:
        """Returns the slot utilization; None if there are too few answers.

        Load reports would be biased: servers mostly report right after they
        have received a request.
        """
        if self.counts.get(service, 0) < ANSWERS_MIN:
            return None
        return self.means[service]

    def attempts(self, service: str) -> int:
        """Returns how many servers to ask for a free slot."""
        is_full = self.share(service) > FULL_SHARE
        return ATTEMPTS_WHEN_FULL if is_full else ATTEMPTS_MAX
