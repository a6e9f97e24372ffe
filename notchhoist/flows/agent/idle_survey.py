"""An agent's controller for flows that are idle when the backend server exits.

A caller keeps a flow open between its requests. If the server has exited, a
reset in reply to the next request costs that request, and one that must not run
twice is lost. So the agent probes each idle flow: it sends the caller's newest
data to the server again. The server ignores the data if it has the flow,
returns the packet if it does not, and resets a flow that it has ended.

A flow counts as idle here if the server has shown that it is open and the agent
queues none of its requests, so also while the server works on one.
"""

import collections

from msgspec import Struct, field

from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.backend_flows import BackendFlow
from notchhoist.flows.model.effects import SendBackend, SendCaller
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

SILENCE_CHECK_S = 1.0
"""A server with open flows is checked after this much silence, and again after
each such time, seconds."""

EXIT_CHECK_INTERVAL_S = 0.2
"""Time between two checks while the agent waits for its server to exit,
seconds."""

SURVEY_INTERVAL_MIN_S = 0.3
"""Least time between two surveys of all idle flows, seconds. It doubles after
each survey that has found no ended flow."""

SURVEY_INTERVAL_MAX_S = 4.8
"""Upper limit of that back-off, seconds. Servers also reset single flows that
fail, and such resets request surveys, too."""

BATCH_SIZE = 100
"""Flow probes sent at once; the socket buffer of the server holds more."""

BATCH_INTERVAL_S = 0.01
"""Time between two batches, seconds."""


class IdleFlowSurvey(Struct, eq=False):
    """Sends flow probes and resets idle flows that the server no longer has.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        watch: Checks the liveness of the server.
        flows_to_probe: Flows without a flow probe in the current survey.
        reason: Why the current survey was begun.
        surveyed_at: When the last survey began, seconds.
        next_reason: Why the next survey is requested, or empty if it is not.
        batch_due: When the next batch is sent, seconds.
        interval_s: Least time from the last survey to the next, seconds.
        checked_at: When a silent server was last checked, seconds.
        heard_at: When the server last sent anything, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    watch: BackendWatch
    flows_to_probe: collections.deque[bytes] = field(
        default_factory=collections.deque
    )
    reason: str = ""
    surveyed_at: float = float("-inf")
    next_reason: str = ""
    batch_due: float = float("inf")
    interval_s: float = SURVEY_INTERVAL_MIN_S
    checked_at: float = float("-inf")
    heard_at: float = float("-inf")

    def survey(self, reason: str) -> None:
        """Requests a survey of all idle flows.

        Args:
            reason: Why the server may have exited, for the log.
        """
        if self.board.uses.resting and not self.next_reason:
            self.next_reason = reason

    def on_heard(self, now: float) -> None:
        """Records that the server has sent a packet."""
        self.heard_at = now

    def reset_returned(
        self, held: BackendFlow, segment: Segment, now: float
    ) -> bool:
        """Resets a flow that its server no longer has; tells whether it did.

        Only a flow that the server has shown to be open is reset, since it is
        at no other server. An opening packet is returned for other reasons,
        too, and resets nothing.

        Args:
            held: The flow, which was already removed from the shared state.
            segment: The packet that the server returned.
            now: Runtime clock, seconds.
        """
        if not self.board.uses.resting or segment.opens:
            return False
        if not held.is_confirmed_open or held.last_packet is None:
            return False
        reset = self.codec.make_reset(held.last_packet)
        self.board.outbox.append(SendCaller(held.last_packet.caller, reset))
        self.board.records.counters[Count.RESETS] += 1
        self._note_end(held, segment.flow, "server returned it", now)
        return True

    def on_reset(self, held: BackendFlow, flow: bytes, now: float) -> None:
        """Records a flow that the server itself has reset."""
        if self.board.uses.resting and held.is_confirmed_open:
            self._note_end(held, flow, "by its server", now)

    def _note_end(
        self, held: BackendFlow, flow: bytes, reason: str, now: float
    ) -> None:
        """Records the end of a flow and requests a survey of the others."""
        was_idle = held.is_idle_since_probe
        records = self.board.records
        if was_idle:
            self.interval_s = SURVEY_INTERVAL_MIN_S
            records.counters[Count.RESET_AT_REST] += 1
        records.record_decision(
            "reset",
            flow,
            reason,
            at_rest=was_idle,
            asked_for=self.reason if was_idle else "",
            shown_s=round(now - held.confirmed_open_at, 3),
            used_s=round(now - held.last_at, 3),
        )
        self.survey("a flow ended")

    def tick(self, now: float) -> None:
        """Checks a silent server and continues a survey, as far as is due."""
        if not self.board.uses.resting:
            return
        self._check_silent(now)
        if now >= self._survey_due():
            self._begin_survey(now)
        if now >= self.batch_due:
            self._probe_flows(now)

    def _check_silent(self, now: float) -> None:
        """Checks the liveness of a server that has been silent."""
        if now < self._check_due():
            return
        self.checked_at = now
        last_shown = self._last_shown()
        if last_shown is None:
            return
        self.watch.schedule_check(now)
        self._probe_flow(last_shown, now)

    def _last_shown(self) -> bytes | None:
        """Returns the idle flow that the server has shown open last, if any."""
        idle = self.board.idle_flows()
        if not idle:
            return None
        return max(idle, key=lambda item: item[1].confirmed_open_at)[0]

    def _begin_survey(self, now: float) -> None:
        self.reason, self.next_reason = self.next_reason, ""
        self.surveyed_at = now
        # ``_note_end`` shortens it again if this survey finds an ended flow.
        self.interval_s = min(2 * self.interval_s, SURVEY_INTERVAL_MAX_S)
        self.watch.schedule_check(now)
        idle = [flow for flow, _ in self.board.idle_flows()]
        self.flows_to_probe.clear()
        self.flows_to_probe.extend(idle)
        if not idle:
            return
        self.batch_due = now
        self.board.records.counters[Count.SURVEYS] += 1
        self.board.records.record_decision(
            "survey", b"", self.reason, flows=len(idle)
        )

    def _probe_flows(self, now: float) -> None:
        for _ in range(min(BATCH_SIZE, len(self.flows_to_probe))):
            self._probe_flow(self.flows_to_probe.popleft(), now)
        more = bool(self.flows_to_probe)
        self.batch_due = now + BATCH_INTERVAL_S if more else float("inf")

    def _probe_flow(self, flow: bytes, now: float) -> None:
        """Sends a flow probe unless the flow is no longer idle."""
        held = self.board.flows.get(flow)
        if held is None or not self.board.is_idle(flow, held):
            return
        packet = held.last_data_packet or held.last_packet
        if packet is None:
            return
        held.flow_probed_at = now
        datagram = self.codec.with_note(packet, 0)
        self.board.outbox.append(SendBackend(datagram))

    def _survey_due(self) -> float:
        if not self.next_reason:
            return float("inf")
        return self.surveyed_at + self.interval_s

    def _check_due(self) -> float:
        if not self.board.flows or self.board.backend_gone:
            return float("inf")
        if self.awaits_backend_exit():
            return self.checked_at + EXIT_CHECK_INTERVAL_S
        return max(self.heard_at, self.checked_at) + SILENCE_CHECK_S

    def awaits_backend_exit(self) -> bool:
        """Tells whether a stop waits for idle flows of a draining server."""
        board = self.board
        exits_together = board.stopping and board.is_draining
        if not exits_together or board.backend_gone or not board.uses.resting:
            return False
        return bool(board.idle_flows())

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        if not self.board.uses.resting:
            return float("inf")
        return min(self._check_due(), self._survey_due(), self.batch_due)
