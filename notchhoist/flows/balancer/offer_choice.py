"""Choice of the server that a new flow is offered to next."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.base.draws import Draw
from notchhoist.flows.balancer.locality import ZoneLocality
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.decisions import server_selection
from notchhoist.flows.model.fleet import RequestKind, Server


class OfferChoice(Struct, frozen=True):
    """The server for the next offer of a flow.

    Attributes:
        server: The server, or None if no server is left.
        choices: Number of servers that it was chosen from.
        if_free: The offer is conditional on a free slot.
        willing: Number of servers that take new flows at all.
    """

    server: Server | None
    choices: int
    if_free: bool
    willing: int


class OfferChooser(Struct, eq=False):
    """Chooses the servers that new flows are offered to.

    Attributes:
        board: State of the balancer.
        draw: Random numbers in [0, 1).
        locality: Weighs the network distance of servers.
    """

    board: BalancerBoard
    draw: Draw
    locality: ZoneLocality

    def choose(self, opening: Opening, now: float) -> OfferChoice:
        """Chooses the best server that a flow has not been offered to.

        A flow first gets a few conditional offers, which are accepted only if a
        slot is free. Then it is offered unconditionally to the best of the
        servers that had none: their load reports are recent, while those of
        other servers are older than a request takes.
        """
        board = self.board
        open_servers = server_selection.outside_evacuated_zones(
            board.by_service.get(opening.service, []), board.view.evacuated
        )
        servers = server_selection.usable_servers(open_servers, now)
        shortlist = server_selection.candidates(
            opening.segment.flow, open_servers, board.zone
        )
        shortlist = [item for item in servers if item in shortlist]
        costs = self.locality.costs(shortlist)
        untried = _untried(opening, shortlist)
        if_free = bool(untried) and self._offers_conditionally(opening)
        if_free = if_free and not self.locality.prefers_nearby_queue(
            opening, untried, costs
        )
        choices = (
            self.locality.servers_to_ask(opening, untried, costs, now)
            if if_free
            else _busy_servers(opening, servers) or untried
        )
        choices = choices or _untried(opening, servers)
        server = server_selection.choose_server(
            choices,
            opening.route.kind,
            board.zone,
            now,
            self.draw,
            board.uses,
            costs,
        )
        return OfferChoice(server, len(choices), if_free, len(servers))

    def _offers_conditionally(self, opening: Opening) -> bool:
        """Tells whether the next offer is conditional on a free slot."""
        board = self.board
        if not board.uses.if_free or opening.route.kind is RequestKind.UPLOAD:
            return False
        attempts = board.busy_shares.attempts(opening.service)
        return len(opening.busy) < attempts


def _busy_servers(opening: Opening, servers: Sequence[Server]) -> list[Server]:
    """Returns the servers without a free slot where a flow may queue.

    The list is empty once the flow has been offered unconditionally.
    """
    if not opening.if_free:
        return []
    busy = opening.busy
    return [item for item in servers if item.entry.server_id in busy]


def _untried(opening: Opening, servers: Sequence[Server]) -> list[Server]:
    return [
        server
        for server in servers
        if server.entry.server_id not in opening.tried
    ]
