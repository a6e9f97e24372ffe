"""The platform's published documents, decoded into the product's types."""

import binascii

import msgspec

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.fleet import (
    RequestKind,
    Route,
    RouteTable,
    ServerEntry,
)
from notchhoist.platform.checking import FieldError, Fields, split_address
from notchhoist.platform.packets import service_key

MAX_MS = 86_400_000
MAX_VERSION = 1 << 53
MAX_SLOTS = 100_000

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
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

    Raises:
        ConfigurationRefusedError: Something in it is wrong; the error says
            where.
    """
    version = -1
    try:
        fields = Fields(decode_json(text, "configuration"), "")
        version = fields.integer("version", 0, MAX_VERSION)
        routes = [_route(item) for item in fields.items("routes")]
        idle_ms = fields.inner("limits").number("idle_timeout_ms", 1, MAX_MS)
    except FieldError as error:
        raise ConfigurationRefusedError(version, (error.problem,)) from error
    return RouteTable(
        version=version,
        routes={route.service_key: route for route in routes},
        idle_s=idle_ms / 1000,
    )


def _route(fields: Fields) -> Route:
    # ``host`` is the service's IP number and ``path_prefix`` its port between
    # slashes; the names come from routes of another kind.
    host = fields.text("host")
    port = fields.text("path_prefix").strip("/")
    host, number = split_address(f"{host}:{port}", fields.place + ".host")
    kind = fields.choice("kind", tuple(_KINDS))
    return Route(
        name=fields.text("name"),
        service_key=service_key(host, number),
        kind=_KINDS[kind],
        targets=_targets(fields),
        priority=fields.integer("priority", 0, 1000, default=0),
        objective_ms=fields.number("target_latency_ms", 0, MAX_MS, default=0),
        timeout_ms=fields.number("timeout_ms", 0, MAX_MS, default=0),
    )


def _targets(fields: Fields) -> tuple[tuple[str, int], ...]:
    if not fields.has("split"):
        return ((fields.text("service"), 1),)
    targets = tuple(
        (item.text("service"), item.integer("weight", 0, 1_000_000))
        for item in fields.items("split")
    )
    if not any(weight for _, weight in targets):
        place = f"{fields.place}.split"
        raise FieldError(place, "a weight above 0", targets)
    return targets


def decode_entry(server_id: str, text: bytes, created: int = 0) -> ServerEntry:
    """Decodes what a backend server announces of itself.

    Raises:
        FieldError: Something in it is wrong; the error says where.
    """
    place = f"servers/{server_id}"
    fields = Fields(decode_json(text, place), place)
    host, _ = split_address(fields.text("address"), f"{place}.address")
    state = fields.choice("state", ("ready", "draining"))
    return ServerEntry(
        server_id=server_id,
        service=fields.text("service"),
        host=host,
        zone=fields.text("zone"),
        slots=fields.integer("slots", 0, MAX_SLOTS),
        draining=state == "draining",
        warm_in_s=fields.number("cold_remaining_ms", 0, MAX_MS, default=0)
        / 1000,
        created=created,
    )
