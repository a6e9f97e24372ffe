"""An agent's count of the slots that are free for new flows."""

from msgspec import Struct

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.held import EXPECTED_S

FAILING_PAUSE_S = 1.0
"""Time between two new flows for a server that fails, seconds: enough to notice
that it is well again."""


class SlotVacancies(Struct, eq=False):
    """Tells whether a new flow would get a slot without waiting.

    A slot is promised with the acceptance of a flow: its request comes a round
    trip later, and two balancers that offer a flow meanwhile would otherwise
    both find the slot free.

    A server that fails its requests is free nearly always, since failures take
    little time, and would draw the flows of all. It counts as busy.

    Attributes:
        board: What the agent knows.
        gate: Knows whether the server fails.
        tried_at: When a failing server last got a flow, seconds.
    """

    board: AgentBoard
    gate: RequestGate
    tried_at: float = float("-inf")

    def promise(self, flow: bytes, now: float) -> None:
        """Keeps a slot for the first request of a flow."""
        self.board.promised[flow] = now + EXPECTED_S

    def has_free(self, now: float) -> bool:
        """Tells whether a slot is free that nobody waits for.

        Where the number of slots is not known nobody waits here either.
        """
        if self.rests(now):
            return False
        slots = self.board.slots
        return not slots or self.taken(now) < slots

    def taken(self, now: float) -> int:
        """Returns how many slots are taken, waited for, or kept for a flow."""
        board = self.board
        promised = board.promised
        # Promises are made in the order of their ends.
        for flow in list(promised):
            if now < promised[flow]:
                break
            del promised[flow]
        bound = len(board.active) + len(board.waiting) + len(promised)
        return bound + len(board.calls)

    def rests(self, now: float) -> bool:
        """Tells whether a failing server is to get no new flow now.

        Now and then it gets one, to see whether it is well again.
        """
        if not self.gate.times.is_failing:
            return False
        if now - self.tried_at < FAILING_PAUSE_S:
            return True
        self.tried_at = now
        return False
