"""Confirms a balancer's view by reading the platform's store at once.

A new backend server usually becomes known to a balancer 0.25 s after it is
published. A decision that cannot wait for that reads the store immediately.
"""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import ConfirmView
from notchhoist.flows.model.records import Count

CONFIRM_INTERVAL_S = 0.2
"""Minimum time between two confirmations, seconds. Each call has a cost; after
a complete outage a balancer needs them for about two seconds."""

CONFIRM_BACKOFF_S = 0.2
"""Initial back-off after a failed confirmation, seconds. It is short since
callers wait for the store to recover."""

CONFIRM_BACKOFF_MAX_S = 1.0
"""Maximum back-off, seconds. It doubles with each consecutive failure, so that
hundreds of balancers relieve a store that fails under load. Without a
confirmation, a flow that every agent reported absent is reset after 0.7 s."""


class ViewConfirmer(Struct, eq=False):
    """Requests confirmations from the store at a limited rate.

    Attributes:
        board: State of the balancer.
        requested_at: When the pending confirmation was requested, seconds, or
            None.
        next_allowed_at: When the next one may be requested, seconds.
        confirmed_up_to: Everything published up to this time is known, seconds.
        backoff_s: Delay of the next one after a failure, seconds.
    """

    board: BalancerBoard
    requested_at: float | None = None
    next_allowed_at: float = float("-inf")
    confirmed_up_to: float = float("-inf")
    backoff_s: float = CONFIRM_BACKOFF_S

    def request_confirmation(self, now: float) -> None:
        """Requests a confirmation unless one is pending or too recent."""
        if self.requested_at is not None or now < self.next_allowed_at:
            return
        self.requested_at = now
        self.next_allowed_at = now + CONFIRM_INTERVAL_S
        self.board.outbox.append(ConfirmView())

    def due(self) -> float:
        """Returns when the next confirmation may be requested, seconds."""
        return (
            float("inf")
            if self.requested_at is not None
            else self.next_allowed_at
        )

    def on_confirmed(self) -> None:
        """Handles a successful read, after its changes have been applied."""
        if self.requested_at is None:
            return
        self.backoff_s = CONFIRM_BACKOFF_S
        self.confirmed_up_to = self.requested_at
        self.requested_at = None
        self.board.records.counters[Count.VIEWS_CONFIRMED] += 1

    def on_failed(self, now: float) -> None:
        """Handles a call without a usable answer."""
        self.requested_at = None
        self.next_allowed_at = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, CONFIRM_BACKOFF_MAX_S)
