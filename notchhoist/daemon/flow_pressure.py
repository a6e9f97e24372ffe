"""The section ``pressure`` of the state dump: utilization of each service."""

from collections.abc import Iterator

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.decisions import server_selection


def pressure_rows(
    node: BalancerNode, now: float
) -> Iterator[dict[str, object]]:
    """Yields a row for each service, as far as this balancer knows.

    ``found_busy`` is the smoothed share of attempts that found no free slot;
    ``running`` and ``slots`` are sums over the servers that take new flows, by
    load reports with a median age of ``load_age_s``.
    """
    board = node.board
    for service, servers in sorted(board.by_service.items()):
        outside_evacuated = server_selection.outside_evacuated_zones(
            servers, board.view.evacuated
        )
        usable = server_selection.usable_servers(outside_evacuated, now)
        ages = [now - item.heard_at for item in usable]
        openings = [
            item for item in board.openings.values() if item.service == service
        ]
        yield {
            "service": service,
            "zone": board.zone,
            "servers": len(servers),
            "takes_new_flows": len(usable),
            "slots": sum(item.entry.slots for item in usable),
            "running": sum(item.running for item in usable),
            "found_busy": round(board.busy_shares.share(service), 3),
            "attempts": board.busy_shares.attempts(service),
            "openings": len(openings),
            "load_age_s": _median_age(ages),
        }


def _median_age(ages: list[float]) -> float | None:
    age = server_selection.median(ages)
    return round(age, 3) if ages and age < float("inf") else None
