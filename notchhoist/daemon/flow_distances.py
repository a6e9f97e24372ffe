"""The section ``distances`` of the state dump: round-trip times to zones."""

from collections.abc import Iterator

from notchhoist.flows.balancer.distances import UNKNOWN
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.decisions import server_selection, zone_distance


def distance_rows(
    node: BalancerNode, now: float
) -> Iterator[dict[str, object]]:
    """Yields a row for each availability zone that has answered this balancer.

    ``long_for`` names the services with service times so short that the
    network distance affects where their flows are placed. ``round_trip_ms`` is
    None until enough answers agree.
    """
    distances = node.health.distances
    for zone, round_trips in sorted(distances.by_zone.items()):
        known = round_trips.estimate_s < UNKNOWN
        extra_s = distances.extra_s(zone)
        yield {
            "from_zone": distances.zone,
            "zone": zone,
            "round_trip_ms": _ms(round_trips.estimate_s) if known else None,
            "beyond_own_ms": _ms(extra_s),
            "measured_s": round(now - round_trips.measured_at, 3),
            "answers": round_trips.window.count
            + round_trips.previous_window.count,
            "long_for": " ".join(_distance_sensitive_services(node, extra_s)),
        }


def _ms(duration_s: float) -> float:
    return round(duration_s * 1000, 2)


def _distance_sensitive_services(
    node: BalancerNode, extra_s: float
) -> Iterator[str]:
    """Yields the services whose placement a network distance affects."""
    for service, servers in sorted(node.board.by_service.items()):
        service_times_ms = [
            item.service_time_ms for item in servers if item.service_time_ms
        ]
        median_s = server_selection.median(service_times_ms) / 1000
        if zone_distance.remote_penalty(extra_s, median_s, 0.0).is_significant:
            yield service
