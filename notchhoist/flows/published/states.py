"""What a balancer tells an agent of the backend server beside it."""

from notchhoist.flows.boards.balancer_board import BalancerBoard, ZoneState
from notchhoist.flows.model.fleet import ColdBound, Server
from notchhoist.flows.model.messages import ServerState

_NO_ZONE = ZoneState()


def is_evacuated(board: BalancerBoard, server: Server) -> bool:
    """Tells whether a server's availability zone is to get no new flows."""
    return server.entry.zone in board.view.evacuated


def cold_until(board: BalancerBoard, server: Server) -> float:
    """Returns when a server is warm for certain, seconds.

    One whose zone has just been taken back may be cold though its entry does
    not say so yet; it counts as cold for as long as a start takes.
    """
    zone = board.zones.get(server.entry.zone, _NO_ZONE)
    return max(
        server.warm_at, zone.returned_at + bound_of(board, server).lasts_s
    )


def bound_of(board: BalancerBoard, server: Server) -> ColdBound:
    """Returns what a server bears while it is cold; 0 a second for no bound."""
    service = server.entry.service
    bound = board.table.cold_bound(service) if board.table else None
    return bound or ColdBound(service, 0.0, 0.0)


def borne_per_s(board: BalancerBoard, server: Server, now: float) -> float:
    """Returns what a server bears because it is cold; 0 for no bound."""
    bound = bound_of(board, server)
    return bound.per_s if now < cold_until(board, server) else 0.0


def concerns_agent(board: BalancerBoard, server: Server) -> bool:
    """Tells whether an agent has to know what is published of its server.

    Most need not: their zone was never evacuated, they are bounded by nothing,
    they are the first of their id, and they do not leave.
    """
    entry = server.entry
    special = entry.zone in board.zones or entry.draining or server.reborn
    return special or bound_of(board, server).per_s > 0


def state_of(board: BalancerBoard, server: Server, now: float) -> ServerState:
    """Returns what is published of a server, as its agent should know it."""
    zone = board.zones.get(server.entry.zone, _NO_ZONE)
    since = zone.evacuated_at
    bound = bound_of(board, server)
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
