"""The service of a new flow, among those of its route that can take it."""

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions import placing
from notchhoist.flows.decisions.splitting import pick_target
from notchhoist.flows.model.fleet import Route


def service_for(
    board: BalancerBoard, route: Route, flow: bytes, now: float
) -> str:
    """Returns the service that a new flow goes to.

    The operator's weights hold among the services that have a living server; a
    service without one leaves its share to the rest. One whose servers are full
    keeps its share: to move that would overload the rest too.

    Args:
        board: What the balancer knows.
        route: Route of the flow.
        flow: Key of the flow.
        now: Runtime clock, seconds.
    """
    if not route.splits:
        return route.targets[0][0]
    available = [
        (service, weight)
        for service, weight in route.targets
        if weight and _has_live_server(board, service, now)
    ]
    return pick_target(flow, available or route.targets)


def count_new_flow(board: BalancerBoard, route: Route, service: str) -> None:
    """Counts a new flow of a route that splits."""
    counts = board.placed.get(route.service_key)
    if counts is not None:
        counts[service] += 1


def _has_live_server(board: BalancerBoard, service: str, now: float) -> bool:
    servers = board.by_service.get(service, ())
    return any(
        placing.is_willing(server, now) and not server.lost
        for server in placing.open_to_new(servers, board.view.evacuated)
    )
