"""Documents that operators and backend servers write into the store."""

from collections.abc import Iterable
from typing import Protocol

from notchhoist.testing.opaque.callers import SERVICE_HOST
from notchhoist.testing.opaque.servers import COLD_S, ServerModel
from notchhoist.testing.opaque.traffic import Workload

IDLE_MS = 15_000
SERVER_PORT = 8080
EPOCH_S = 1_700_000_000
"""Unix time at which the simulated clock starts, seconds."""


class Located(Protocol):
    """The location of a backend server."""

    @property
    def ip(self) -> str:
        """IP number in the server's entry."""

    @property
    def zone(self) -> str:
        """Its availability zone."""


def entry_of(
    host: Located, server: ServerModel, now: float
) -> dict[str, object]:
    """Returns the entry that a backend server announces."""
    cold_s = max(0.0, server.cold_since + COLD_S - now)
    return {
        "service": server.service,
        "address": f"{host.ip}:{SERVER_PORT}",
        "zone": host.zone,
        "version": "v1",
        "slots": server.slots,
        "state": server.state,
        "cold_remaining_ms": int(cold_s * 1000),
        "seq": 1,
        "born": int((EPOCH_S + server.started_at) * 1000),
    }


def configuration_of(
    version: int, workloads: Iterable[Workload], cold_per_s: float = 0.0
) -> dict[str, object]:
    """Returns a configuration with a route for each kind of request.

    Args:
        version: Version of the configuration.
        workloads: Kinds of request that get a route.
        cold_per_s: Cold bound of a server in slow start, new flows a second;
            0 for no limit.
    """
    workloads = list(workloads)
    return {
        "version": version,
        "routes": [_route_of(workload) for workload in workloads],
        "services": [
            {"name": name, "cold_start_s": COLD_S, "cold_per_s": cold_per_s}
            for name in sorted(_services_of(workloads))
        ],
        "limits": {"idle_timeout_ms": IDLE_MS},
    }


def _services_of(workloads: Iterable[Workload]) -> set[str]:
    services = {item.service for item in workloads}
    return services | {name for item in workloads for name, _ in item.split}


def _route_of(workload: Workload) -> dict[str, object]:
    where: dict[str, object] = {"service": workload.service}
    if workload.split:
        where = {
            "split": [
                {"service": service, "weight": weight}
                for service, weight in workload.split
            ]
        }
    return where | {
        "name": workload.name,
        "host": SERVICE_HOST,
        "path_prefix": f"/{workload.port}/",
        "kind": workload.kind,
        "timeout_ms": int(workload.deadline_s * 1000),
        "target_latency_ms": int(workload.objective_s * 1000),
        "priority": workload.priority,
        "max_attempts": 2,
    }
