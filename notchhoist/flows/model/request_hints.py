"""Hints that a balancer sends an agent on a flow's requests and its caller."""

from msgspec import Struct
from msgspec.structs import replace

ATTEMPT_TIMEOUT_S = 1.4
"""How long a caller waits for the acceptance of its opening packet before it
retries, seconds; the platform's description of its callers gives this."""

RETRY_DELAY_MAX_S = 1.6
"""Latest start of a caller's retry after its first attempt, seconds: after an
attempt without an acceptance, callers pause for 0.03 to 0.23 s."""

REMAINING_MIN_S = 0.05
"""Smallest remaining waiting time in hints, seconds. It also stands for a
caller whose deadline seems to be over: since it has just sent a packet, its age
may be wrong. A value of 0 would mean that the remaining time is unknown."""


class RequestHints(Struct, frozen=True):
    """Hints on a flow's requests and on how long their caller waits.

    Attributes:
        objective_s: Latency objective, seconds; 0 for none.
        waited_s: How long the caller has been waiting, seconds.
        priority: 0 is the highest.
        upload: Requests are large and take little work.
        remaining_s: How long the caller still waits, seconds; 0 if unknown.
        may_be_retry: This may be the caller's retry after an attempt that no
            process saw; it then waits ``RETRY_DELAY_MAX_S`` less.
    """

    objective_s: float = 0.0
    waited_s: float = 0.0
    priority: int = 0
    upload: bool = False
    remaining_s: float = 0.0
    may_be_retry: bool = False

    def aged(self, by_s: float) -> "RequestHints":
        """Returns the hints as they are a while later.

        Examples:
            >>> hints = RequestHints(
            ...     objective_s=0.15, waited_s=0.25, remaining_s=2.25
            ... )
            >>> hints.aged(0.25).waited_s, hints.aged(5.0).remaining_s
            (0.5, 0.05)

        Args:
            by_s: How much later, seconds.
        """
        left_s = self.remaining_s
        if left_s:
            left_s = max(REMAINING_MIN_S, left_s - by_s)
        return replace(self, waited_s=self.waited_s + by_s, remaining_s=left_s)
