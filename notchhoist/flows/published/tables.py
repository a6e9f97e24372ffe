"""A balancer's controller for the published configuration."""

from collections.abc import Mapping

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.digests import routes_digest
from notchhoist.flows.model.fleet import Route, RouteTable
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.reroutings import drops_service


def apply_change(
    known: Mapping[bytes, Route], change: ViewChange
) -> RouteTable:
    """Returns the configuration that results from a change.

    Args:
        known: Routes that are in force.
        change: What changed, or a full view.
    """
    former = known if change.base else {}
    removed = set(change.removed_routes)
    routes = {key: route for key, route in former.items() if key not in removed}
    for route in change.routes:
        routes[route.service_key] = route
    return RouteTable(
        change.version, routes, change.idle_s, cold_bounds=change.cold_bounds
    )


def matches_digest(table: RouteTable, change: ViewChange) -> bool:
    """Returns whether a configuration has the digest that a change states.

    A sender that has skipped versions does not know what they changed. A
    receiver that has one of those versions may get other routes from the
    sender's change than the sender has.
    """
    if change.routes_digest is None:
        return True
    return routes_digest(table.routes.values()) == change.routes_digest


class TableUpdater(Struct, eq=False):
    """Puts published configurations in force; never reverts to older ones.

    Attributes:
        board: The balancer's blackboard.
    """

    board: BalancerBoard

    def on_table(
        self,
        table: RouteTable,
        revision: int,
        replace_same_version: bool = False,
        sender: str = "",
    ) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            table: The configuration.
            revision: Revision of its change.
            replace_same_version: It also replaces a configuration of the same
                version.
            sender: Host of the balancer that sent it; empty for the platform.
        """
        board = self.board
        former = board.table
        if not board.view.put_table(table, revision, replace_same_version):
            return
        board.table = table = board.view.table or table
        board.refused = ""
        if former is not None and drops_service(former, table):
            board.has_new_reroute = True
        before = former.routes if former else {}
        board.records.record_decision(
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
            teller=sender or None,
            confirmed_clock=board.confirmed_clock,
            confirmed_by=board.confirmed_by or None,
        )

    def on_update(self, change: ViewChange, sender: str) -> bool:
        """Applies a configuration that another balancer has sent.

        Args:
            change: What changed, or a full view; with a configuration.
            sender: Host of that balancer.

        Returns:
            Whether the configuration in force is the sender's or a later one.
            A configuration that would differ from the sender's is not put in
            force.
        """
        board = self.board
        version = board.table.version if board.table else 0
        if change.version < version:
            return True
        table = apply_change(board.table.routes if board.table else {}, change)
        if not matches_digest(table, change):
            return False
        newest = change.revision >= board.view.revision
        replace_same_version = change.base == 0 and newest
        self.on_table(table, change.revision, replace_same_version, sender)
        if change.base:
            board.view.record_received_changes(change)
        return True
