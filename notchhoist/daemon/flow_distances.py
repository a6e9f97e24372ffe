"""How far the availability zones are, as one balancer measures it."""

from collections.abc import Iterator

from notchhoist.flows.balancer.distances import UNKNOWN
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.decisions import server_selection, zone_distance


def distance_rows(
    node: BalancerNode, now: float
) -> Iterator[dict[str, object]]:
    """Yields a row for each zone that has answered.

    ``long_for`` names the services whose work is so short that the distance
    decides where their flows go; ``round_trip_ms`` is None until enough answers
    agree.
    """
    distances = node.health.distances
    for zone, trips in sorted(distances.by_zone.items()):
        known = trips.estimate_s < UNKNOWN
        extra_s = distances.extra_s(zone)
        yield {
            "from_zone": distances.zone,
            "zone": zone,
            "round_trip_ms": _ms(trips.estimate_s) if known else None,
            "beyond_own_ms": _ms(extra_s),
            "measured_s": round(now - trips.measured_at, 3),
            "answers": trips.window.count + trips.previous_window.count,
            "long_for": " ".join(_long_for(node, extra_s)),
        }


def _ms(duration_s: float) -> float:
    return round(duration_s * 1000, 2)


def _long_for(node: BalancerNode, extra_s: float) -> Iterator[str]:
    """Yields the services for which a distance is long."""
    for service, servers in sorted(node.board.by_service.items()):
        paces = [
            item.service_time_ms for item in servers if item.service_time_ms
        ]
        pace_s = server_selection.median(paces) / 1000
        if zone_distance.remote_penalty(extra_s, pace_s, 0.0).is_significant:
            yield service
