"""Documents as operators and backend servers write them into the store."""

from collections.abc import Iterable
from typing import Protocol

from notchhoist.testing.opaque.callers import SERVICE_HOST
from notchhoist.testing.opaque.servers import COLD_S, ServerModel
from notchhoist.testing.opaque.traffic import Workload

IDLE_MS = 15_000
SERVER_PORT = 8080


class Located(Protocol):
    """A host of a backend server."""

    @property
    def ip(self) -> str:
        """IP number that the entry names."""

    @property
    def zone(self) -> str:
        """Its availability zone."""


def entry_of(
    host: Located, server: ServerModel, now: float
) -> dict[str, object]:
    """Returns what a backend server announces of itself."""
    cold_s = max(0.0, server.started_at + COLD_S - now)
    return {
        "service": server.service,
        "address": f"{host.ip}:{SERVER_PORT}",
        "zone": host.zone,
        "version": "v1",
        "slots": server.slots,
        "state": "draining" if server.draining else "ready",
        "cold_remaining_ms": int(cold_s * 1000),
        "seq": 1,
    }


def configuration_of(
    version: int, workloads: Iterable[Workload]
) -> dict[str, object]:
    """Returns a configuration with a route for each kind of request."""
    return {
        "version": version,
        "routes": [_route_of(workload) for workload in workloads],
        "services": [],
        "limits": {"idle_timeout_ms": IDLE_MS},
    }


def _route_of(workload: Workload) -> dict[str, object]:
    return {
        "name": workload.name,
        "host": SERVICE_HOST,
        "path_prefix": f"/{workload.port}/",
        "kind": workload.kind,
        "timeout_ms": int(workload.deadline_s * 1000),
        "target_latency_ms": int(workload.aim_s * 1000),
        "priority": workload.priority,
        "service": workload.service,
        "max_attempts": 2,
    }
