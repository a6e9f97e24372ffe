"""Choice of the service of a new flow among the targets of its route."""

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions import server_selection
from notchhoist.flows.decisions.splitting import pick_target
from notchhoist.flows.model.fleet import Route


def service_for(
    board: BalancerBoard, route: Route, flow: bytes, now: float
) -> str:
    """Returns the service that a new flow goes to.

    The operator's weights apply among the services that have a live server; the
    share of a service without one is distributed over the others. A service
    whose servers are full keeps its share: moving it would overload the others
    too.

    Args:
        board: State of the balancer.
        route: Route of the flow.
        flow: Key of the flow.
        now: Runtime clock, seconds.
    """
    if not route.is_split:
        return route.targets[0][0]
    available = [
        (service, weight)
        for service, weight in route.targets
        if weight and _has_live_server(board, service, now)
    ]
    return pick_target(flow, available or route.targets)


def count_new_flow(board: BalancerBoard, route: Route, service: str) -> None:
    """Counts a new flow if its route names several services."""
    counts = board.placed.get(route.service_key)
    if counts is not None:
        counts[service] += 1


def _has_live_server(board: BalancerBoard, service: str, now: float) -> bool:
    servers = board.by_service.get(service, ())
    return any(
        server_selection.accepts_new_flows(server, now) and not server.lost
        for server in server_selection.outside_evacuated_zones(
            servers, board.view.evacuated
        )
    )
