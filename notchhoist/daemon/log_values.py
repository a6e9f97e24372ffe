"""Shortens the values of a log line that cannot be written as they are.

This module is loaded by the first such line.
"""

from collections.abc import Iterable, Mapping
from itertools import islice

import msgspec

MAX_TEXT = 300
MAX_ITEMS = 40
MAX_DEPTH = 3
"""Bounds of a value: characters of a text, items of a list or an object, and
lists or objects in each other."""

MAX_VALUE_BYTES = 1000
"""Longest value, bytes: longer lists and objects are only named."""

MAX_EXACT_INT = 2**63
"""Integers beyond are written as their number of bits: the text of one of over
4,300 digits raises an error."""

CUT = {"cut": True}
"""Field of a line in which values were shortened or left out."""


def encode_shortened(line: Mapping[str, object], max_bytes: int) -> bytes:
    """Returns a line as JSON in which values are shortened or left out.

    Args:
        line: Fields of the line, the ones that must stay first.
        max_bytes: Longest text, bytes.
    """
    cut = msgspec.json.encode(CUT)[1:]
    size = 1
    parts: list[bytes] = []
    for name, value in line.items():
        part = msgspec.json.encode({_text(name): shortened(value)})[1:-1]
        if len(part) > MAX_VALUE_BYTES:
            named = {_text(name): shortened(value, depth=0)}
            part = msgspec.json.encode(named)[1:-1]
        if size + len(part) + 1 + len(cut) <= max_bytes:
            parts.append(part)
            size += len(part) + 1
    return b"{" + b",".join([*parts, cut])


def shortened(value: object, depth: int = MAX_DEPTH) -> object:
    """Returns a value that JSON can hold, within the bounds of this module.

    Examples:
        >>> shortened({"a": [2**70, b"x"], None: float("inf")})
        {'a': ['an integer of 71 bits', "b'x'"], 'None': inf}
        >>> shortened([[[[1]]]])
        [[['a list of 1']]]
    """
    match value:
        case None | bool() | float():
            return value
        case int():
            if -MAX_EXACT_INT <= value < MAX_EXACT_INT:
                return value
            return f"an integer of {value.bit_length()} bits"
        case str():
            return _text(value)
        case bytes() | bytearray():
            return repr(bytes(value[:MAX_TEXT]))[:MAX_TEXT]
        case Mapping() | list() | tuple() | set() | frozenset():
            if not depth:
                return f"a {type(value).__name__} of {len(value)}"
            return _shortened_items(value, depth - 1)
        case _:
            return _text_of_object(value)


def _shortened_items(values: Iterable[object], depth: int) -> object:
    if isinstance(values, Mapping):
        return {
            str(shortened(key, 0)): shortened(value, depth)
            for key, value in islice(values.items(), MAX_ITEMS)
        }
    return [shortened(value, depth) for value in islice(values, MAX_ITEMS)]


def _text(text: str) -> str:
    """Returns the start of a text, with lone surrogates as escapes."""
    return text[:MAX_TEXT].encode("utf-8", "backslashreplace").decode()


def _text_of_object(value: object) -> str:
    try:
        return _text(str(value))
    except Exception as error:
        return f"a {type(value).__name__} without text: {type(error).__name__}"
