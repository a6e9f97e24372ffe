"""The platform's published documents, decoded into the product's types."""

import binascii
from collections.abc import Iterable
from functools import lru_cache, partial

import msgspec

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.model.fleet import (
    ColdBound,
    RequestKind,
    Route,
    RouteTable,
    ServerEntry,
)
from notchhoist.platform.checking import (
    FieldError,
    Fields,
    Problems,
    split_address,
)
from notchhoist.platform.packets import service_key

MAX_MS = 86_400_000
MAX_VERSION = 1 << 53
MAX_COUNT = 1 << 63
MAX_SLOTS = 100_000
MAX_PER_S = 1e9
MAX_WEIGHT = 1_000_000

DEFAULT_IDLE_MS = 60_000.0
"""Flows are kept for so long where the limit cannot be read, ms: as long as the
platform promises anything to a flow, so that none is forgotten too early."""

ROUTES_KEPT = 8192
"""Routes whose text is kept with what it says: a new version repeats nearly all
of them."""

CAREFUL_KIND = "unsafe"
"""Requests of a kind that is not known are taken to run at most once."""

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "download": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE_ONLY,
    "upload": RequestKind.UPLOAD,
}


def decode_json(text: bytes | str, place: str) -> object:
    """Reads JSON.

    Raises:
        FieldError: It is none.
    """
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise FieldError(place, "JSON", str(error)) from error


def decode_value(text: str, place: str) -> bytes:
    """Reads the base64 that the store gives values in.

    Raises:
        FieldError: It is none.
    """
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except (binascii.Error, ValueError) as error:
        raise FieldError(place, "base64", text) from error


def decode_configuration(text: bytes) -> RouteTable:
    """Decodes the operator's configuration.

    What is wrong with a route costs that route only: one that cannot be
    forwarded is left out and, where its address can be read, stays as it was
    before; another is served with the most careful values. The table names
    every such field.

    Raises:
        ConfigurationRefusedError: It is no configuration at all, or none of its
            routes can be served; the error says where.
    """
    version = -1
    try:
        fields = Fields(decode_json(text, "configuration"), "")
        version = fields.integer("version", 0, MAX_VERSION)
        listed = fields.elements("routes")
    except FieldError as error:
        raise ConfigurationRefusedError(version, (error.problem,)) from error
    problems = Problems()
    routes = [
        _good_route(raw)
        or problems.take(partial(_route, value, place, problems), None)
        for (place, value), raw in zip(
            listed, _raw_routes(text, len(listed)), strict=True
        )
    ]
    served = {item.service_key: item for item in routes if item is not None}
    if listed and not served:
        raise ConfigurationRefusedError(version, tuple(problems.found))
    wrong = [
        value
        for (_, value), route in zip(listed, routes, strict=True)
        if route is None
    ]
    return RouteTable(
        version=version,
        routes=served,
        idle_s=_idle_ms(fields, problems) / 1000,
        cold_bounds=_cold_bounds(fields, problems),
        problems=tuple(problems.found),
        unreadable=_addressed(wrong) - served.keys(),
    )


class _RawRoutes(msgspec.Struct):
    """A configuration whose routes are not read yet."""

    routes: list[msgspec.Raw]


def _raw_routes(text: bytes, count: int) -> list[bytes]:
    """Returns the text of each route; empty ones where that is not clear."""
    try:
        routes = msgspec.json.decode(text, type=_RawRoutes).routes
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        routes = []
    if len(routes) != count:
        return [b""] * count
    return [bytes(route) for route in routes]


@lru_cache(maxsize=ROUTES_KEPT)
def _good_route(text: bytes) -> Route | None:
    """Returns the route that a text says; None where anything is wrong."""
    problems = Problems()
    try:
        value = decode_json(text, "route")
    except FieldError:
        return None
    read = partial(_route, value, "route", problems)
    route = problems.take(read, None)
    return None if problems.found else route


def _addressed(values: Iterable[object]) -> frozenset[bytes]:
    """Returns the keys of the routes whose addresses can be read."""
    ignored = Problems()
    keys = [ignored.take(partial(_key, value), b"") for value in values]
    return frozenset(key for key in keys if key)


def _key(value: object) -> bytes:
    return service_key(*_address(Fields(value, "")))


