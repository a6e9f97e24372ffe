"""State dump: every part of a blackboard as JSON, page by page."""

import collections
import enum
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Any

import attrs
import orjson

from notchhoist import blackboards, model, wire

HIDDEN = frozenset(["outbox", "latencies", "store"])
MAX_TEXT = 200
_STORE_SECTIONS = ("services", "balancers")


@attrs.frozen(slots=False)
class DumpRefusedError(model.NotchhoistError):
    """A section that the blackboard does not have.

    Attributes:
        section: What was asked for.
        expected: The sections there are.
    """

    section: str
    expected: str


@attrs.frozen
class Page:
    """A part of a section.

    Attributes:
        section: Name of the section.
        total: Entries in the whole section.
        offset: Place of the first entry here.
        entries: The entries.
    """

    section: str
    total: int
    offset: int
    entries: list[Any]


Board = blackboards.AgentBoard | blackboards.BalancerBoard


def sections_of(board: Board) -> list[str]:
    """Returns the names of a blackboard's sections."""
    names = [field.name for field in attrs.fields(type(board))]
    shown = [name for name in names if name not in HIDDEN]
    return [*shown, *_STORE_SECTIONS]


def dump_section(
    board: Board, section: str, offset: int, limit: int
) -> dict[str, Any]:
    """Returns a page of a section as plain JSON values.

    Args:
        board: The blackboard.
        section: Name of the section.
        offset: Place of the first entry.
        limit: Most entries.

    Returns:
        A ``Page`` in plain form.

    Raises:
        DumpRefusedError: There is no such section.
    """
    names = sections_of(board)
    if section not in names:
        raise DumpRefusedError(section, " or ".join(names))
    holder = board.config.store if section in _STORE_SECTIONS else board
    entries, total = _entries(getattr(holder, section))
    chosen = [plain(item) for item in islice(entries, offset, offset + limit)]
    return attrs.asdict(Page(section, total, offset, chosen), recurse=False)


def _entries(value: Any) -> tuple[Iterable[Any], int]:
    if isinstance(value, Mapping):
        pairs = ({"key": key, "value": item} for key, item in value.items())
        return pairs, len(value)
    if isinstance(value, list | tuple | set | collections.deque):
        return value, len(value)
    return [value], 1


def plain(value: Any) -> Any:
    """Turns any value of a blackboard into plain JSON values.

    Examples:
        >>> plain({model.Endpoint("10.0.0.1", 1): b"ab"})
        {'10.0.0.1:1': '6162'}
    """
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, str):
        return value
    if isinstance(value, bytes):
        return value.hex()[:MAX_TEXT]
    if isinstance(value, model.Endpoint):
        return str(value)
    if isinstance(value, wire.CoapMessage):
        return f"{value.method} /{'/'.join(value.path)} mid {value.mid}"
    return _plain_composite(value)


def _plain_composite(value: Any) -> Any:
    if attrs.has(type(value)):
        return {
            field.name: plain(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if field.name not in HIDDEN
        }
    if isinstance(value, Mapping):
        return {_key(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset | collections.deque):
        return [plain(item) for item in value]
    return repr(value)[:MAX_TEXT]


def _key(key: Any) -> str:
    shown = plain(key)
    return shown if isinstance(shown, str) else str(shown)


def to_json(value: Any) -> bytes:
    """Writes plain values as JSON."""
    return orjson.dumps(plain(value))
