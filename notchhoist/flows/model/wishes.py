"""What a balancer tells an agent of a flow's requests and their caller."""

from msgspec import Struct
from msgspec.structs import replace

TRY_S = 1.4
"""A caller waits so long for the acceptance of an opening packet before it
tries anew, seconds; from the platform's description of its callers."""

RETRY_S = 1.6
"""A caller's second try begins at the latest so long after its first, seconds:
after a try without an acceptance callers pause for 0.03 to 0.23 s."""

LEAST_LEFT_S = 0.05
"""Said of a caller whose time should be over by now, seconds: it has sent a
packet just now, so its age may be wrong, and 0 says that nothing is known."""


class Wish(Struct, frozen=True):
    """What a balancer says of a flow's requests.

    Attributes:
        objective_s: Latency objective, seconds; 0 for none.
        age_s: How long the caller has been waiting, seconds.
        priority: 0 is the highest.
        upload: Requests are large and work on them is short.
        left_s: How long the caller still waits, seconds; 0 if unknown.
        may_be_retry: The caller may have tried before without anybody's
            knowledge; it then waits for ``RETRY_S`` less.
    """

    objective_s: float = 0.0
    age_s: float = 0.0
    priority: int = 0
    upload: bool = False
    left_s: float = 0.0
    may_be_retry: bool = False

    def older(self, by_s: float) -> "Wish":
        """Returns what holds a while later.

        Examples:
            >>> wish = Wish(objective_s=0.15, age_s=0.25, left_s=2.25)
            >>> wish.older(0.25).age_s, wish.older(5.0).left_s
            (0.5, 0.05)

        Args:
            by_s: How much later, seconds.
        """
        left_s = self.left_s
        if left_s:
            left_s = max(LEAST_LEFT_S, left_s - by_s)
        return replace(self, age_s=self.age_s + by_s, left_s=left_s)
