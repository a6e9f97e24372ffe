"""A balancer's choice of a server for a new flow."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.base.draws import Draw
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.decisions import parking, placing
from notchhoist.flows.decisions.attempts import MOST_ATTEMPTS
from notchhoist.flows.model.fleet import RequestKind, Server


class ServerChooser(Struct, eq=False):
    """Chooses among the servers that a flow was not offered to.

    Attributes:
        board: What the balancer knows.
        draw: Random numbers in [0, 1).
    """

    board: BalancerBoard
    draw: Draw

    def open_to_new(self, service: str) -> Sequence[Server]:
        """Returns the servers of a service in zones that take new flows."""
        board = self.board
        return placing.open_to_new(
            board.by_service.get(service, []), board.view.evacuated
        )

    def near(
        self,
        opening: Opening,
        known: Sequence[Server],
        servers: Sequence[Server],
    ) -> list[Server]:
        """Returns the untried servers where a search would look first.

        Args:
            opening: The flow.
            known: All servers in zones that take new flows.
            servers: Those of them that may get one.
        """
        flow = opening.segment.flow
        few = placing.candidates(flow, known, self.board.zone)
        return self._untried(opening, [item for item in servers if item in few])

    def asks_if_free(self, opening: Opening) -> bool:
        """Tells whether the next server gets a flow only if a slot is free."""
        board = self.board
        if not board.uses.if_free or opening.route.kind is RequestKind.UPLOAD:
            return False
        attempts = board.busy_shares.attempts(opening.service)
        if opening.parked_s:
            # It has waited, and will not be moved once it is bound.
            attempts = MOST_ATTEMPTS
        return len(opening.busy) < attempts

    def choices(
        self,
        opening: Opening,
        near: Sequence[Server],
        servers: Sequence[Server],
        if_free: bool,
    ) -> Sequence[Server]:
        """Returns the servers that are considered next.

        Args:
            opening: The flow.
            near: Untried servers where a search would look first.
            servers: All servers that may get a new flow.
            if_free: It is offered on the condition that a slot is free.
        """
        found = near if if_free else self._found_busy(opening, servers) or near
        return found or self._untried(opening, servers)

    def _found_busy(
        self, opening: Opening, servers: Sequence[Server]
    ) -> list[Server]:
        """Returns the servers where a flow may wait, as it was told there.

        Once it has been offered to one of them it is past that choice.
        """
        if not opening.if_free:
            return []
        busy = opening.busy
        return [item for item in servers if item.entry.server_id in busy]

    def _untried(
        self, opening: Opening, servers: Sequence[Server]
    ) -> list[Server]:
        return [
            server
            for server in servers
            if server.entry.server_id not in opening.tried
        ]

    def choose(
        self,
        opening: Opening,
        choices: Sequence[Server],
        if_free: bool,
        now: float,
    ) -> Server | None:
        """Returns the best of some servers, or None where there is none."""
        board = self.board
        if choices and opening.parked_s and not if_free:
            return parking.first_free(choices, self.draw)
        kind = opening.route.kind
        return placing.choose(
            choices, kind, board.zone, now, self.draw, board.uses
        )
