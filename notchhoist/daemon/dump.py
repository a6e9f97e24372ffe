"""State dump: the sections of a blackboard as JSON, in pages."""

import collections
import enum
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Any

import attrs
import orjson

from notchhoist import blackboards, model, wire

HIDDEN_FIELDS = frozenset(["outbox", "latencies", "store"])
MAX_TEXT_CHARACTERS = 200
_STORE_SECTIONS = ("services", "balancers")


@attrs.frozen(slots=False)
class DumpRefusedError(model.NotchhoistError):
    """Raised for a section that the blackboard does not have.

    Attributes:
        section: Name of the requested section.
        expected: Names of the existing sections.
    """

    section: str
    expected: str


@attrs.frozen
class Page:
    """One page of a section.

    Attributes:
        section: Name of the section.
        total: Number of entries in the whole section.
        offset: Index in the section of the page's first entry.
        entries: Entries of the page as plain JSON values.
    """

    section: str
    total: int
    offset: int
    entries: list[Any]


Board = blackboards.AgentBoard | blackboards.BalancerBoard


def sections_of(board: Board) -> list[str]:
    """Returns the names of a blackboard's sections."""
    names = [field.name for field in attrs.fields(type(board))]
    visible = [name for name in names if name not in HIDDEN_FIELDS]
    return [*visible, *_STORE_SECTIONS]


def dump_section(
    board: Board, section: str, offset: int, limit: int
) -> dict[str, Any]:
    """Returns a page of a section as plain JSON values.

    Args:
        board: The blackboard.
        section: Name of the section.
        offset: Index of the first entry.
        limit: Maximum number of entries.

    Returns:
        A ``Page`` as a dictionary.

    Raises:
        DumpRefusedError: The section does not exist.
    """
    names = sections_of(board)
    if section not in names:
        raise DumpRefusedError(section, " or ".join(names))
    holder = board.config.store if section in _STORE_SECTIONS else board
    entries, total = _entries(getattr(holder, section))
    page_entries = [
        plain(item) for item in islice(entries, offset, offset + limit)
    ]
    return attrs.asdict(
        Page(section, total, offset, page_entries), recurse=False
    )


def _entries(value: Any) -> tuple[Iterable[Any], int]:
    if isinstance(value, Mapping):
        pairs = ({"key": key, "value": item} for key, item in value.items())
        return pairs, len(value)
    if isinstance(value, list | tuple | set | collections.deque):
        return value, len(value)
    return [value], 1


def plain(value: Any) -> Any:
    """Converts any value of a blackboard to plain JSON values.

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
        return value.hex()[:MAX_TEXT_CHARACTERS]
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
            if field.name not in HIDDEN_FIELDS
        }
    if isinstance(value, Mapping):
        return {_key(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset | collections.deque):
        return [plain(item) for item in value]
    return repr(value)[:MAX_TEXT_CHARACTERS]


def _key(key: Any) -> str:
    text = plain(key)
    return text if isinstance(text, str) else str(text)


def to_json(value: Any) -> bytes:
    """Encodes any value of a blackboard as JSON."""
    return orjson.dumps(plain(value))
