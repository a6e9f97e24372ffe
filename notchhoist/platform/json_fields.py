"""Validated access to decoded JSON; each error names the field's path."""

from collections.abc import Callable, Mapping
from itertools import islice
from typing import Any, TypeVar

from notchhoist.base.errors import ConfigurationProblem
from notchhoist.flows.model.ranges import (
    MAX_NAME_BYTES,
    MAX_PORT,
    MIN_PORT,
    is_name,
)

T = TypeVar("T")

NAME_FORM = f"a printable text of at most {MAX_NAME_BYTES} bytes"

_SHOWN_CHARACTERS_MAX = 60
_SHOWN_ITEMS_MAX = 4
_SHOWN_LEVELS_MAX = 2
_SHOWN_BITS_MAX = 128
"""Limits of the part of an invalid value that an error shows."""


class FieldError(ValueError):
    """A missing or invalid field.

    Attributes:
        problem: Path to the field, the expected value and the actual one.
    """

    def __init__(self, place: str, expected: str, got: object) -> None:
        self.problem = ConfigurationProblem(place, expected, _shown(got))
        super().__init__(str(self.problem))


class SeveralFieldsError(FieldError):
    """Several missing or invalid fields.

    Attributes:
        problem: The first of ``problems``.
        problems: One problem for each field.
    """

    def __init__(self, problems: tuple[ConfigurationProblem, ...]) -> None:
        ValueError.__init__(self, "\n".join(str(item) for item in problems))
        self.problem = problems[0]
        self.problems = problems


class Problems:
    """Collects problems, so that all of them can be reported at once.

    Examples:
        >>> problems = Problems()
        >>> fields = Fields({"slots": "x"}, "server")
        >>> problems.value_or(lambda: fields.integer("slots", 1, 9), 1)
        1
        >>> len(problems.found)
        1
    """

    def __init__(self) -> None:
        self.found: list[ConfigurationProblem] = []

    def value_or(self, read: Callable[[], T], fallback: T) -> T:
        """Returns what ``read`` returns, or a fallback if that is invalid."""
        try:
            return read()
        except FieldError as error:
            self.found.append(error.problem)
            return fallback

    def raise_any(self) -> None:
        """Raises an error if any problem was found.

        Raises:
            SeveralFieldsError: It holds all problems.
        """
        if self.found:
            raise SeveralFieldsError(tuple(self.found))


