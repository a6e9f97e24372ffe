"""An agent's controller that notices when its backend server has ended."""

from msgspec import Struct

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.failing import AnswerTimes
from notchhoist.flows.model.effects import CheckBackend, SendCaller
from notchhoist.flows.model.held import Phase
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import SegmentCodec

CHECK_PAUSE_S = 0.3
"""Least time between two looks whether the backend server listens, seconds."""


LEAVING_S = 4.0
"""A server that accepts no connections, but may take packets, counts for so
long as one whose leave is not known here, seconds; twice what that takes."""


class BackendWatch(Struct, eq=False):
    """Looks whether the backend server listens, where it keeps silent.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        gate: Shares out the slots.
    """

    board: AgentBoard
    codec: SegmentCodec
    gate: RequestGate

    def check_soon(self, now: float) -> None:
        """Asks for a look, a little after the last one."""
        board = self.board
        if board.check_due == float("inf"):
            board.check_due = max(now, board.checked_at + CHECK_PAUSE_S)

    def tick(self, now: float) -> None:
        """Begins a look that is due."""
        board = self.board
        if now >= board.check_due and not board.checking:
            board.checking = True
            board.outbox.append(CheckBackend(self._sample()))

    def _sample(self) -> bytes:
        """Returns a packet that the server has had, or nothing."""
        resting = self.board.resting() if self.board.uses.resting else []
        samples = (held.sample for _, held in resting)
        return next(
            (self.codec.with_note(item, 0) for item in samples if item), b""
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return float("inf") if self.board.checking else self.board.check_due

    def on_checked(
        self, listens: bool, now: float, ended: bool | None = None
    ) -> bool:
        """Takes the outcome of a look; tells whether the server has ended.

        Args:
            listens: It accepts connections, or may do so.
            now: Runtime clock, seconds.
            ended: Whether a packet to it was refused, too; None where none was
                sent.
        """
        board = self.board
        board.checking = False
        board.checked_at = now
        board.check_due = float("inf")
        if not listens and not self._shows_end(ended, now):
            if board.flows:
                self.check_soon(now)
            return False
        if listens:
            if board.backend_gone:
                board.records.decide("backend server", b"", "back")
                self.gate.times = AnswerTimes()
            board.backend_gone = False
            board.refused_since = None
            return False
        if board.backend_gone:
            return False
        board.backend_gone = True
        board.records.counters[Count.BACKEND_GONE] += 1
        board.records.decide(
            "backend server", b"", "gone", flows=len(board.flows)
        )
        self._reset_all(now)
        return True

    def _shows_end(self, ended: bool | None, now: float) -> bool:
        """Tells whether a server that accepts no connections has ended.

        One that leaves closes its listener first, and serves its open flows
        for about two seconds more; up to 35 of them were reset.
        """
        board = self.board
        if board.refused_since is None:
            board.refused_since = now
            board.records.decide(
                "backend server",
                b"",
                "refuses connections",
                takes_no_packets=ended,
                leaving=board.is_leaving,
                stopping=board.stopping,
                flows=len(board.flows),
            )
        if board.is_leaving:
            return bool(ended)
        untold = ended is False and now - board.refused_since < LEAVING_S
        return not untold

    def on_reborn(self, now: float) -> None:
        """Takes word that the backend server has started again.

        The new one holds no flow of before, but flows may have opened there
        since. Each is handed on with its next packet, and the server says.
        """
        board = self.board
        for flow, held in board.flows.items():
            if board.uses.resting and board.rests(flow, held):
                continue  # The server is asked about it at once.
            if held.phase is Phase.OPEN:
                held.phase = Phase.TRIED
                held.running_since = None
        self.gate.begin_anew(now)
        board.records.counters[Count.BACKEND_REBORN] += 1
        board.records.decide(
            "backend server", b"", "began anew", flows=len(board.flows)
        )

    def _reset_all(self, now: float) -> None:
        """Resets the flows of a backend server that has ended."""
        board = self.board
        for flow, held in board.flows.items():
            if held.phase is not Phase.OPEN or held.sample is None:
                continue
            reset = self.codec.make_reset(held.sample)
            board.outbox.append(SendCaller(held.sample.caller, reset))
            board.records.counters[Count.RESETS] += 1
            rests = held.running_since is None
            board.records.counters[Count.RESET_AT_REST] += rests
            board.records.decide(
                "reset",
                flow,
                "backend server gone",
                at_rest=rests,
                used_s=round(now - held.last_at, 3),
                refused_s=round(now - (board.refused_since or now), 3),
            )
        board.flows.clear()
        board.active.clear()
        board.waiting.clear()
