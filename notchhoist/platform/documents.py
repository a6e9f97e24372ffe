"""Decodes the platform's published documents into types of the balancer."""

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
from notchhoist.flows.model.ranges import (
    HOST_FIRST_OCTETS,
    I64_MAX,
    MAX_MS,
    MAX_PER_S,
    MAX_PRIORITY,
    MAX_SLOTS,
    MAX_TARGETS,
    MAX_VERSION,
    MAX_WEIGHT,
)
from notchhoist.platform.json_fields import (
    FieldError,
    Fields,
    Problems,
    split_address,
)
from notchhoist.platform.packets import service_key

DEFAULT_IDLE_MS = 60_000.0
"""Idle timeout where the configured one cannot be read, ms.

It is the longest time for which the platform guarantees anything to a flow, so
that no flow is dropped too early.
"""

ROUTE_CACHE_SIZE = 8192
"""Parsed routes that are cached by their text.

A new version of the configuration repeats nearly all routes.
"""

FALLBACK_KIND = "unsafe"
"""Requests of an unknown kind are treated as ones that must not run twice."""

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "download": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE_ONLY,
    "upload": RequestKind.UPLOAD,
}


def decode_json(text: bytes | str, place: str) -> object:
    """Decodes JSON.

    Raises:
        FieldError: The text is not valid JSON.
    """
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise FieldError(place, "JSON", str(error)) from error


def decode_value(text: str, place: str) -> bytes:
    """Decodes a value of the store, which is in base64.

    Raises:
        FieldError: The text is not valid base64.
    """
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except (binascii.Error, ValueError) as error:
        raise FieldError(place, "base64", text) from error


