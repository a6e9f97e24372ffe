"""Tracks whether flows may be at services that their routes no longer name.

A flow stays where it was opened when its route changes. A balancer that has
just started knows the current routes only. So balancers tell each other how
long ago a route last dropped a service, and for how long they have known of
every such change. Where no balancer knows the time before its start, a change
is assumed.
"""

from collections import Counter

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import RouteTable
from notchhoist.flows.model.messages import ViewPiece, ViewTell

MAX_FLOW_AGE_S = 60.0
"""The platform guarantees nothing for flows that are older, seconds."""

REROUTE_KEPT_S = MAX_FLOW_AGE_S + 5.0
"""How long a change of a route is remembered, seconds. A reported age counts
from the query, which may be as old as a balancer that still counts as alive."""


def reroute_age_ms(board: BalancerBoard, now: float) -> int:
    """Returns how long ago a route changed, to report to other balancers.

    Returns:
        Milliseconds; 1 while a route names several services, 0 if no route
        dropped a service lately.
    """
    if board.splits:
        return 1
    age_s = now - board.rerouted_at
    return max(1, round(age_s * 1000)) if age_s < REROUTE_KEPT_S else 0


def history_ms(board: BalancerBoard, now: float) -> int:
    """Returns for how long every change of a route is known, to report.

    Returns:
        Milliseconds, at most ``REROUTE_KEPT_S``; 0 without a configuration.
    """
    if board.table is not board.last_checked_table:
        return 0  # The newest change has not been looked at.
    known_s = max(now - board.reroutes_known_since, 0.0)
    return round(min(known_s, REROUTE_KEPT_S) * 1000)


def on_report(
    board: BalancerBoard,
    update: ViewTell | ViewPiece,
    revision: int,
    query_sent_at: float,
    now: float,
) -> None:
    """Applies what another balancer reports of changed routes.

    Its history is of use only if it reaches up to the first configuration that
    is known here, and so only if the other balancer knows that one too.

    Args:
        board: The balancer's blackboard.
        update: The report.
        revision: Revision up to which the other balancer knows everything.
        query_sent_at: When the query that this answers was sent, seconds. If
            the age of a change counted from the arrival of the response, two
            balancers that report to each other over a saturated link would
            never forget it.
        now: Runtime clock, seconds. If the length of the history counted from
            the query, their histories would grow faster than time.
    """
    if update.rerouted_for_ms:
        board.rerouted_at = max(
            board.rerouted_at, query_sent_at - update.rerouted_for_ms / 1000
        )
    known_for_ms = update.reroutes_known_for_ms
    if known_for_ms and board.first_table_revision <= revision:
        board.reroutes_known_since = min(
            board.reroutes_known_since, now - known_for_ms / 1000
        )


def has_rerouted(board: BalancerBoard, now: float) -> bool:
    """Returns whether a route splits or has lately dropped a service."""
    return board.splits or now - board.rerouted_at < REROUTE_KEPT_S


def knows_reroutes(board: BalancerBoard, now: float) -> bool:
    """Returns whether all changes of routes are known for long enough."""
    return now - board.reroutes_known_since >= REROUTE_KEPT_S


class RerouteDetector(Struct, eq=False):
    """Dates the changes of routes that no longer name a service.

    Attributes:
        board: The balancer's blackboard.
    """

    board: BalancerBoard

    def check(self, now: float) -> None:
        """Looks at the configuration in force if it has changed."""
        board = self.board
        table = board.table
        before = board.last_checked_table
        if table is None or table is before:
            return
        board.last_checked_table = table
        if before is None:
            board.first_table_revision = board.view.changed_at[None]
            board.reroutes_known_since = min(board.reroutes_known_since, now)
        if board.has_new_reroute:
            board.has_new_reroute = False
            board.rerouted_at = now
        former = before.routes if before is not None else {}
        split = [route for route in table.routes.values() if route.is_split]
        board.splits = bool(split)
        board.placed = {
            route.service_key: board.placed[route.service_key]
            if former.get(route.service_key) == route
            else Counter()
            for route in split
        }


def drops_service(before: RouteTable, after: RouteTable) -> bool:
    """Returns whether a route of both no longer names one of its services."""
    for key, former in before.routes.items():
        route = after.routes.get(key)
        if route is None or route.targets == former.targets:
            continue
        if not {*former.services} <= {*route.services}:
            return True
    return False
