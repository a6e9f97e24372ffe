"""Eras of the platform's store: a restore from a copy begins a new one."""

from collections.abc import Mapping

from notchhoist.platform.checking import FieldError

ERA_HEADER = "store-era"
"""In each answer of the store; rises by one when it comes back from a copy."""

NO_ERA = 0
"""Era of a store that names none: it was never restored."""


def read_era(headers: Mapping[str, str]) -> int:
    """Reads which era of the store an answer is of.

    Args:
        headers: Headers of the answer, by their names in small letters.

    Examples:
        >>> read_era({"store-era": "3"}), read_era({})
        (3, 0)

    Raises:
        FieldError: The header holds something else than a count.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return NO_ERA
    if not (text.isascii() and text.isdigit()):
        raise FieldError(ERA_HEADER, "a whole number", text)
    return int(text)
