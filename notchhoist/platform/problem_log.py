"""Counts and logs what a balancer could not read in published documents."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.base.errors import (
    ConfigurationProblem,
    ConfigurationRefusedError,
)
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.records import Count

MAX_PROBLEMS = 200
"""Most problems that are kept for state dumps, and most that one document adds
to the log."""


class ProblemLog(Struct, eq=False):
    """Counts each problem; logs it unless it is kept already.

    Attributes:
        board: The balancer's blackboard.
    """

    board: BalancerBoard

    def record(self, problems: Sequence[ConfigurationProblem]) -> None:
        """Records the problems of one document or item."""
        board = self.board
        board.records.counters[Count.PARTS_REFUSED] += len(problems)
        for problem in problems[:MAX_PROBLEMS]:
            text = str(problem)
            if text in board.problems:
                continue
            if len(board.problems) >= MAX_PROBLEMS:
                del board.problems[0]
            board.problems.append(text)
            self._log("not understood", text)

    def record_refused(self, error: ConfigurationRefusedError) -> None:
        """Records a configuration that is refused as a whole."""
        board = self.board
        board.records.counters[Count.PARTS_REFUSED] += 1
        text = str(error)
        if text != board.refused:
            board.refused = text
            self._log("refused", text)

    def _log(self, event: str, text: str) -> None:
        revision = self.board.view.revision
        self.board.records.record_decision(event, b"", text, revision=revision)
