"""A balancer's controller for the configuration."""

from collections.abc import Mapping

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.digests import routes_digest
from notchhoist.flows.model.fleet import Route, RouteTable
from notchhoist.flows.model.view import ViewChange


def told_table(known: Mapping[bytes, Route], change: ViewChange) -> RouteTable:
    """Returns the configuration that a change leads to.

    Args:
        known: Routes that are in force.
        change: What changed, or everything.
    """
    former = known if change.base else {}
    removed = set(change.removed_routes)
    routes = {key: route for key, route in former.items() if key not in removed}
    for route in change.routes:
        routes[route.service_key] = route
    return RouteTable(
        change.version, routes, change.idle_s, cold_bounds=change.cold_bounds
    )


def is_as_told(table: RouteTable, change: ViewChange) -> bool:
    """Tells whether a configuration is the teller's.

    A teller that has skipped versions does not know what they changed, and its
    differences may lead a process that has one of them elsewhere.
    """
    if change.routes_digest is None:
        return True
    return routes_digest(table.routes.values()) == change.routes_digest


class TableKeeper(Struct, eq=False):
    """Keeps the configuration as published; it does not go back.

    Attributes:
        board: What the balancer knows.
    """

    board: BalancerBoard

    def on_table(
        self,
        table: RouteTable,
        revision: int,
        mends: bool = False,
        teller: str = "",
    ) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            table: The configuration.
            revision: Revision of its change.
            mends: It also replaces one of the same version.
            teller: Host of the balancer that told it; empty for the platform.
        """
        board = self.board
        former = board.table
        if not board.view.put_table(table, revision, mends):
            return
        board.table = table = board.view.table or table
        before = former.routes if former else {}
        board.records.decide(
            "configuration",
            b"",
            "in force",
            version=table.version,
            before=former.version if former else 0,
            revision=revision,
            routes=len(table.routes),
            added=len(table.routes.keys() - before.keys()),
            dropped=len(before.keys() - table.routes.keys()),
            digest=f"{board.view.digest:x}",
            teller=teller or None,
            confirmed_clock=board.confirmed_clock,
            confirmed_by=board.confirmed_by or None,
        )

    def on_told(self, change: ViewChange, teller: str) -> bool:
        """Takes a configuration that another balancer tells.

        Args:
            change: What changed, or everything; with a configuration.
            teller: Host of that balancer.

        Returns:
            Whether what is known is, or goes beyond, what the teller has. What
            would differ from that is not put in force.
        """
        board = self.board
        version = board.table.version if board.table else 0
        if change.version < version:
            return True
        table = told_table(board.table.routes if board.table else {}, change)
        if not is_as_told(table, change):
            return False
        newest = change.revision >= board.view.revision
        mends = change.base == 0 and newest
        self.on_table(table, change.revision, mends, teller)
        if change.base:
            board.view.note_told(change)
        return True
