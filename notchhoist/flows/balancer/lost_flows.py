"""What becomes of the flows of a backend server that is lost."""

from collections.abc import Mapping

from msgspec import Struct

from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.boards.balancer_board import BalancerBoard, Placement
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.records import Count

IDLE_AFTER_S = 1.0
"""A flow without a packet for this long is idle, seconds: a caller that waits
for an answer retransmits."""


class LostFlows(Struct, eq=False):
    """Resets the flows that a lost server had and searches for the others.

    Attributes:
        board: State of the balancer.
        resetter: Resets flows.
    """

    board: BalancerBoard
    resetter: FlowResetter

    def take(self, server: Server) -> dict[bytes, Placement]:
        """Removes the placements at a server and returns them."""
        flows = {
            flow: placement
            for flow, placement in self.board.flows.items()
            if placement.server is server
        }
        for flow in flows:
            del self.board.flows[flow]
        return flows

    def end(
        self,
        flows: Mapping[bytes, Placement],
        server: Server,
        now: float,
        reason: str,
        inputs: Mapping[str, object],
    ) -> None:
        """Handles the flows of a lost server.

        A flow that the server is known to have had is reset. Otherwise its
        caller may have chosen another server, so it is searched for if the
        caller waits for an answer. Where only opening packets have passed, the
        caller's next packet decides.

        Args:
            flows: The placements that were at the server.
            server: The server.
            now: Runtime clock, seconds.
            reason: Reason for the log.
            inputs: Facts behind the loss, for the log.
        """
        board = self.board
        for flow, placement in flows.items():
            if placement.closing or not placement.accepted:
                continue
            used_s = now - placement.last_at
            confirmed = placement.is_confirmed(board.resumed_at)
            if board.uses.resting and not confirmed:
                self._search(flow, placement, used_s)
                continue
            self.resetter.reset(
                placement.last,
                reason,
                server=server.entry.server_id,
                silent_s=round(now - server.heard_at, 3),
                used_s=round(used_s, 3),
                **inputs,
            )

    def _search(self, flow: bytes, placement: Placement, used_s: float) -> None:
        if placement.last.opens or used_s > IDLE_AFTER_S:
            return
        service = placement.server.entry.service
        self.board.unlocated[flow] = (service, placement.last)
        self.board.records.counters[Count.SEARCHED_IN_DOUBT] += 1
