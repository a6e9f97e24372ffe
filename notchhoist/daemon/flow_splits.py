"""Routes that split, as one balancer sees them."""

import itertools
from collections import Counter
from collections.abc import Iterator

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.balancer.targeting import service_for
from notchhoist.flows.model.fleet import Route

LOOKED_AT = 5000
"""The newest flows that are counted, so that the process is not held up."""

Tally = dict[bytes, Counter[str]]


def split_rows(node: BalancerNode, now: float) -> Iterator[dict[str, object]]:
    """Yields a row for each service of a route that splits, or did.

    ``share`` is what the weights say, ``share_placed`` what new flows got here
    since they changed, ``flows`` those that are open here, and ``outlived``
    those of them that would be placed elsewhere today.
    """
    table = node.board.table
    if table is None:
        return
    flows, outlived = _tallies(node, now)
    for key, route in table.routes.items():
        if route.is_split or outlived[key]:
            yield from _rows(node, route, flows[key], outlived[key])


def _tallies(node: BalancerNode, now: float) -> tuple[Tally, Tally]:
    """Returns open flows, and those that outlived a change, by service."""
    board = node.board
    routes = board.table.routes if board.table else {}
    flows: Tally = {key: Counter() for key in routes}
    outlived: Tally = {key: Counter() for key in routes}
    newest = itertools.islice(reversed(board.flows.items()), LOOKED_AT)
    for flow, placement in newest:
        key = placement.last.service_key
        if not placement.accepted or key not in routes:
            continue
        service = placement.server.entry.service
        flows[key][service] += 1
        if service != service_for(board, routes[key], flow, now):
            outlived[key][service] += 1
    return flows, outlived


def _rows(
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
