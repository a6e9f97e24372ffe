"""Eras of the platform's store: a restore from a copy begins a new one."""

from collections.abc import Mapping

from notchhoist.platform.checking import FieldError

ERA_HEADER = "store-era"
"""In each answer of the store; rises by one when it comes back from a copy."""


def read_era(headers: Mapping[str, str], known: int) -> int:
    """Reads which era of the store an answer is of.

    Args:
        headers: Headers of the answer, by their names in small letters.
        known: Era where the answer names none: the last one that is known.

    Examples:
        >>> read_era({"store-era": "3"}, 1), read_era({}, 1)
        (3, 1)

    Raises:
        FieldError: The header holds something else than a count.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return known
    if not (text.isascii() and text.isdigit()):
        raise FieldError(ERA_HEADER, "a whole number", text)
    return int(text)
