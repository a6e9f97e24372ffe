"""An agent's controller for flows that rest when the backend server ends.

A caller keeps a flow open between its requests. Where the server has ended, a
reset that comes with the next request costs that request, and one that must
not run twice is lost. So the server is asked about each flow that rests: it
gets a copy of the caller's newest data, which it passes over where it holds the
flow, gives back where it does not, and resets where it has ended it.
"""

import collections

from msgspec import Struct, field

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.effects import SendBackend, SendCaller
from notchhoist.flows.model.held import HeldFlow
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

SILENCE_S = 1.0
"""A server with open flows that was not heard for so long is looked at, and
again after each such time, seconds."""

END_LOOK_S = 0.2
"""The same while the agent waits for its server's end, seconds."""

SURVEY_PAUSE_S = 0.3
"""Least time between two surveys of all flows, seconds; twice as long after
each that has found none ended."""

SURVEY_PAUSE_MOST_S = 4.8
"""The longest such time, seconds: servers reset single flows that fail."""

BATCH = 100
"""Flows that the server is asked about at once; its socket holds more."""

BATCH_PAUSE_S = 0.01
"""Time between two batches, seconds."""


class RestingFlows(Struct, eq=False):
    """Resets flows whose server has ended while they rest.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        gate: Shares out the slots.
        watch: Looks whether the server listens.
        unasked: Flows that the server has yet to be asked about.
        reason: What the survey under way was begun for.
        surveyed_at: When the last survey began, seconds.
        wanted: Why another survey is to begin, or empty.
        batch_due: When the next batch goes out, seconds.
        pause_s: Time until the next survey may begin, seconds.
        ended: Flows that the last survey has found ended.
        looked_at: When a silent server was last looked at, seconds.
        heard_at: When the server last sent anything, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    gate: RequestGate
    watch: BackendWatch
    unasked: collections.deque[bytes] = field(default_factory=collections.deque)
    reason: str = ""
    surveyed_at: float = float("-inf")
    wanted: str = ""
    batch_due: float = float("inf")
    pause_s: float = SURVEY_PAUSE_S
    ended: int = 0
    looked_at: float = float("-inf")
    heard_at: float = float("-inf")

    def survey(self, reason: str) -> None:
        """Has the server asked about all flows that rest.

        Args:
            reason: Why it may have ended, for the log.
        """
        if self.board.uses.resting and not self.wanted:
            self.wanted = reason

    def on_heard(self, now: float) -> None:
        """Takes account of a packet of the server."""
        self.heard_at = now

    def take_returned(
        self, held: HeldFlow, segment: Segment, now: float
    ) -> bool:
        """Resets a flow that its server has given up; tells whether it did.

        The server has shown that the flow was open there, so it is nowhere
        else. A packet that opens a flow is given back for other reasons too.

        Args:
            held: The flow, which is no longer among those held here.
            segment: The packet that the server gave back.
            now: Runtime clock, seconds.
        """
        if not self.board.uses.resting or segment.opens:
            return False
        if not held.was_open_here or held.sample is None:
            return False
        reset = self.codec.make_reset(held.sample)
        self.board.outbox.append(SendCaller(held.sample.caller, reset))
        self.board.records.counters[Count.RESETS] += 1
        self._note_end(held, segment.flow, "server returned it", now)
        return True

    def on_reset(self, held: HeldFlow, flow: bytes, now: float) -> None:
        """Takes account of a flow that its server has reset itself."""
        if self.board.uses.resting and held.was_open_here:
            self._note_end(held, flow, "by its server", now)

    def _note_end(
        self, held: HeldFlow, flow: bytes, reason: str, now: float
    ) -> None:
        """Takes account of the end of one flow; others may have ended too."""
        rested = held.rests_asked
        records = self.board.records
        if rested:
            self.ended += 1
            records.counters[Count.RESET_AT_REST] += 1
        records.decide(
            "reset",
            flow,
            reason,
            at_rest=rested,
            asked_for=self.reason if rested else "",
            shown_s=round(now - held.shown_at, 3),
            used_s=round(now - held.last_at, 3),
        )
        self.survey("a flow ended")

    def tick(self, now: float) -> None:
        """Looks at a silent server and goes on with a survey."""
        if not self.board.uses.resting:
            return
        self._look(now)
        if now >= self._survey_due():
            self._begin(now)
        if now >= self.batch_due:
            self._ask_batch(now)

    def _look(self, now: float) -> None:
        """Looks whether a server lives that was not heard for a while."""
        if now < self._look_due():
            return
        self.looked_at = now
        newest = self._newest()
        if newest is None:
            return
        self.watch.check_soon(now)
        self._ask(newest, now)

    def _newest(self) -> bytes | None:
        """Returns the open flow that the server showed last, if any."""
        resting = self.board.resting()
        if not resting:
            return None
        return max(resting, key=lambda item: item[1].shown_at)[0]

    def _begin(self, now: float) -> None:
        self.reason, self.wanted = self.wanted, ""
        self.surveyed_at = now
        longer_s = min(2 * self.pause_s, SURVEY_PAUSE_MOST_S)
        self.pause_s = SURVEY_PAUSE_S if self.ended else longer_s
        self.ended = 0
        self.watch.check_soon(now)
        resting = [flow for flow, _ in self.board.resting()]
        self.unasked.clear()
        self.unasked.extend(resting)
        if not resting:
            return
        self.batch_due = now
        self.board.records.counters[Count.SURVEYS] += 1
        self.board.records.decide(
            "survey", b"", self.reason, flows=len(resting)
        )

    def _ask_batch(self, now: float) -> None:
        for _ in range(min(BATCH, len(self.unasked))):
            self._ask(self.unasked.popleft(), now)
        more = bool(self.unasked)
        self.batch_due = now + BATCH_PAUSE_S if more else float("inf")

    def _ask(self, flow: bytes, now: float) -> None:
        """Asks the server about a flow, unless that has changed meanwhile."""
        held = self.board.flows.get(flow)
        if held is None or not self.board.rests(flow, held):
            return
        packet = held.data or held.sample
        if packet is None:
            return
        held.asked_at = now
        datagram = self.codec.with_note(packet, 0)
        self.board.outbox.append(SendBackend(datagram))

    def _survey_due(self) -> float:
        if not self.wanted:
            return float("inf")
        return self.surveyed_at + self.pause_s

    def _look_due(self) -> float:
        if not self.board.flows or self.board.backend_gone:
            return float("inf")
        if self.awaits_end():
            return self.looked_at + END_LOOK_S
        return max(self.heard_at, self.looked_at) + SILENCE_S

    def awaits_end(self) -> bool:
        """Tells whether flows rest at a server that leaves along with us."""
        board = self.board
        leaves = board.stopping and board.is_leaving
        if not leaves or board.backend_gone or not board.uses.resting:
            return False
        return bool(board.resting())

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        if not self.board.uses.resting:
            return float("inf")
        return min(self._look_due(), self._survey_due(), self.batch_due)
