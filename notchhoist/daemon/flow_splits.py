"""The section ``splits`` of the state dump: routes with several targets."""

import itertools
from collections import Counter
from collections.abc import Iterator

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.balancer.targeting import service_for
from notchhoist.flows.model.fleet import Route

MAX_COUNTED_FLOWS = 5000
"""Most flows that are counted, the newest ones, so that a dump does not block
the process for long."""

FlowCounts = dict[bytes, Counter[str]]


def split_rows(node: BalancerNode, now: float) -> Iterator[dict[str, object]]:
    """Yields a row for each service of a route that is split, or was.

    ``share`` is the service's share by the weights, ``share_placed`` its share
    of the new flows that this balancer placed since the weights changed,
    ``flows`` the number of flows that are open here, and ``outlived`` the
    number of those that would be placed at another service now.
    """
    table = node.board.table
    if table is None:
        return
    flows, outlived = _count_flows(node, now)
    for key, route in table.routes.items():
        if route.is_split or outlived[key]:
            yield from _route_rows(node, route, flows[key], outlived[key])


def _count_flows(
    node: BalancerNode, now: float
) -> tuple[FlowCounts, FlowCounts]:
    """Counts open flows, and those to be placed elsewhere now, by service."""
    board = node.board
    routes = board.table.routes if board.table else {}
    flows: FlowCounts = {key: Counter() for key in routes}
    outlived: FlowCounts = {key: Counter() for key in routes}
    newest = itertools.islice(reversed(board.flows.items()), MAX_COUNTED_FLOWS)
    for flow, placement in newest:
        key = placement.last.service_key
        if not placement.accepted or key not in routes:
            continue
        service = placement.server.entry.service
        flows[key][service] += 1
        if service != service_for(board, routes[key], flow, now):
            outlived[key][service] += 1
    return flows, outlived


def _route_rows(
    node: BalancerNode,
    route: Route,
    flows: Counter[str],
    outlived: Counter[str],
) -> Iterator[dict[str, object]]:
    weights = dict(route.targets)
    placed = node.board.placed.get(route.service_key, Counter[str]())
    for service in sorted({*weights, *flows}):
        weight = weights.get(service, 0)
        yield {
            "route": route.name,
            "service": service,
            "zone": node.board.zone,
            "weight": weight,
            "share": _share(weight, sum(weights.values())),
            "placed": placed[service],
            "share_placed": _share(placed[service], placed.total()),
            "flows": flows[service],
            "outlived": outlived[service],
        }


def _share(part: int, whole: int) -> float | None:
    return round(part / whole, 3) if whole else None
