"""A balancer's controller that has what it knows confirmed by the platform.

Word of a new backend server reaches a balancer 0.25 s later on an ordinary day.
Where a decision cannot wait for that, the store is read at once.
"""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import ConfirmView
from notchhoist.flows.model.records import Count

CONFIRM_EVERY_S = 0.2
"""Least time between two confirmations, seconds. Each is a priced call; after
an outage of everything a balancer needs them for about two seconds."""

CONFIRM_AGAIN_S = 0.2
"""The same after one that failed: callers wait for the store's return."""


class ViewConfirmer(Struct, eq=False):
    """Reads the store on request, seldom.

    Attributes:
        board: What the balancer knows.
        asked_at: When the confirmation under way was asked for, or None.
        allowed_at: When the next one may be asked for, seconds.
        known_at: Everything that was published up to this time is known.
    """

    board: BalancerBoard
    asked_at: float | None = None
    allowed_at: float = float("-inf")
    known_at: float = float("-inf")

    def want(self, now: float) -> None:
        """Asks for a confirmation unless one was asked for just now."""
        if self.asked_at is not None or now < self.allowed_at:
            return
        self.asked_at = now
        self.allowed_at = now + CONFIRM_EVERY_S
        self.board.outbox.append(ConfirmView())

    def due(self) -> float:
        """Returns when the next one may be asked for, seconds."""
        return float("inf") if self.asked_at is not None else self.allowed_at

    def on_confirmed(self) -> None:
        """Takes account of an answer; its news have been applied."""
        if self.asked_at is None:
            return
        self.known_at = self.asked_at
        self.asked_at = None
        self.board.records.counters[Count.VIEWS_CONFIRMED] += 1

    def on_failed(self, now: float) -> None:
        """Takes account of a call without a usable answer."""
        self.asked_at = None
        self.allowed_at = now + CONFIRM_AGAIN_S
