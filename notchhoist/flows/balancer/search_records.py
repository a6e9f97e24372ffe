"""What is logged and counted of searches for flows."""

from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model.records import Count, Timing

SERVICES_NAMED = 6
"""Services that a line names; a platform may have hundreds."""


def services_text(search: Search) -> str:
    """Returns the services that were searched, for the log."""
    named = " ".join(search.services[:SERVICES_NAMED])
    more = len(search.services) - SERVICES_NAMED
    return f"{named} and {more} more" if more > 0 else named


def observe(
    board: BalancerBoard, search: Search, outcome: str, now: float
) -> None:
    """Notes how long a search took, under the likely service."""
    board.records.observe(
        Timing.FINDING, search.services[0], outcome, now - search.since
    )


def note_given_up(
    board: BalancerBoard, flow: bytes, search: Search, reason: str, now: float
) -> None:
    """Notes a search that ended without a reset.

    Args:
        board: What the balancer knows.
        flow: The flow that was searched for.
        search: The search.
        reason: Which agents may hold the flow.
        now: Runtime clock, seconds.
    """
    observe(board, search, "given up", now)
    board.records.counters[Count.FINDS_GIVEN_UP] += 1
    board.records.decide(
        "give up finding",
        flow,
        reason,
        silent=sorted(search.unanswered | search.silent),
        asked=len(search.asked),
        searched_s=round(now - search.since, 3),
        rounds=search.rounds,
    )


def nowhere_inputs(
    search: Search, known_at: float, now: float
) -> dict[str, object]:
    """Returns what decided that a flow is nowhere, for the log.

    Args:
        search: The search.
        known_at: Everything published up to this time is known, seconds.
        now: Runtime clock, seconds.
    """
    denied_at = now if search.denied_at is None else search.denied_at
    return {
        "service": search.services[0],
        "services": services_text(search),
        "searched_s": round(now - search.since, 3),
        "answered_s": round(search.answered_s, 3),
        "denied_s": round(denied_at - search.since, 3),
        "confirmed": known_at >= search.since,
        "rounds": search.rounds,
        "asked": len(search.asked),
        "asked_widely": search.wide,
    }
