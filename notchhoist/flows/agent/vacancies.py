"""An agent's count of the slots that are free for new flows."""

from msgspec import Struct

from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.held import EXPECTED_S


class SlotVacancies(Struct, eq=False):
    """Tells whether a new flow would get a slot without waiting.

    A slot is promised with the acceptance of a flow: its request comes a round
    trip later, and two balancers that offer a flow meanwhile would otherwise
    both find the slot free.

    Attributes:
        board: What the agent knows.
    """

    board: AgentBoard

    def promise(self, flow: bytes, now: float) -> None:
        """Keeps a slot for the first request of a flow."""
        self.board.promised[flow] = now + EXPECTED_S

    def has_free(self, now: float) -> bool:
        """Tells whether a slot is free that nobody waits for.

        Where the number of slots is not known nobody waits here either.
        """
        board = self.board
        if not board.slots:
            return True
        promised = board.promised
        # Promises are made in the order of their ends.
        for flow in list(promised):
            if now < promised[flow]:
                break
            del promised[flow]
        taken = len(board.active) + len(board.waiting) + len(promised)
        return taken < board.slots
