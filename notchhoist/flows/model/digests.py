"""Digests of published routes, to compare what two processes hold."""

import zlib
from collections.abc import Iterable

import msgspec

from notchhoist.flows.model.fleet import Route


def route_digest(route: Route) -> int:
    """Returns a digest of all that is known of a route, 0 to 2**32 - 1.

    It is the same whether a number was read as whole or with a fraction.
    """
    fields = (
        route.name,
        route.service_key,
        route.kind.value,
        route.targets,
        route.priority,
        float(route.objective_ms),
        float(route.timeout_ms),
    )
    return zlib.crc32(msgspec.json.encode(fields))


def routes_digest(routes: Iterable[Route]) -> int:
    """Returns the digest of some routes; their order does not matter."""
    return sum(route_digest(route) for route in routes)
