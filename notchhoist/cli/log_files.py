"""Reads log files of many processes, plain or compressed.

A day of 200 hosts is 30 MB of lines. Most of them cannot matter to a question,
and a look for a few words is 30 times cheaper than decoding the JSON.
"""

import gzip
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

COMPRESSED = ".gz"


def read_line(text: str) -> dict[str, Any] | None:
    """Returns the JSON object in a line of a log, or None.

    What stands before it, such as a time and a host, is passed over.

    Examples:
        >>> read_line('1.2 front-1 {"message_type": "place"}')
        {'message_type': 'place'}
        >>> read_line("Traceback:") is None
        True
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(text[start:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def lines_of(paths: Iterable[Path]) -> Iterator[str]:
    """Yields the lines of files, one after the other.

    Raises:
        OSError: A file cannot be read; the error names it.
    """
    for path in paths:
        opener = gzip.open if path.suffix == COMPRESSED else open
        with opener(path, "rt", errors="replace") as file:
            yield from file


def lines_with(words: Iterable[str], lines: Iterable[str]) -> Iterator[str]:
    """Yields the lines that hold one of some words.

    Examples:
        >>> list(lines_with(["reset"], ['{"message_type":"reset"}', "{}"]))
        ['{"message_type":"reset"}']
    """
    wanted = tuple(words)
    return (line for line in lines if any(word in line for word in wanted))
