"""Eras of the platform's store: a restore from a backup starts a new one."""

from collections.abc import Mapping

from notchhoist.flows.model.ranges import MAX_ERA
from notchhoist.platform.json_fields import FieldError, parse_decimal

ERA_HEADER = "store-era"
"""Header of each answer of the store; each restore from a backup adds one."""


def read_era(headers: Mapping[str, str], known: int) -> int:
    """Reads the era of the store from the headers of an answer.

    Args:
        headers: Headers of the answer by their names in lower case.
        known: Last known era; it is returned if the answer names none.

    Examples:
        >>> read_era({"store-era": "3"}, 1), read_era({}, 1)
        (3, 1)

    Raises:
        FieldError: The header does not hold an era.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return known
    era = parse_decimal(text, 0, MAX_ERA)
    if era is None:
        raise FieldError(ERA_HEADER, "a whole number", text)
    return era
