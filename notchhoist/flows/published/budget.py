"""How the time until a change must be in force is divided.

What a balancer knows grows as old as a reader's watch lasts, and as it takes to
ask a reader. Past that it reads by itself, and there is time left for a call
without an answer and for another one.
"""

from msgspec import Struct

WATCH_SHARE = 0.35
FRESH_SHARE = 0.6
ANSWER_SHARE = 0.15

DEFAULT_BOUND_S = 3.0


class Budget(Struct, frozen=True):
    """The time until a change must be in force.

    Examples:
        >>> budget = Budget(3.0)
        >>> round(budget.watch_s, 2), round(budget.fresh_s, 2)
        (1.05, 1.8)

    Attributes:
        bound_s: All of it, seconds.
    """

    bound_s: float = DEFAULT_BOUND_S

    @property
    def watch_s(self) -> float:
        """How long the store may hold a reader's watch, seconds."""
        return WATCH_SHARE * self.bound_s

    @property
    def fresh_s(self) -> float:
        """What was confirmed within this time need not be read, seconds."""
        return FRESH_SHARE * self.bound_s

    @property
    def answer_s(self) -> float:
        """How long a first call waits beyond a watch's time, seconds."""
        return ANSWER_SHARE * self.bound_s