class Fields:
    """The fields of one JSON object.

    Examples:
        >>> Fields({"slots": 3}, "server").integer("slots", 1, 100)
        3
        >>> Fields({"slots": "x"}, "server").integer("slots", 1, 100)
        Traceback (most recent call last):
        ...
        notchhoist.platform.json_fields.FieldError: server.slots: expected a \
whole number from 1 to 100, got 'x'
    """

    def __init__(self, value: object, place: str) -> None:
        if not isinstance(value, Mapping):
            raise FieldError(place, "an object", value)
        self.values: Mapping[str, Any] = value
        self.place = place

    def _at(self, name: str) -> str:
        return f"{self.place}.{name}" if self.place else name

    def has(self, name: str) -> bool:
        """Tells whether a field is present and not null."""
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a string; it may be empty only if a default is given."""
        value = self.values.get(name, default)
        if not isinstance(value, str) or (not value and default is None):
            raise FieldError(self._at(name), "a non-empty string", value)
        return value

    def name(self, name: str) -> str:
        """Returns a name; see ``is_name``."""
        value = self.text(name)
        if not is_name(value):
            raise FieldError(self._at(name), NAME_FORM, value)
        return value

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Returns a string that is one of the choices."""
        value = self.text(name)
        if value not in choices:
            raise FieldError(self._at(name), f"one of {choices}", value)
        return value

    def number(
        self,
        name: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Returns a number from ``low`` to ``high``."""
        value = self.values.get(name, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not low <= value <= high
        ):
            expected = f"a number from {low:g} to {high:g}"
            raise FieldError(self._at(name), expected, value)
        return float(value)

    def integer(
        self, name: str, low: int, high: int, default: int | None = None
    ) -> int:
        """Returns an integer from ``low`` to ``high``."""
        value = self.values.get(name, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int)
            or not low <= value <= high
        ):
            expected = f"a whole number from {low} to {high}"
            raise FieldError(self._at(name), expected, value)
        return value

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """Returns a boolean."""
        value = self.values.get(name, default)
        if not isinstance(value, bool):
            raise FieldError(self._at(name), "true or false", value)
        return value

    def nested(self, name: str) -> "Fields":
        """Returns the fields of a nested object."""
        return Fields(self.values.get(name), self._at(name))

    def elements(self, name: str) -> list[tuple[str, object]]:
        """Returns the paths and the unchecked elements of a list."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise FieldError(self._at(name), "a list", value)
        place = self._at(name)
        return [(f"{place}[{index}]", item) for index, item in enumerate(value)]

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns a list of strings."""
        value = self.values.get(name)
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise FieldError(self._at(name), "a list of strings", value)
        return tuple(value)


def split_address(text: str, place: str) -> tuple[str, int]:
    """Parses an IPv4 address and port, written as ``ip:port``.

    Examples:
        >>> split_address("10.1.0.10:8172", "listen.ready")
        ('10.1.0.10', 8172)

    Raises:
        FieldError: The octets or the port are out of range, or not written as
            ``parse_decimal`` requires.
    """
    host, _, port_text = text.rpartition(":")
    octets = [parse_decimal(part, 0, 255) for part in host.split(".")]
    port = parse_decimal(port_text, MIN_PORT, MAX_PORT)
    if len(octets) != 4 or None in octets or port is None:
        raise FieldError(place, "ip:port", text)
    return host, port


def parse_decimal(text: str, low: int, high: int) -> int | None:
    """Returns the number from ``low`` to ``high`` that a text denotes.

    Leading zeros are refused: ``socket`` takes octets with them for octal.

    Examples:
        >>> parse_decimal("8172", 1, 65535), parse_decimal("08172", 1, 65535)
        (8172, None)

    Returns:
        None if the number is out of range or the text has anything but the
        ASCII digits of a number without leading zeros.
    """
    # ``int`` raises ValueError for texts of several thousand digits.
    if len(text) > len(str(high)):
        return None
    if not (text.isascii() and text.isdecimal()):
        return None
    if text[0] == "0" and text != "0":
        return None
    number = int(text)
    return number if low <= number <= high else None


def _shown(value: object, levels: int = _SHOWN_LEVELS_MAX) -> str:
    """Returns the first characters of the text of a decoded JSON value.

    ``repr`` would take time in proportion to the value, and it raises
    RecursionError for values that the decoder accepts.

    Examples:
        >>> _shown({"a": [1, [2, [3]]]}), _shown(1 << 200), _shown([1] * 9)
        ("{'a': [1, [...]]}", 'a number of 201 bits', '[1, 1, 1, 1, ...]')
    """
    if isinstance(value, str):
        text = repr(value[:_SHOWN_CHARACTERS_MAX])
    elif isinstance(value, Mapping):
        pairs = islice(value.items(), _SHOWN_ITEMS_MAX) if levels else ()
        items = [
            f"{_shown(key)}: {_shown(item, levels - 1)}" for key, item in pairs
        ]
        text = "{" + _joined(items, len(value)) + "}"
    elif isinstance(value, list | tuple):
        shown = value[:_SHOWN_ITEMS_MAX] if levels else ()
        items = [_shown(item, levels - 1) for item in shown]
        text = "[" + _joined(items, len(value)) + "]"
    elif isinstance(value, int) and value.bit_length() > _SHOWN_BITS_MAX:
        text = f"a number of {value.bit_length()} bits"
    else:
        text = repr(value)
    return text[:_SHOWN_CHARACTERS_MAX]


def _joined(items: list[str], total: int) -> str:
    return ", ".join(items if len(items) == total else [*items, "..."])
