"""An agent's controller that calls flows which wait at balancers for a slot."""

from msgspec import Struct, field

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.agent.bearing import OpeningGate
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.vacancies import SlotVacancies
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.queueing import FRESH_S
from notchhoist.flows.decisions.reservations import (
    AHEAD,
    Call,
    Line,
    Reservation,
    Reservations,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.held import ENDED
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment

CALL_WAIT_S = 0.04
"""A balancer has this long to answer a call, seconds: a few round trips between
zones; the slot is kept meanwhile."""

PAUSE_S = 0.005
"""Time until reservations are gone through again where none was to be called,
seconds, unless the server has less to do by then; a thousand take 2 ms."""

LOOK_EVERY_S = 0.05
"""Time between two looks while flows wait, seconds: promises lapse unseen."""


class SlotCaller(Struct, eq=False):
    """Calls a flow when the backend server is about to have a slot for it.

    A call takes a slot, as an accepted flow does, until its balancer answers
    or has kept silent for a while. It is called again later: a balancer on a
    thin host may stand still for longer than a slot should.

    Attributes:
        board: What the agent knows.
        gate: Knows the service time and who is first.
        bearing: Says which new flows the backend server may get.
        vacancies: Counts the slots that are taken.
        replies: Answers balancers.
        reservations: Flows that wait at balancers.
        look_due: When ``look`` is next needed, seconds.
        paused_until: When reservations are gone through again, seconds.
        paused_with: Slots that were taken when that began.
    """

    board: AgentBoard
    gate: RequestGate
    bearing: OpeningGate
    vacancies: SlotVacancies
    replies: Replies
    reservations: Reservations = field(default_factory=Reservations)
    look_due: float = float("inf")
    paused_until: float = float("-inf")
    paused_with: int = 0

    def on_reserve(self, host: str, segment: Segment, now: float) -> None:
        """Takes a balancer's reservation for a flow."""
        board = self.board
        if not board.uses.parking or notes.tag_of(segment) != board.tag:
            return
        wish = notes.wish_of(segment.note)
        if self.reservations.keep(host, segment, wish, now):
            board.records.counters[Count.RESERVED] += 1

    def on_none_parked(self, host: str) -> None:
        """Takes word that nothing waits at a balancer any more."""
        in_vain = self._end_calls(host)
        self.board.records.counters[Count.CALLED_IN_VAIN] += in_vain
        self.reservations.drop_host(host)

    def on_offer(
        self, host: str, segment: Segment, kind: NoteKind, now: float
    ) -> None:
        """Takes account of a new flow that a balancer offers."""
        reservation = self.reservations.drop(host, segment.flow)
        if kind is not NoteKind.PLACE_CALLED:
            return
        self.reservations.resting.pop(host, None)
        calls = self.board.calls
        answered = next((item for item in calls if item.host == host), None)
        if answered is not None:
            calls.remove(answered)
            reservation = reservation or answered.reservation
        wish = notes.wish_of(segment.note)
        if reservation is not None and wish.age_s > FRESH_S:
            # It was new when it began to wait.
            self.gate.queue.note_arrival(reservation.wish, now)

    def _end_calls(self, host: str) -> int:
        """Ends the calls to a balancer; returns how many there were."""
        calls = self.board.calls
        kept = [item for item in calls if item.host != host]
        ended = len(calls) - len(kept)
        calls[:] = kept
        return ended

    def look(self, now: float) -> None:
        """Calls flows for the slots that are free, or will be."""
        board = self.board
        if not self.reservations.by_key and not board.calls:
            self.look_due = float("inf")
            return
        self._end_unanswered(now)
        if not board.backend_gone and not self.bearing.pause_s(now):
            self._call_all(now)
        self.look_due = self._next_look(now)

    def _next_look(self, now: float) -> float:
        calls = self.board.calls
        unanswered = calls[0].since + CALL_WAIT_S if calls else float("inf")
        if not self.reservations.by_key:
            return unanswered
        again = self.paused_until if now < self.paused_until else float("inf")
        return min(unanswered, again, now + LOOK_EVERY_S)

    def _call_all(self, now: float) -> None:
        """Calls as many flows as there is room for."""
        while self.reservations.by_key:
            reservation = self._next(now)
            if reservation is None:
                return
            self._call(reservation, now)

    def _end_unanswered(self, now: float) -> None:
        calls = self.board.calls
        counters = self.board.records.counters
        while calls and now - calls[0].since >= CALL_WAIT_S:
            call = calls.pop(0)
            counters[Count.CALLED_IN_VAIN] += 1
            self.reservations.put_off(call.reservation, now)

    def _before(self, now: float) -> int:
        """Returns how many requests run before one that is called now."""
        pace_s = self.gate.pace_s()
        waiting = self.board.waiting.values()
        late = sum(item.is_late(now, pace_s) for item in waiting)
        return self.vacancies.taken(now) - late

    def _next(self, now: float) -> Reservation | None:
        """Takes out the reservation of the first flow that is not here yet."""
        board = self.board
        slots = max(1, board.slots)
        before = self._before(now)
        if before >= slots + AHEAD or self._is_paused(now):
            return None
        if self.vacancies.rests(now):
            return None
        waiting = board.waiting.values()
        line = Line(waiting, before, self.gate.pace_s(), slots)
        while True:
            item = self.reservations.pick(self.gate.queue, line, now)
            if item is None:
                self.paused_until = now + PAUSE_S
                self.paused_with = self.vacancies.taken(now)
                return None
            held = board.flows.get(item.flow)
            if held is None or held.phase in ENDED:
                return item

    def _is_paused(self, now: float) -> bool:
        taken = self.vacancies.taken(now)
        return now < self.paused_until and taken >= self.paused_with

    def _call(self, reservation: Reservation, now: float) -> None:
        board = self.board
        board.calls.append(Call(reservation, now))
        board.records.counters[Count.CALLED] += 1
        self.replies.tell(
            reservation.host, NoteKind.CALL, reservation.segment, now
        )
