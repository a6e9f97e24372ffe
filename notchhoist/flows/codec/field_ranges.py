"""Ranges of the fields of control messages.

A field has one range in all structs. Whatever passes when a message is decoded
can be computed with, logged, and encoded again for another process. When a
message is encoded, a time, count or size past its range becomes the end of it;
any other number past its range is an error.
"""

from collections.abc import Callable
from typing import Any

from notchhoist.flows.codec.compact import CONTAINER_ITEMS_MAX
from notchhoist.flows.model.ranges import (
    I32_MAX,
    I64_MAX,
    MAX_MS,
    MAX_PER_S,
    MAX_PRIORITY,
    MAX_SLOTS,
    MAX_VERSION,
    MAX_WEIGHT,
)
from notchhoist.flows.model.revisions import COUNTS_PER_ERA

MAX_TAG = 0xFFFF
SERVICE_KEY_BYTES = 6

_COUNT = (0, I32_MAX)
_NUMBER = (0, I64_MAX)
_REVISION = (0, COUNTS_PER_ERA - 1)
_DURATION_MS = (0, MAX_MS)
_DURATION_S = (0, MAX_MS // 1000)
_PER_S = (0, MAX_PER_S)

FIELD_RANGES: dict[str, tuple[float, float]] = {
    "revision": _REVISION,
    "base": _REVISION,
    "created": _REVISION,
    "state_revision": _REVISION,
    "era": _NUMBER,
    "created_era": _NUMBER,
    "state_era": _NUMBER,
    "born_ms": _NUMBER,
    "number": _NUMBER,
    "asked": _NUMBER,
    "version": (0, MAX_VERSION),
    "flows": _COUNT,
    "running": _COUNT,
    "pace_ms": _COUNT,
    "age_ms": _COUNT,
    "evacuated_for_ms": _COUNT,
    "cold_for_ms": _COUNT,
    "placing_for_ms": _COUNT,
    "rerouted_for_ms": _COUNT,
    "reroutes_known_for_ms": _COUNT,
    "link_mbps": _COUNT,
    "routes_total": _COUNT,
    "servers_total": _COUNT,
    "evacuated_total": _COUNT,
    "part": (0, CONTAINER_ITEMS_MAX - 1),
    "parts": (1, CONTAINER_ITEMS_MAX),
    "slots": (0, MAX_SLOTS),
    "tag": (0, MAX_TAG),
    "weight": (0, MAX_WEIGHT),
    "priority": (0, MAX_PRIORITY),
    "objective_ms": _DURATION_MS,
    "timeout_ms": _DURATION_MS,
    "idle_s": _DURATION_S,
    "warm_in_s": _DURATION_S,
    "lasts_s": _DURATION_S,
    "bound_lasts_s": _DURATION_S,
    "per_s": _PER_S,
    "bound_per_s": _PER_S,
}
"""Least and greatest value by field name."""

SATURATED_FIELDS = frozenset(
    name for name, ends in FIELD_RANGES.items() if ends is _COUNT
)
"""Fields that keep their meaning at the end of their range."""

_OPTIONAL_FIELDS = {
    "FlowsTell": ("age_ms",),
    "LoadAsk": ("state",),
    "Member": ("unserved",),
    "LoadTell": ("state_revision", "state_era", "service_name"),
    "Server": ("born_ms", "era", "created_era", "withdrawn"),
    "ServerState": ("draining", "era"),
    "ViewAsk": ("number", "era", "reads_pieces", "unserved"),
    "ViewPiece": (
        "asked",
        "era",
        "placing_for_ms",
        "rerouted_for_ms",
        "reroutes_known_for_ms",
    ),
    "Zone": ("era",),
    "ViewTell": (
        "asked",
        "era",
        "placing_for_ms",
        "rerouted_for_ms",
        "reroutes_known_for_ms",
        "cold_bounds",
        "evacuated",
        "returned",
        "evacuated_total",
        "routes_digest",
    ),
}
"""Fields by struct that processes of earlier versions do not send."""

_SHOWN_CHARACTERS = 60
_HOST_CHARACTERS_MAX = 255
_MAX_OCTET = 255

_FieldCheck = tuple[
    str, bool, float | None, float, Callable[[Any], bool] | None
]
"""Name of a field, whether it is required, the ends of its range, or else which
values it may have."""

_CHECKS: dict[type, list[_FieldCheck]] = {}
"""Checks by struct, filled on first use."""


def is_ipv4(text: str) -> bool:
    """Returns whether a text is an IPv4 address, of four decimal numbers.

    Examples:
        >>> is_ipv4("10.1.0.10"), is_ipv4("host-1"), is_ipv4("10.1.0.256")
        (True, False, False)
    """
    octets = text.split(".")
    if len(octets) != 4 or len(text) > _HOST_CHARACTERS_MAX:
        return False
    decimal = text.isascii() and all(map(str.isdecimal, octets))
    return decimal and max(map(int, octets)) <= _MAX_OCTET


def _is_service_key(key: bytes) -> bool:
    return len(key) == SERVICE_KEY_BYTES


_ACCEPTED_VALUES: dict[str, Callable[[Any], bool]] = {
    "host": is_ipv4,
    "service_key": _is_service_key,
}


def _checks_of(kind: type) -> list[_FieldCheck]:
    checks = _CHECKS.get(kind)
    if checks is None:
        later = _OPTIONAL_FIELDS.get(kind.__name__, ())
        spec: Any = kind.__dict__["thrift_spec"]
        names = [entry[2] for entry in spec if entry]
        checks = _CHECKS[kind] = [
            (
                name,
                name not in later,
                *FIELD_RANGES.get(name, (None, 0)),
                _ACCEPTED_VALUES.get(name),
            )
            for name in names
        ]
    return checks


def check_fields(struct: Any) -> None:
    """Checks the fields of one struct, without those of structs in it.

    Raises:
        ValueError: A field that all versions send is missing, or a value is
            out of its range.
    """
    kind = type(struct)
    for name, required, low, high, accepts in _checks_of(kind):
        value = getattr(struct, name)
        if value is None:
            if required:
                raise ValueError(f"{kind.__name__}.{name} is missing")
            continue
        if low is not None:
            accepted = low <= value <= high
        else:
            accepted = accepts is None or accepts(value)
        if not accepted:
            shown = repr(value)[:_SHOWN_CHARACTERS]
            raise ValueError(f"{kind.__name__}.{name} is out of range: {shown}")


def fit_fields(struct: Any) -> Any:
    """Puts the numbers of one struct into their ranges, to encode it.

    Returns:
        The struct.

    Raises:
        ValueError: A number is out of its range that must not be changed.
    """
    kind = type(struct)
    for name, _, low, high, _ in _checks_of(kind):
        value = getattr(struct, name)
        if value is None or low is None:
            continue
        if name in SATURATED_FIELDS:
            setattr(struct, name, int(min(max(value, low), high)))
        elif not low <= value <= high:
            shown = repr(value)[:_SHOWN_CHARACTERS]
            raise ValueError(f"{kind.__name__}.{name} is out of range: {shown}")
    return struct
