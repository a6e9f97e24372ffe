"""An agent's controller that detects that its backend server has exited."""

from msgspec import Struct

from notchhoist.flows.agent.request_gate import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.failure_detection import AnswerTimes
from notchhoist.flows.model.backend_flows import Phase
from notchhoist.flows.model.effects import CheckBackend, SendCaller
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

CHECK_INTERVAL_S = 0.3
"""Least time between two liveness checks of the backend server, seconds."""


UNANNOUNCED_DRAIN_S = 4.0
"""How long a server that takes packets but refuses connections counts as
draining although no drain was reported, seconds; twice what a drain takes."""


class BackendWatch(Struct, eq=False):
    """Checks the liveness of the backend server when it is silent.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        request_gate: Admits requests to the slots of the backend server.
    """

    board: AgentBoard
    codec: SegmentCodec
    request_gate: RequestGate

    def on_accepted(self) -> None:
        """Clears the record of refused connections.

        A server that accepts a flow is alive; earlier connections were refused
        by a previous incarnation.
        """
        self.board.refused_since = None

    def schedule_check(self, now: float) -> None:
        """Schedules a check, ``CHECK_INTERVAL_S`` after the last one or now."""
        board = self.board
        if board.check_due == float("inf"):
            board.check_due = max(now, board.checked_at + CHECK_INTERVAL_S)

    def tick(self, now: float) -> None:
        """Begins a check that is due."""
        board = self.board
        if now >= board.check_due and not board.checking:
            board.checking = True
            board.outbox.append(CheckBackend(self._sample()))

    def _sample(self) -> bytes:
        """Returns a packet that the server has already received, or nothing."""
        board = self.board
        if not board.uses.resting:
            return b""
        idle_samples = [held.last_packet for _, held in board.idle_flows()]
        open_samples = [
            held.last_packet
            for flow, held in board.flows.items()
            if held.phase is Phase.OPEN and flow not in board.waiting
        ]
        samples = (
            item
            for item in idle_samples + open_samples
            if item is not None and not _changes_flow_state(item)
        )
        return next((self.codec.with_note(item, 0) for item in samples), b"")

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return float("inf") if self.board.checking else self.board.check_due

    def on_checked(
        self, listens: bool, now: float, ended: bool | None = None
    ) -> bool:
        """Handles the outcome of a check; tells whether the server has exited.

        Args:
            listens: The server accepts connections, or may do so.
            now: Runtime clock, seconds.
            ended: Whether a packet to it was refused, too; None if none was
                sent.
        """
        board = self.board
        board.checking = False
        board.checked_at = now
        board.check_due = float("inf")
        if not listens and not self._has_exited(ended, now):
            if board.flows:
                self.schedule_check(now)
            return False
        if listens:
            if board.backend_gone:
                board.records.record_decision("backend server", b"", "back")
                self.request_gate.answer_times = AnswerTimes()
            board.backend_gone = False
            board.refused_since = None
            return False
        if board.backend_gone:
            return False
        board.backend_gone = True
        board.records.counters[Count.BACKEND_GONE] += 1
        board.records.record_decision(
            "backend server", b"", "gone", flows=len(board.flows)
        )
        self._reset_all(now)
        return True

    def _has_exited(self, ended: bool | None, now: float) -> bool:
        """Tells whether a server that refuses connections has exited.

        A draining server closes its listening socket first and serves its open
        flows for about two more seconds.
        """
        board = self.board
        if board.refused_since is None:
            board.refused_since = now
            board.records.record_decision(
                "backend server",
                b"",
                "refuses connections",
                takes_no_packets=ended,
                leaving=board.is_draining,
                stopping=board.stopping,
                flows=len(board.flows),
            )
        if board.is_draining:
            return bool(ended)
        drains_unannounced = (
            ended is False and now - board.refused_since < UNANNOUNCED_DRAIN_S
        )
        return not drains_unannounced

    def on_restarted(self, now: float) -> None:
        """Handles a report that the backend server has restarted.

        The new incarnation has none of the earlier flows, but flows may have
        opened there since. All become unconfirmed: the next packet of each is
        forwarded, and the server returns it if it does not have the flow.
        """
        board = self.board
        for flow, held in board.flows.items():
            if board.uses.resting and board.is_idle(flow, held):
                continue  # The survey probes the flow at once.
            if held.phase is Phase.OPEN:
                held.phase = Phase.UNCONFIRMED
                held.running_since = None
        self.request_gate.on_backend_restart(now)
        board.records.counters[Count.BACKEND_REBORN] += 1
        board.records.record_decision(
            "backend server", b"", "began anew", flows=len(board.flows)
        )

    def _reset_all(self, now: float) -> None:
        """Resets and forgets the flows of a server that has exited."""
        board = self.board
        for flow, held in board.flows.items():
            if held.phase is not Phase.OPEN or held.last_packet is None:
                continue
            reset = self.codec.make_reset(held.last_packet)
            board.outbox.append(SendCaller(held.last_packet.caller, reset))
            board.records.counters[Count.RESETS] += 1
            idle = held.running_since is None
            board.records.counters[Count.RESET_AT_REST] += idle
            board.records.record_decision(
                "reset",
                flow,
                "backend server gone",
                at_rest=idle,
                used_s=round(now - held.last_at, 3),
                refused_s=round(now - (board.refused_since or now), 3),
            )
        board.flows.clear()
        board.active.clear()
        board.waiting.clear()


def _changes_flow_state(segment: Segment) -> bool:
    """Tells whether a packet, sent again, might open or end its flow."""
    return segment.opens or segment.closes or segment.resets
