"""Whether flows may be at services that their routes do not name today.

A flow stays where it was opened when its route changes. A balancer that has
just started knows today's routes only, so balancers tell each other how long
ago a route last named something else.
"""

from collections import Counter

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import RouteTable

LONGEST_FLOW_S = 60.0
"""The platform promises nothing to flows that are older, seconds."""

KEPT_S = LONGEST_FLOW_S + 5.0
"""How long a change is remembered, seconds: what is told is dated back to the
question, which may be as old as a balancer that counts as alive."""


def told_for_ms(board: BalancerBoard, now: float) -> int:
    """Returns what to tell others, ms; 0 where no route changed lately."""
    if board.splits:
        return 1
    age_s = now - board.rerouted_at
    return max(1, round(age_s * 1000)) if age_s < KEPT_S else 0


def on_told(board: BalancerBoard, for_ms: int, asked_at: float) -> None:
    """Takes another balancer's word.

    Args:
        board: What the balancer knows.
        for_ms: How long ago a route last changed; 0 if not lately.
        asked_at: When the question was asked that this answers, seconds. Dated
            from the answer's arrival, two balancers that tell each other over
            a full link would never forget.
    """
    if for_ms:
        board.rerouted_at = max(board.rerouted_at, asked_at - for_ms / 1000)


def may_hold_others(board: BalancerBoard, now: float) -> bool:
    """Tells whether a service may hold flows of routes that do not name it."""
    return board.splits or now - board.rerouted_at < KEPT_S


class Reroutings(Struct, eq=False):
    """Notices routes that no longer name a service.

    Attributes:
        board: What the balancer knows.
        seen: The configuration when it last looked.
    """

    board: BalancerBoard
    seen: RouteTable | None = None

    def look(self, now: float) -> None:
        """Takes account of the configuration in force."""
        board = self.board
        table = board.table
        if table is None or table is self.seen:
            return
        before, self.seen = self.seen, table
        if before is not None and _drops_service(before, table):
            board.rerouted_at = now
        former = before.routes if before is not None else {}
        split = [route for route in table.routes.values() if route.splits]
        board.splits = bool(split)
        board.placed = {
            route.service_key: board.placed[route.service_key]
            if former.get(route.service_key) == route
            else Counter()
            for route in split
        }


def _drops_service(before: RouteTable, after: RouteTable) -> bool:
    """Tells whether a route of both no longer names one of its services."""
    for key, former in before.routes.items():
        route = after.routes.get(key)
        if route is None or route.targets == former.targets:
            continue
        if not {*former.services} <= {*route.services}:
            return True
    return False
