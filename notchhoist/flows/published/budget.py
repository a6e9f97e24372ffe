"""How the propagation deadline of a published change is divided.

A balancer's view ages while a reader's watch is pending and while the balancer
queries that reader. A balancer whose view gets older than that reads the store
by itself. The rest of the deadline covers one call to the store that is not
answered and its retry.
"""

from msgspec import Struct

WATCH_SHARE = 0.35
FRESH_SHARE = 0.6
ANSWER_SHARE = 0.15

DEFAULT_DEADLINE_S = 3.0


class PropagationBudget(Struct, frozen=True):
    """Divides the time until a published change must be in force.

    Examples:
        >>> budget = PropagationBudget(3.0)
        >>> round(budget.watch_s, 2), round(budget.max_age_s, 2)
        (1.05, 1.8)

    Attributes:
        deadline_s: Time until a change must be in force, seconds.
    """

    deadline_s: float = DEFAULT_DEADLINE_S

    @property
    def watch_s(self) -> float:
        """How long the store may hold a reader's watch, seconds."""
        return WATCH_SHARE * self.deadline_s

    @property
    def max_age_s(self) -> float:
        """Greatest age of a confirmed view that need not be read, seconds."""
        return FRESH_SHARE * self.deadline_s

    @property
    def answer_s(self) -> float:
        """How long a first call waits beyond the watch time, seconds."""
        return ANSWER_SHARE * self.deadline_s
