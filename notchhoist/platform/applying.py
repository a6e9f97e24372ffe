"""Applies what was read from the platform's store to a balancer."""

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.platform import items
from notchhoist.platform.items import StoreEvent
from notchhoist.platform.problem_log import ProblemLog


def apply_event(node: BalancerNode, event: StoreEvent, now: float) -> None:
    """Applies an event of the store.

    Args:
        node: The balancer.
        event: The event.
        now: Runtime clock, seconds.
    """
    fleet, problems = node.fleet, ProblemLog(node.board)
    match event:
        case items.TablePublished():
            node.board.refused = ""
            problems.record(event.table.problems)
            fleet.tables.on_table(
                event.table, event.revision, replace_same_version=True
            )
        case items.ServersListed():
            fleet.on_listing(
                event.entries,
                event.revision,
                now,
                refused=event.refused,
                evacuated=event.evacuated,
            )
        case items.ServerPublished():
            fleet.on_entry(event.entry, event.revision, now)
        case items.ServerRemoved():
            fleet.on_removed(event.server_id, event.revision, now)
        case items.TableRefused():
            problems.record_refused(event.error)
        case items.EntryRefused():
            problems.record([event.error.problem])
            fleet.on_refused(event.server_id, event.revision)
        case items.ZoneEvacuated():
            fleet.zones.on_evacuated(event.zone, event.revision, now)
        case items.ZoneReturned():
            fleet.zones.on_returned(event.zone, event.revision, now)
        case items.ItemRefused():
            problems.record([event.error.problem])
