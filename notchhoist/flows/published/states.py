"""The state of a backend server that a balancer sends to its agent."""

from notchhoist.flows.boards.balancer_board import BalancerBoard, ZoneState
from notchhoist.flows.model.fleet import ColdBound, Server
from notchhoist.flows.model.messages import ServerState

_NO_ZONE = ZoneState()


def is_evacuated(board: BalancerBoard, server: Server) -> bool:
    """Returns whether a server's availability zone must get no new flows."""
    return server.entry.zone in board.view.evacuated


def cold_until(board: BalancerBoard, server: Server) -> float:
    """Returns when a server's slow start has certainly ended, seconds.

    A server may be cold although its entry does not say so yet if the
    evacuation of its zone was just withdrawn. It counts as cold for the
    slow-start time.
    """
    zone = board.zones.get(server.entry.zone, _NO_ZONE)
    return max(
        server.warm_at, zone.returned_at + cold_bound_of(board, server).lasts_s
    )


def cold_bound_of(board: BalancerBoard, server: Server) -> ColdBound:
    """Returns the cold bound of a server; 0 a second for none."""
    service = server.entry.service
    bound = board.table.cold_bound(service) if board.table else None
    return bound or ColdBound(service, 0.0, 0.0)


def cold_bound_per_s(board: BalancerBoard, server: Server, now: float) -> float:
    """Returns the cold bound that applies now, new flows/s; 0 for none."""
    bound = cold_bound_of(board, server)
    return bound.per_s if now < cold_until(board, server) else 0.0


def needs_agent_update(board: BalancerBoard, server: Server) -> bool:
    """Returns whether a server's agent needs the server's published state.

    Most agents do not: their server's zone was never evacuated, the service has
    no cold bound, the server has replaced none of its id and is not draining.
    """
    entry = server.entry
    special = entry.zone in board.zones or entry.draining or server.is_restart
    return special or cold_bound_of(board, server).per_s > 0


def server_state(
    board: BalancerBoard, server: Server, now: float
) -> ServerState:
    """Returns the published state of a server for its agent."""
    zone = board.zones.get(server.entry.zone, _NO_ZONE)
    since = zone.evacuated_at
    bound = cold_bound_of(board, server)
    return ServerState(
        revision=board.view.state_revision(server.entry),
        born_ms=server.entry.born_ms,
        evacuated=is_evacuated(board, server),
        evacuated_for_s=0.0 if since is None else now - since,
        cold_for_s=max(0.0, cold_until(board, server) - now),
        bound_per_s=bound.per_s,
        bound_lasts_s=bound.lasts_s,
        draining=server.entry.draining and not server.entry.withdrawn,
    )
