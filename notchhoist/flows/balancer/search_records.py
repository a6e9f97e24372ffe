"""Log lines, counters and metrics of flow searches."""

from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model.records import Count, Timing

SERVICES_LOGGED_MAX = 6
"""Maximum number of services that a log line names; a platform may have
hundreds."""


def services_text(search: Search) -> str:
    """Returns the names of the searched services, for the log."""
    every = tuple(dict.fromkeys(search.services + search.former_services))
    named = " ".join(every[:SERVICES_LOGGED_MAX])
    more = len(every) - SERVICES_LOGGED_MAX
    return f"{named} and {more} more" if more > 0 else named


def record_duration(
    board: BalancerBoard, search: Search, outcome: str, now: float
) -> None:
    """Records how long a search took, under its most likely service."""
    board.records.observe(
        Timing.FINDING, search.services[0], outcome, now - search.since
    )


def record_given_up(
    board: BalancerBoard, flow: bytes, search: Search, reason: str, now: float
) -> None:
    """Counts and logs a search that ended without a result or a reset.

    Args:
        board: State of the balancer.
        flow: The flow that was searched for.
        search: The search.
        reason: Which agents may still have the flow.
        now: Runtime clock, seconds.
    """
    record_duration(board, search, "given up", now)
    board.records.counters[Count.FINDS_GIVEN_UP] += 1
    board.records.record_decision(
        "give up finding",
        flow,
        reason,
        silent=sorted(search.unanswered | search.silent),
        asked=len(search.asked),
        searched_s=round(now - search.since, 3),
        rounds=search.rounds,
    )


def absence_inputs(
    search: Search, confirmed_up_to: float, now: float
) -> dict[str, object]:
    """Returns the facts that prove a flow absent, for the log.

    Args:
        search: The search.
        confirmed_up_to: Everything published up to this time is known, seconds.
        now: Runtime clock, seconds.
    """
    denied_at = now if search.all_absent_at is None else search.all_absent_at
    return {
        "service": search.services[0],
        "services": services_text(search),
        "searched_s": round(now - search.since, 3),
        "answered_s": round(search.answered_s, 3),
        "denied_s": round(denied_at - search.since, 3),
        "confirmed": confirmed_up_to >= search.since,
        "rounds": search.rounds,
        "asked": len(search.asked),
        "asked_widely": search.widened_by,
    }