def decode_configuration(text: bytes) -> RouteTable:
    """Decodes the operator's configuration.

    A problem in a route affects only that route. A route without a readable
    address or targets is left out; if its address can be read, the former
    version of the route stays in use. A route with another problem is served
    with the safest values. The table lists all invalid fields.

    Raises:
        ConfigurationRefusedError: The document is no configuration, or none of
            its routes can be served. The error names the invalid fields.
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
        _parse_valid_route(raw)
        or problems.value_or(partial(_route, value, place, problems), None)
        for (place, value), raw in zip(
            listed, _raw_routes(text, len(listed)), strict=True
        )
    ]
    served = {item.service_key: item for item in routes if item is not None}
    if listed and not served:
        raise ConfigurationRefusedError(version, tuple(problems.found))
    unusable = [
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
        unreadable=_readable_keys(unusable) - served.keys(),
    )


class _RawRoutes(msgspec.Struct):
    """A configuration with the undecoded texts of its routes."""

    routes: list[msgspec.Raw]


def _raw_routes(text: bytes, count: int) -> list[bytes]:
    """Returns the text of each route, or empty texts if that is unclear."""
    try:
        routes = msgspec.json.decode(text, type=_RawRoutes).routes
    except (msgspec.DecodeError, RecursionError, UnicodeError):
        routes = []
    if len(routes) != count:
        return [b""] * count
    return [bytes(route) for route in routes]


@lru_cache(maxsize=ROUTE_CACHE_SIZE)
def _parse_valid_route(text: bytes) -> Route | None:
    """Parses a route; returns None if any field of it is invalid."""
    problems = Problems()
    try:
        value = decode_json(text, "route")
    except FieldError:
        return None
    read = partial(_route, value, "route", problems)
    route = problems.value_or(read, None)
    return None if problems.found else route


def _readable_keys(values: Iterable[object]) -> frozenset[bytes]:
    """Returns the keys of those routes whose addresses can be read."""
    ignored = Problems()
    keys = [ignored.value_or(partial(_key, value), b"") for value in values]
    return frozenset(key for key in keys if key)


def _key(value: object) -> bytes:
    return service_key(*_address(Fields(value, "")))


def _address(fields: Fields) -> tuple[str, int]:
    """Reads a route's service address.

    ``host`` holds the IP address and ``path_prefix`` the port between slashes.
    The field names come from another kind of routes.
    """
    host = fields.text("host")
    port = fields.text("path_prefix").strip("/")
    return split_address(f"{host}:{port}", f"{fields.place}.host")


def _cold_bounds(fields: Fields, problems: Problems) -> tuple[ColdBound, ...]:
    """Reads the cold bounds; services without one are left out."""
    if not fields.has("services"):
        return ()
    no_services: list[tuple[str, object]] = []
    listed = problems.value_or(lambda: fields.elements("services"), no_services)
    read = [
        problems.value_or(partial(_cold_bound, value, place), None)
        for place, value in listed
    ]
    bounds = [bound for bound in read if bound is not None and bound.per_s]
    return tuple(sorted(bounds, key=lambda bound: bound.service))


def _cold_bound(value: object, place: str) -> ColdBound:
    fields = Fields(value, place)
    return ColdBound(
        service=fields.name("name"),
        per_s=fields.number("cold_per_s", 0, MAX_PER_S, default=0),
        lasts_s=fields.number("cold_start_s", 0, MAX_MS / 1000, default=0),
    )


def _idle_ms(fields: Fields, problems: Problems) -> float:
    return problems.value_or(
        lambda: fields.nested("limits").number("idle_timeout_ms", 1, MAX_MS),
        DEFAULT_IDLE_MS,
    )


def _route(value: object, place: str, problems: Problems) -> Route:
    """Reads a route; fields that only describe its requests may be invalid."""
    fields = Fields(value, place)
    host, number = _address(fields)
    targets = _targets(fields)
    value_or = problems.value_or

    def milliseconds(name: str) -> float:
        return value_or(lambda: fields.number(name, 0, MAX_MS, default=0), 0.0)

    kind = value_or(lambda: fields.choice("kind", tuple(_KINDS)), FALLBACK_KIND)
    return Route(
        name=value_or(lambda: fields.name("name"), f"{host}:{number}"),
        service_key=service_key(host, number),
        kind=_KINDS[kind],
        targets=targets,
        priority=value_or(
            lambda: fields.integer("priority", 0, MAX_PRIORITY, 0), 0
        ),
        objective_ms=milliseconds("target_latency_ms"),
        timeout_ms=milliseconds("timeout_ms"),
    )


def _targets(fields: Fields) -> tuple[tuple[str, int], ...]:
    """Reads the services that get new flows, and their weights.

    Raises:
        FieldError: A part of a split is invalid. The other parts alone would
            not be the split that the operator asked for.
    """
    if not fields.has("split"):
        return ((fields.name("service"), 1),)
    targets: dict[str, int] = {}
    listed = fields.elements("split")
    if len(listed) > MAX_TARGETS:
        place = f"{fields.place}.split"
        raise FieldError(place, f"at most {MAX_TARGETS} services", len(listed))
    for place, value in listed:
        service, weight = _target(value, place)
        if service in targets:
            raise FieldError(
                f"{place}.service", "a service not listed before", service
            )
        targets[service] = weight
    if not any(targets.values()):
        place = f"{fields.place}.split"
        raise FieldError(place, "a weight above 0", targets)
    return tuple(targets.items())


def _target(value: object, place: str) -> tuple[str, int]:
    fields = Fields(value, place)
    return fields.name("service"), fields.integer("weight", 0, MAX_WEIGHT)


def decode_entry(server_id: str, text: bytes, created: int = 0) -> ServerEntry:
    """Decodes the entry that a backend server publishes.

    Fields that are not used are checked too: an entry in which one is missing
    or invalid was not written by a backend server.

    Raises:
        FieldError: A field is missing or invalid; the error names it.
    """
    place = f"servers/{server_id}"
    fields = Fields(decode_json(text, place), place)
    host = _host(fields)
    state = fields.choice("state", ("ready", "draining"))
    fields.name("version")
    fields.integer("seq", 0, I64_MAX)
    return ServerEntry(
        server_id=server_id,
        service=fields.name("service"),
        host=host,
        zone=fields.name("zone"),
        slots=fields.integer("slots", 0, MAX_SLOTS),
        draining=state == "draining",
        warm_in_s=fields.number("cold_remaining_ms", 0, MAX_MS) / 1000,
        created=created,
        born_ms=fields.integer("born", 0, I64_MAX, default=0),
    )


def _host(fields: Fields) -> str:
    """Reads the IP address of a backend server's host."""
    text = fields.text("address")
    place = f"{fields.place}.address"
    host, _ = split_address(text, place)
    if int(host.partition(".")[0]) not in HOST_FIRST_OCTETS:
        raise FieldError(place, "the address of a host", text)
    return host
