"""What a balancer's readiness depends on, for logs and state dumps.

This module is loaded by the first record, after the sockets are opened.
"""

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.published.membership import Membership


def state_sources(
    board: BalancerBoard, membership: Membership, now: float
) -> dict[str, object]:
    """Returns where the published state comes from, and how well.

    Args:
        board: State of the balancer.
        membership: The known balancers.
        now: Runtime clock, seconds.
    """
    return {
        "view_revision": board.view.revision,
        "view_age_s": age_s(now, board.confirmed_at),
        "balancers": len(membership.alive(now)) - 1,
        "store_call": board.store_call,
        "store_answered_s": age_s(now, board.store_answered_at),
        "store_failed_s": age_s(now, board.store_failed_at),
        "store_failures": board.store_failures,
        "store_error": board.store_error,
    }


def age_s(now: float, at: float) -> float | None:
    """Returns the time since a moment, seconds; None if there was none."""
    return round(now - at, 3) if at > float("-inf") else None
