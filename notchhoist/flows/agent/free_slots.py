"""Tracks which slots of a backend server are free for new flows."""

from msgspec import Struct

from notchhoist.flows.agent.request_gate import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.backend_flows import EXPECTED_REQUEST_S

FAILING_OFFER_INTERVAL_S = 1.0
"""Time between two new flows for a failing server, seconds; they show whether
it has recovered."""


class FreeSlots(Struct, eq=False):
    """Tells whether a new flow would get a slot without queueing.

    A slot is reserved when a flow is offered. Its first request comes a round
    trip after the acceptance, and two balancers that offer a flow in the
    meantime would otherwise both find the slot free.

    A server that fails its requests has free slots nearly always, since
    failures take little time, and would attract all new flows. It counts as
    busy.

    Attributes:
        board: Shared state of the agent.
        request_gate: Knows whether the server is failing.
        failing_offered_at: When a failing server last got a flow, seconds.
    """

    board: AgentBoard
    request_gate: RequestGate
    failing_offered_at: float = float("-inf")

    def reserve(self, flow: bytes, now: float) -> None:
        """Reserves a slot for the first request of a flow."""
        self.board.reserved_until[flow] = now + EXPECTED_REQUEST_S

    def has_free_slot(self, now: float) -> bool:
        """Tells whether a slot is neither taken, reserved nor waited for.

        While the number of slots is unknown requests are not queued, so a slot
        counts as free.
        """
        board = self.board
        if (
            self.request_gate.answer_times.is_failing
            and not self._may_offer_to_failing(now)
        ):
            return False
        if not board.slots:
            return True
        reservations = board.reserved_until
        # Reservations are in the order of their expiry.
        for flow in list(reservations):
            if now < reservations[flow]:
                break
            del reservations[flow]
        taken = len(board.active) + len(board.waiting) + len(reservations)
        return taken < board.slots

    def _may_offer_to_failing(self, now: float) -> bool:
        """Tells whether a failing server may now get a new flow."""
        if now - self.failing_offered_at < FAILING_OFFER_INTERVAL_S:
            return False
        self.failing_offered_at = now
        return True
