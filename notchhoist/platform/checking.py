"""Checked access to decoded JSON: each error names field and place."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from notchhoist.base.errors import ConfigurationProblem

T = TypeVar("T")

_SHOWN_CHARACTERS = 60


class FieldError(ValueError):
    """A field that does not hold what it must.

    Attributes:
        problem: Where, what was expected, what stood there.
    """

    def __init__(self, place: str, expected: str, got: object) -> None:
        shown = repr(got)[:_SHOWN_CHARACTERS]
        self.problem = ConfigurationProblem(place, expected, shown)
        super().__init__(str(self.problem))


class SeveralFieldsError(FieldError):
    """Several fields that do not hold what they must.

    Attributes:
        problems: One for each of them.
    """

    def __init__(self, problems: tuple[ConfigurationProblem, ...]) -> None:
        ValueError.__init__(self, "\n".join(str(item) for item in problems))
        self.problem = problems[0]
        self.problems = problems


class Problems:
    """Collects what is wrong, so that everything can be told at once.

    Examples:
        >>> problems = Problems()
        >>> fields = Fields({"slots": "x"}, "server")
        >>> problems.take(lambda: fields.integer("slots", 1, 9), 1)
        1
        >>> len(problems.found)
        1
    """

    def __init__(self) -> None:
        self.found: list[ConfigurationProblem] = []

    def take(self, read: Callable[[], T], instead: T) -> T:
        """Returns what is read, or something in its place where it is wrong."""
        try:
            return read()
        except FieldError as error:
            self.found.append(error.problem)
            return instead

    def raise_any(self) -> None:
        """Raises what was found.

        Raises:
            SeveralFieldsError: Something was.
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
        notchhoist.platform.checking.FieldError: server.slots: expected a \
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
        """Tells whether a field stands there and is not null."""
        return self.values.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a text that is not empty."""
        value = self.values.get(name, default)
        if not isinstance(value, str) or (not value and default is None):
            raise FieldError(self._at(name), "a text", value)
        return value

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Returns a text that is one of some."""
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
        """Returns a number within bounds."""
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
        """Returns a whole number within bounds."""
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
        """Returns a truth value."""
        value = self.values.get(name, default)
        if not isinstance(value, bool):
            raise FieldError(self._at(name), "true or false", value)
        return value

    def inner(self, name: str) -> "Fields":
        """Returns the fields of an object in this one."""
        return Fields(self.values.get(name), self._at(name))

    def elements(self, name: str) -> list[tuple[str, object]]:
        """Returns the elements of a list as they stand, with their places."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise FieldError(self._at(name), "a list", value)
        place = self._at(name)
        return [(f"{place}[{index}]", item) for index, item in enumerate(value)]

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns a list of texts."""
        value = self.values.get(name)
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise FieldError(self._at(name), "a list of texts", value)
        return tuple(value)


def split_address(text: str, place: str) -> tuple[str, int]:
    """Reads ``ip:port``.

    Examples:
        >>> split_address("10.1.0.10:8172", "listen.ready")
        ('10.1.0.10', 8172)
    """
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    good = len(octets) == 4 and all(_is_number(part, 255) for part in octets)
    if not good or not _is_number(port, 65535):
        raise FieldError(place, "ip:port", text)
    return host, int(port)


def _is_number(text: str, most: int) -> bool:
    return text.isascii() and text.isdecimal() and int(text) <= most
