"""An agent's controller for the slots of its backend server."""

from msgspec import Struct, field, structs

from notchhoist.flows.agent.refusing import Refuser
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.failing import AnswerTimes
from notchhoist.flows.decisions.holding import HeldRequest
from notchhoist.flows.decisions.queueing import SlotQueue, hopeless
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.held import (
    PACE_GAIN,
    STUCK_PACES,
    STUCK_S,
    HeldFlow,
    Phase,
)
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.segments import Segment, SegmentCodec
from notchhoist.flows.model.wishes import Wish

GUESSED_PACE_S = 0.05
"""Service time before the first answer, seconds. Usual ones are 30 to 80 ms on
the deployments of today, and twice that at the start."""

SHED_EVERY_S = 0.05
"""Time between two looks for requests that wait in vain, seconds: about a
service time, and 2 ms of work for 100 that wait."""

OUTAGE_S = 3.0
"""An agent younger than this, seconds, that hears from balancers which are as
young takes it that everything has just started."""

GIVEN_UP_S = 0.5
"""A request that got no answer for at least this time, and for ``STUCK_PACES``
service times, counts as failed, seconds: twice the objectives of today."""


class RequestGate(Struct, eq=False):
    """Lets a backend server have as many requests as it works on.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        refuser: Tells callers that get no slot.
        times: Judges the backend server's answers.
        queue: Picks who gets a slot.
        shed_due: When to look next for requests that wait in vain, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    refuser: Refuser
    times: AnswerTimes = field(default_factory=AnswerTimes)
    queue: SlotQueue = field(default_factory=SlotQueue)
    shed_due: float = 0.0

    def take(
        self,
        held: HeldFlow,
        segment: Segment,
        wish: Wish,
        opening: bool,
        now: float,
    ) -> None:
        """Takes a packet of a flow that is here: passes it on or holds it.

        Args:
            held: The flow.
            segment: The packet.
            wish: What the balancer says of the flow's requests.
            opening: The packet ends the handshake.
            now: Runtime clock, seconds.
        """
        if segment.size:
            self.board.promised.pop(segment.flow, None)
        waiting = self.board.waiting.get(segment.flow)
        if waiting is not None and self._has_left(waiting, segment, now):
            self.refuser.let_go(waiting, segment, now)
            return
        if segment.resets:
            self._note_given_up(held, now)
            self.forget(segment.flow, now)
        elif waiting is not None:
            if segment.size or segment.closes or waiting.unopened:
                waiting.add(segment)
                return
        elif opening or (segment.size and held.is_new(segment)):
            if held.running_since is None and not wish.upload:
                self.queue.note_arrival(wish, now)
            if held.running_since is None and self._must_wait(wish):
                self._hold(held, segment, wish, opening, now)
                return
            self._begin(held, segment, wish, now)
        self._pass_on(segment)

    def _has_left(
        self, request: HeldRequest, segment: Segment, now: float
    ) -> bool:
        return self.board.uses.leavers and request.is_given_up(segment, now)

    def _must_wait(self, wish: Wish) -> bool:
        board = self.board
        if wish.upload or not board.slots or not board.uses.holding:
            return False
        return len(board.active) >= board.slots

    def _hold(
        self,
        held: HeldFlow,
        segment: Segment,
        wish: Wish,
        opening: bool,
        now: float,
    ) -> None:
        if self.board.age_s(now) > OUTAGE_S or not self.board.uses.doubt:
            # Only this balancer is new; others saw what came before.
            wish = structs.replace(wish, may_be_retry=False)
        request = HeldRequest(segment.flow, held, [segment], now, wish, opening)
        self.board.waiting[segment.flow] = request
        self.board.promised.pop(segment.flow, None)
        self.board.records.counters[Count.HELD] += 1

    def _begin(
        self, held: HeldFlow, segment: Segment, wish: Wish, now: float
    ) -> None:
        if not segment.size:
            return
        held.note_request(segment, now)
        if not wish.upload:
            self.board.active.add(segment.flow)

    def _pass_on(self, segment: Segment) -> None:
        datagram = self.codec.with_note(segment, 0)
        self.board.outbox.append(SendBackend(datagram))

    def on_answer(self, segment: Segment, held: HeldFlow, now: float) -> None:
        """Takes account of an answer; the slot goes to the next request."""
        flow = segment.flow
        elapsed = held.note_answer(now)
        if elapsed is None:
            return
        board = self.board
        took_s = now - held.request_at
        good = self.times.note_answer(segment.service_key, took_s)
        if good:
            self._note_pace(elapsed)
        outcome = "answered" if good else "too quick"
        board.records.observe(Timing.SERVICE, board.service, outcome, elapsed)
        self._log_failing()
        self._free(flow, now)

    def _note_pace(self, elapsed: float) -> None:
        board = self.board
        if board.pace_s:
            board.pace_s += PACE_GAIN * (elapsed - board.pace_s)
        else:
            board.pace_s = elapsed

    def on_reset(self, held: HeldFlow) -> None:
        """Takes account of a flow that the server has reset."""
        # Data that crosses the server's own end of a flow is reset, too.
        self._note_broken(held, by_reset=held.phase is not Phase.CLOSED)

    def _note_broken(self, held: HeldFlow, by_reset: bool = False) -> None:
        """Takes account of a request that ended without an answer."""
        if held.running_since is not None:
            self.times.note_failure(by_reset)
            self.board.records.counters[Count.REQUESTS_BROKEN] += 1
            self._log_failing()

    def _note_given_up(self, held: HeldFlow, now: float) -> None:
        """Takes account of a caller that did not wait for its answer."""
        waited_s = now - held.request_at
        unusual_s = max(GIVEN_UP_S, STUCK_PACES * self.board.pace_s)
        if held.running_since is not None and waited_s > unusual_s:
            self._note_broken(held)

    def pace_s(self) -> float:
        """Returns the service time, a guess before the first answer, seconds.

        With none a request that waited after a loss of power got its slot at
        the moment when its caller gave up.
        """
        return self.board.pace_s or GUESSED_PACE_S

    def told_pace_s(self) -> float:
        """Returns the service time that balancers are told, seconds."""
        slowdown = self.times.slowdown() if self.board.uses.failing else 1.0
        return self.board.pace_s * slowdown

    def _log_failing(self) -> None:
        news = self.times.news()
        if news:
            share = round(self.times.failing, 3)
            self.board.records.decide(
                "backend server",
                b"",
                news,
                failing=share,
                pace_s=round(self.board.pace_s, 3),
            )

    def forget(self, flow: bytes, now: float) -> None:
        """Takes account of the end of a flow."""
        self.board.waiting.pop(flow, None)
        self.board.promised.pop(flow, None)
        held = self.board.flows.get(flow)
        if held is not None:
            held.running_since = None
        self._free(flow, now)

    def _free(self, flow: bytes, now: float) -> None:
        board = self.board
        board.active.discard(flow)
        while board.waiting and len(board.active) < board.slots:
            request = self.queue.pick(
                board.waiting.values(), now, self.pace_s(), board.slots
            )
            if request is None:
                return
            late = request.is_late(now, self.pace_s())
            self._release(request, now, "late" if late else "on time")

    def _release(self, request: HeldRequest, now: float, outcome: str) -> None:
        board = self.board
        del board.waiting[request.flow]
        board.observe_wait(request, outcome, now)
        board.records.decide(
            "release",
            request.flow,
            outcome,
            waited_s=round(now - request.arrived_at, 3),
            age_s=request.wish.age_s,
            left_s=round(request.ends_at - now, 3),
            objective_s=request.wish.objective_s,
            pace_s=round(board.pace_s, 3),
            waiting=len(board.waiting),
            active=len(board.active),
            slots=board.slots,
        )
        for segment in request.segments:
            self._begin(request.held, segment, request.wish, now)
            self._pass_on(segment)

    def tick(self, now: float) -> None:
        """Gives an answer to what waits in vain."""
        if now < self.shed_due:
            return
        self.shed_due = now + SHED_EVERY_S
        board = self.board
        pace_s = self.pace_s()
        waiting = board.waiting.values()
        for request in hopeless(waiting, now, pace_s, board.slots):
            over = now >= request.last_start(pace_s)
            if request.unopened and (over or board.uses.at_once):
                board.records.counters[Count.REFUSED_AT_ONCE] += 1
                self.refuser.refuse(request, now)
            elif over:
                # The backend server queues it, or rejects it with an answer.
                board.records.counters[Count.HELD_TOO_LONG] += 1
                self._release(request, now, "waited too long")

    def refuse_unopened(self, reason: str, now: float) -> None:
        """Refuses all that wait and have not opened; none of them has run."""
        for request in list(self.board.waiting.values()):
            if request.unopened:
                self.refuser.refuse(request, now, reason)

    def begin_anew(self, now: float) -> None:
        """Forgets the load of a backend server that has ended.

        What waited goes on to the one that has started: it holds none of the
        flows, and says so.
        """
        board = self.board
        board.active.clear()
        board.promised.clear()
        board.pace_s = 0.0
        self.times = AnswerTimes()
        for request in list(board.waiting.values()):
            if request.unopened:
                self.refuser.refuse(request, now, "backend server began anew")
            else:
                self._release(request, now, "backend server began anew")
        board.active.clear()

    def sweep(self, now: float) -> None:
        """Frees slots of requests whose answer never came."""
        for flow in list(self.board.active):
            held = self.board.flows.get(flow)
            since = held.running_since if held is not None else None
            if since is None or now - since > self.stuck_s():
                if held is not None:
                    self._note_given_up(held, now)
                self._free(flow, now)

    def stuck_s(self) -> float:
        """Returns how long an answer may take, seconds."""
        return max(STUCK_S, STUCK_PACES * self.board.pace_s)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return self.shed_due if self.board.waiting else float("inf")
