"""Tracks whether flows may be at services that their routes no longer name.

A flow stays where it was opened when its route changes. A balancer that has
just started knows the current routes only, so balancers tell each other how
long ago a route last dropped a service.
"""

from collections import Counter

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import RouteTable

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


def on_reroute_age(
    board: BalancerBoard, age_ms: int, query_sent_at: float
) -> None:
    """Applies the age of a route change that another balancer reports.

    Args:
        board: The balancer's blackboard.
        age_ms: How long ago a route last changed, ms; 0 if not lately.
        query_sent_at: When the query that this answers was sent, seconds. If
            the age counted from the arrival of the response, two balancers that
            report to each other over a saturated link would never forget the
            change.
    """
    if age_ms:
        board.rerouted_at = max(
            board.rerouted_at, query_sent_at - age_ms / 1000
        )


def may_hold_rerouted_flows(board: BalancerBoard, now: float) -> bool:
    """Returns whether a service may hold flows of routes not naming it."""
    return board.splits or now - board.rerouted_at < REROUTE_KEPT_S


class RerouteDetector(Struct, eq=False):
    """Detects routes that no longer name a service.

    Attributes:
        board: The balancer's blackboard.
        last_table: The configuration at the last check.
    """

    board: BalancerBoard
    last_table: RouteTable | None = None

    def check(self, now: float) -> None:
        """Compares the configuration in force with the last one."""
        board = self.board
        table = board.table
        if table is None or table is self.last_table:
            return
        before, self.last_table = self.last_table, table
        if before is not None and _drops_service(before, table):
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


def _drops_service(before: RouteTable, after: RouteTable) -> bool:
    """Returns whether a route of both no longer names one of its services."""
    for key, former in before.routes.items():
        route = after.routes.get(key)
        if route is None or route.targets == former.targets:
            continue
        if not {*former.services} <= {*route.services}:
            return True
    return False
