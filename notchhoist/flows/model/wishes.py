"""Hints that a balancer sends an agent on a flow's requests and its caller."""

from msgspec import Struct
from msgspec.structs import replace

TRY_S = 1.4
"""How long a caller waits for the acceptance of its opening packet before it
retries, seconds; the platform's description of its callers gives this."""

RETRY_S = 1.6
"""Latest start of a caller's retry after its first attempt, seconds: after an
attempt without an acceptance, callers pause for 0.03 to 0.23 s."""

REMAINING_MIN_S = 0.05
"""Smallest remaining waiting time in hints, seconds. It also stands for a
caller whose deadline seems to be over: since it has just sent a packet, its age
may be wrong. A value of 0 would mean that the remaining time is unknown."""


class Wish(Struct, frozen=True):
    """Hints on a flow's requests and on how long their caller waits.

    Attributes:
        objective_s: Latency objective, seconds; 0 for none.
        age_s: How long the caller has been waiting, seconds.
        priority: 0 is the highest.
        upload: Requests are large and take little work.
        left_s: How long the caller still waits, seconds; 0 if unknown.
        may_be_retry: This may be the caller's retry after an attempt that no
            process saw; it then waits ``RETRY_S`` less.
    """

    objective_s: float = 0.0
    age_s: float = 0.0
    priority: int = 0
    upload: bool = False
    left_s: float = 0.0
    may_be_retry: bool = False

    def older(self, by_s: float) -> "Wish":
        """Returns the hints as they are a while later.

        Examples:
            >>> hints = Wish(objective_s=0.15, age_s=0.25, left_s=2.25)
            >>> hints.older(0.25).age_s, hints.older(5.0).left_s
            (0.5, 0.05)

        Args:
            by_s: How much later, seconds.
        """
        left_s = self.left_s
        if left_s:
            left_s = max(REMAINING_MIN_S, left_s - by_s)
        return replace(self, age_s=self.age_s + by_s, left_s=left_s)
