"""Conversion of JSON with comments to attrs classes, with all problems."""

import enum
from typing import Any, TypeVar

import cattrs
import pyjson5
from returns.result import Failure, Result, Success

from notchhoist import model

T = TypeVar("T")
Problems = tuple[model.ConfigurationProblem, ...]

_MAX_SHOWN_CHARACTERS = 60


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(
        model.Endpoint, lambda value, _: _endpoint(value)
    )
    converter.register_unstructure_hook(model.Endpoint, str)
    for strict in (int, str, bool):
        converter.register_structure_hook(strict, _exact_type(strict))
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(enum.StrEnum, _enum_member)
    return converter


def _endpoint(value: Any) -> model.Endpoint:
    if not isinstance(value, str):
        raise ValueError("expected host:port")
    return model.parse_endpoint(value)


def _enum_member(value: Any, wanted: Any) -> Any:
    try:
        return wanted(value)
    except ValueError:
        names = " or ".join(str(member.value) for member in wanted)
        raise ValueError(f"expected {names}") from None


def _exact_type(wanted: type) -> Any:
    def check(value: Any, _: type) -> Any:
        if type(value) is not wanted:
            raise ValueError(f"expected {wanted.__name__}")
        return value

    return check


def _number(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError("expected a number")
    return float(value)


_CONVERTER = _make_converter()


def read_json(text: bytes) -> Result[Any, Problems]:
    """Parses JSON with comments.

    Examples:
        >>> read_json(b"{a: 1 /* one */}").unwrap()
        {'a': 1}

    Args:
        text: UTF-8 text.

    Returns:
        The value, or one problem with its position in the text.
    """
    try:
        return Success(pyjson5.decode(text.decode()))
    except UnicodeDecodeError as error:
        return Failure((_problem(f"byte {error.start}", "UTF-8 text", ""),))
    except (pyjson5.Json5DecoderException, RecursionError) as error:
        return Failure((_problem("text", "JSON with comments", str(error)),))


def _problem(place: str, expected: str, got: str) -> model.ConfigurationProblem:
    return model.ConfigurationProblem(
        place, expected, got[:_MAX_SHOWN_CHARACTERS]
    )


def structure(value: Any, wanted: type[T]) -> Result[T, Problems]:
    """Converts plain JSON values to an instance of an attrs class.

    Args:
        value: Result of ``read_json``.
        wanted: The class; unknown fields are refused.

    Returns:
        The instance, or all problems, each with the path of its field.
    """
    try:
        return Success(_CONVERTER.structure(value, wanted))
    except cattrs.BaseValidationError as error:
        return Failure(tuple(_problems_of(error, value)))
    except (ValueError, TypeError, KeyError, AttributeError):
        expected = f"a {wanted.__name__}"
        return Failure((_problem("document", expected, repr(value)),))


def _problems_of(
    error: cattrs.BaseValidationError, value: Any
) -> list[model.ConfigurationProblem]:
    problems = []
    for line in cattrs.transform_error(error, path=""):
        expected, _, path = line.rpartition(" @ ")
        expected = expected.rpartition("expected ")[2]
        place = path.lstrip(".") or "document"
        got = repr(_value_at(value, path))
        problems.append(_problem(place, expected, got))
    return problems


def _value_at(value: Any, path: str) -> Any:
    steps = path.replace("[", ".").replace("]", "").split(".")
    for step in filter(None, steps):
        if isinstance(value, dict):
            value = value.get(step.strip("'"))
        elif isinstance(value, list) and step.isdecimal():
            value = value[int(step)]
    return value


def unstructure(value: Any) -> Any:
    """Converts an instance of an attrs class to plain JSON values."""
    return _CONVERTER.unstructure(value)
