"""Digests of published routes, to compare the routes of two processes."""

import zlib
from collections.abc import Iterable

import msgspec

from notchhoist.flows.model.fleet import Route


def route_digest(route: Route) -> int:
    """Returns a digest of all fields of a route, 0 to 2**32 - 1.

    It does not depend on whether a number was parsed as an integer or a float.
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
    """Returns the digest of a set of routes, independent of their order."""
    return sum(route_digest(route) for route in routes)
