"""Applies the events in an answer of the platform's store to a balancer."""

from collections.abc import Sequence

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.records import Count
from notchhoist.flows.published import problems
from notchhoist.platform import items
from notchhoist.platform.items import CONFIGURATION_KEY, StoreEvent

MAX_REFUSAL_CHARACTERS = 2000
"""Longest text that says why a configuration is refused."""


def apply_events(
    node: BalancerNode, events: Sequence[StoreEvent], seen_at: int, now: float
) -> None:
    """Applies the events of an answer, and logs what is not understood.

    Args:
        node: The balancer.
        events: The events.
        seen_at: Revision of the store in the answer.
        now: Runtime clock, seconds.
    """
    new: list[str] = []
    for event in events:
        new += _apply(node, event, seen_at, now)
    problems.log_problems(node.board, new)


def _apply(
    node: BalancerNode, event: StoreEvent, seen_at: int, now: float
) -> list[str]:
    """Applies an event; returns what is newly not understood of it."""
    fleet, board = node.fleet, node.board
    match event:
        case items.TablePublished():
            board.refused = ""
            fleet.tables.on_table(
                event.table, event.revision, replace_same_version=True
            )
            texts = [str(problem) for problem in event.table.problems]
            return problems.record_configuration(
                board, CONFIGURATION_KEY, texts, seen_at
            )
        case items.ServersListed():
            problems.end_unlisted_problems(board, event.revision)
            fleet.on_listing(
                event.entries,
                event.revision,
                now,
                refused=event.refused,
                evacuated=event.evacuated,
            )
        case items.ServerPublished():
            problems.end_entry_problem(board, event.entry.server_id)
            fleet.on_entry(event.entry, event.revision, now)
        case items.ServerRemoved():
            problems.end_entry_problem(board, event.server_id)
            fleet.on_removed(event.server_id, event.revision, now)
        case items.TableRefused():
            _refuse(node, str(event.error)[:MAX_REFUSAL_CHARACTERS])
        case items.EntryRefused():
            fleet.on_refused(event.server_id, event.revision)
            text = str(event.error.problem)
            return problems.record_entry(board, event.server_id, text, seen_at)
        case items.ZoneEvacuated():
            fleet.zones.on_evacuated(event.zone, event.revision, now)
        case items.ZoneReturned():
            fleet.zones.on_returned(event.zone, event.revision, now)
        case items.ItemRefused():
            text = str(event.error.problem)
            return problems.record_item(board, text, seen_at)
    return []


def _refuse(node: BalancerNode, text: str) -> None:
    """Records why the configuration is refused; logs it once while it lasts."""
    board = node.board
    board.records.counters[Count.PARTS_REFUSED] += 1
    if board.refused == text:
        return
    board.refused = text
    board.records.record_decision(
        "refused", b"", text, revision=board.view.revision
    )