def _address(fields: Fields) -> tuple[str, int]:
    """Reads a route's service address.

    ``host`` is its IP number and ``path_prefix`` its port between slashes; the
    names come from routes of another kind.
    """
    host = fields.text("host")
    port = fields.text("path_prefix").strip("/")
    return split_address(f"{host}:{port}", f"{fields.place}.host")


def _cold_bounds(fields: Fields, problems: Problems) -> tuple[ColdBound, ...]:
    """Reads what cold servers bear; services without a bound are left out."""
    if not fields.has("services"):
        return ()
    none: list[tuple[str, object]] = []
    listed = problems.take(lambda: fields.elements("services"), none)
    read = [
        problems.take(partial(_cold_bound, value, place), None)
        for place, value in listed
    ]
    bounds = [bound for bound in read if bound is not None and bound.per_s]
    return tuple(sorted(bounds, key=lambda bound: bound.service))


def _cold_bound(value: object, place: str) -> ColdBound:
    fields = Fields(value, place)
    return ColdBound(
        service=fields.text("name"),
        per_s=fields.number("cold_per_s", 0, MAX_PER_S, default=0),
        lasts_s=fields.number("cold_start_s", 0, MAX_MS / 1000, default=0),
    )


def _idle_ms(fields: Fields, problems: Problems) -> float:
    return problems.take(
        lambda: fields.inner("limits").number("idle_timeout_ms", 1, MAX_MS),
        DEFAULT_IDLE_MS,
    )


def _route(value: object, place: str, problems: Problems) -> Route:
    """Reads a route; what only describes its requests may be wrong."""
    fields = Fields(value, place)
    host, number = _address(fields)
    targets = _targets(fields)
    take = problems.take

    def milliseconds(name: str) -> float:
        return take(lambda: fields.number(name, 0, MAX_MS, default=0), 0.0)

    kind = take(lambda: fields.choice("kind", tuple(_KINDS)), CAREFUL_KIND)
    return Route(
        name=take(lambda: fields.text("name"), f"{host}:{number}"),
        service_key=service_key(host, number),
        kind=_KINDS[kind],
        targets=targets,
        priority=take(lambda: fields.integer("priority", 0, 1000, 0), 0),
        objective_ms=milliseconds("target_latency_ms"),
        timeout_ms=milliseconds("timeout_ms"),
    )


def _targets(fields: Fields) -> tuple[tuple[str, int], ...]:
    """Reads where new flows go.

    Raises:
        FieldError: A part of a split is wrong. With the others alone it would
            not be the split that the operator asked for.
    """
    if not fields.has("split"):
        return ((fields.text("service"), 1),)
    targets: dict[str, int] = {}
    for place, value in fields.elements("split"):
        service, weight = _target(value, place)
        if service in targets:
            raise FieldError(f"{place}.service", "each service once", service)
        targets[service] = weight
    if not any(targets.values()):
        place = f"{fields.place}.split"
        raise FieldError(place, "a weight above 0", targets)
    return tuple(targets.items())


def _target(value: object, place: str) -> tuple[str, int]:
    fields = Fields(value, place)
    return fields.text("service"), fields.integer("weight", 0, MAX_WEIGHT)


def decode_entry(server_id: str, text: bytes, created: int = 0) -> ServerEntry:
    """Decodes what a backend server announces of itself.

    Fields that nothing here needs are checked too: an entry that lacks one, or
    holds something else there, was not written by a backend server.

    Raises:
        FieldError: Something in it is wrong; the error says where.
    """
    place = f"servers/{server_id}"
    fields = Fields(decode_json(text, place), place)
    host, _ = split_address(fields.text("address"), f"{place}.address")
    state = fields.choice("state", ("ready", "draining"))
    fields.text("version")
    fields.integer("seq", 0, MAX_COUNT)
    return ServerEntry(
        server_id=server_id,
        service=fields.text("service"),
        host=host,
        zone=fields.text("zone"),
        slots=fields.integer("slots", 0, MAX_SLOTS),
        draining=state == "draining",
        warm_in_s=fields.number("cold_remaining_ms", 0, MAX_MS) / 1000,
        created=created,
        born_ms=fields.integer("born", 0, MAX_COUNT, default=0),
    )
