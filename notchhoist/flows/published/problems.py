"""What a balancer does not understand of the published data at present.

A problem holds until its item is published again or removed, or until a listing
of everything does not show it any more. The functions that record problems
return the texts that did not hold before, which are to be logged.
"""

from collections import deque
from collections.abc import Iterable, Sequence

from notchhoist.flows.boards.balancer_board import (
    BalancerBoard,
    PublishedProblem,
)
from notchhoist.flows.model.records import Count

MAX_UNKEYED = 200
"""Most problems kept of items whose key cannot be read. Only a listing ends
them, as they cannot be told apart."""

MAX_LOGGED = 20
"""Most problems of one answer that are logged one by one."""

MAX_CHARACTERS = 300
"""Longest text of a problem that is kept and logged."""


def record_entry(
    board: BalancerBoard, server_id: str, text: str, seen_at: int
) -> list[str]:
    """Records an invalid entry; another text of a known one is not new.

    Args:
        board: State of the balancer.
        server_id: The id of the server.
        text: What is wrong with the entry.
        seen_at: Revision of the store's answer.
    """
    key = _entry_key(server_id)
    is_new = key not in board.problems
    problem = _put(board, key, [text], seen_at)
    problem.server_id = server_id
    return list(problem.texts) if is_new else []


def record_configuration(
    board: BalancerBoard, key: str, texts: Iterable[str], seen_at: int
) -> list[str]:
    """Records what is wrong with a configuration, which may be nothing.

    Args:
        board: State of the balancer.
        key: Key of the configuration.
        texts: What is wrong with it.
        seen_at: Revision of the store's answer.
    """
    former = board.problems.pop(key, None)
    listed = list(texts)
    if not listed:
        return []
    problem = _put(board, key, listed, seen_at)
    problem.is_configuration = True
    known = set(former.texts) if former is not None else set()
    return [text for text in problem.texts if text not in known]


def record_item(board: BalancerBoard, text: str, seen_at: int) -> list[str]:
    """Records an item without a readable key, or a header of the store.

    Args:
        board: State of the balancer.
        text: What is wrong with it.
        seen_at: Revision of the store's answer.
    """
    is_new = text not in board.problems
    problem = _put(board, text, [text], seen_at)
    if not is_new:
        return []
    board.unkeyed_problems.append(text)
    if len(board.unkeyed_problems) > MAX_UNKEYED:
        board.problems.pop(board.unkeyed_problems.popleft(), None)
    return list(problem.texts)


def _put(
    board: BalancerBoard, key: str, texts: Sequence[str], seen_at: int
) -> PublishedProblem:
    board.records.counters[Count.PARTS_REFUSED] += len(texts)
    shortened = tuple(text[:MAX_CHARACTERS] for text in texts)
    problem = board.problems[key] = PublishedProblem(shortened, seen_at)
    return problem


def _entry_key(server_id: str) -> str:
    return f"servers/{server_id}"


def end_entry_problem(board: BalancerBoard, server_id: str) -> None:
    """Records that a server's entry is valid, or removed."""
    board.problems.pop(_entry_key(server_id), None)


def end_unlisted_problems(board: BalancerBoard, revision: int) -> None:
    """Ends the problems that a listing of everything has not shown.

    Args:
        board: State of the balancer.
        revision: Revision of the listing.
    """
    problems = board.problems
    for key, problem in list(problems.items()):
        if problem.seen_at < revision:
            del problems[key]
    unkeyed = board.unkeyed_problems
    board.unkeyed_problems = deque(key for key in unkeyed if key in problems)


def log_problems(board: BalancerBoard, texts: Sequence[str]) -> None:
    """Logs the new problems of an answer; past a limit only their number."""
    revision = board.view.revision
    for text in texts[:MAX_LOGGED]:
        board.records.record_decision(
            "not understood", b"", text, revision=revision
        )
    if len(texts) > MAX_LOGGED:
        board.records.record_decision(
            "not understood",
            b"",
            "further parts of the same answer",
            left_out=len(texts) - MAX_LOGGED,
            revision=revision,
        )


def present_problems(board: BalancerBoard) -> dict[str, PublishedProblem]:
    """Returns the problems that hold now, by the key of their item.

    Other balancers may have told of a newer entry or configuration.
    """
    return {
        key: item
        for key, item in board.problems.items()
        if _changed_at(board, item) <= item.seen_at
    }


def _changed_at(board: BalancerBoard, problem: PublishedProblem) -> int:
    """Returns the revision of the last known change of a problem's item."""
    changed_at = board.view.changed_at
    if problem.is_configuration:
        return changed_at.get(None, 0)
    return changed_at.get(problem.server_id, 0) if problem.server_id else 0


def count_problems(board: BalancerBoard) -> tuple[int, int]:
    """Returns how many problems hold now, and how many entries have one."""
    present = present_problems(board).values()
    texts = sum(len(item.texts) for item in present)
    return texts, sum(bool(item.server_id) for item in present)
