"""How pressed the services are, as one balancer sees them."""

from collections.abc import Iterator

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.decisions import server_selection


def pressure_rows(
    node: BalancerNode, now: float
) -> Iterator[dict[str, object]]:
    """Yields a row for each service.

    ``found_busy`` is the smoothed share of attempts that met no free slot;
    ``running`` and ``slots`` are sums over the servers that take new flows, by
    words that are ``load_age_s`` old in the median.
    """
    board = node.board
    for service, servers in sorted(board.by_service.items()):
        open_to = server_selection.outside_evacuated_zones(
            servers, board.view.evacuated
        )
        takes = server_selection.usable_servers(open_to, now)
        ages = [now - item.heard_at for item in takes]
        openings = [
            item for item in board.openings.values() if item.service == service
        ]
        yield {
            "service": service,
            "zone": board.zone,
            "servers": len(servers),
            "takes_new_flows": len(takes),
            "slots": sum(item.entry.slots for item in takes),
            "running": sum(item.running for item in takes),
            "found_busy": round(board.busy_shares.share(service), 3),
            "attempts": board.busy_shares.attempts(service),
            "openings": len(openings),
            "load_age_s": _median_age(ages),
        }


def _median_age(ages: list[float]) -> float | None:
    age = server_selection.median(ages)
    return round(age, 3) if ages and age < float("inf") else None
