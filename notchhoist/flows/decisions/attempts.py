"""How many servers a new flow is offered to before it waits for a slot.

The load it answers: short requests at half load. What a balancer knows of a
server is older than a request takes there, so a server that is believed free is
busy about as often as any other, and flows wait while slots are free. An agent
knows for certain. So a flow is first offered on the condition that a slot is
free; an agent without one hands it back at once, with its load, and after a few
attempts the flow waits where it was seen to be best.
"""

from msgspec import Struct, field

MOST_ATTEMPTS = 6
"""Servers that are asked for a free slot. Where half of the slots are taken,
one flow in 64 finds none."""

FULL_ATTEMPTS = 2
"""The same where hardly any slot is free: the shorter of two queues gives
most of the balance there is to gain."""

FULL_SHARE = 0.97
"""Share of attempts that find no free slot above which a service is full."""

SHARE_GAIN = 0.02
"""Weight of one answer in that share, which follows about the last 100."""


FEW_ANSWERS = 10
"""With fewer answers nothing is said about how busy a service is."""


class BusyShares(Struct, eq=False):
    """Remembers how often attempts find no free slot, by service.

    Examples:
        >>> shares = BusyShares()
        >>> shares.attempts("feed")
        6
        >>> for _ in range(200):
        ...     shares.note("feed", busy=True)
        >>> shares.attempts("feed")
        2

    Attributes:
        by_service: Smoothed share of the attempts, 0 at first.
        means: The same, where the first answers count as much as later ones.
        counts: How many answers there were, up to the last 1 / ``SHARE_GAIN``.
    """

    by_service: dict[str, float] = field(default_factory=dict)
    means: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def note(self, service: str, busy: bool) -> None:
        """Takes account of an answer to an attempt."""
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
        """Returns the share of slots that are taken; None if too few answered.

        What servers have told of their requests is biased: mostly they tell
        when they have just got one.
        """
        if self.counts.get(service, 0) < FEW_ANSWERS:
            return None
        return self.means[service]

    def attempts(self, service: str) -> int:
        """Returns how many servers to ask for a free slot."""
        is_full = self.share(service) > FULL_SHARE
        return FULL_ATTEMPTS if is_full else MOST_ATTEMPTS
