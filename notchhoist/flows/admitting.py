"""An agent's controller for the slots of its backend server."""

from msgspec import Struct, field

from notchhoist.flows import notes
from notchhoist.flows.boards import AgentBoard, Count, Timing
from notchhoist.flows.effects import SendBackend, SendBalancer
from notchhoist.flows.failing import AnswerTimes
from notchhoist.flows.held import (
    PACE_GAIN,
    STUCK_PACES,
    STUCK_S,
    HeldFlow,
)
from notchhoist.flows.holding import (
    HeldRequest,
    Wish,
    pick,
)
from notchhoist.flows.notes import Load, NoteKind
from notchhoist.flows.segments import Segment, SegmentCodec

GIVEN_UP_S = 0.5
"""A request that got no answer for at least this time, and for ``STUCK_PACES``
service times, counts as failed, seconds: twice the objectives of today."""


class RequestGate(Struct, eq=False):
    """Lets a backend server have as many requests as it works on.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        times: Judges the backend server's answers.
    """

    board: AgentBoard
    codec: SegmentCodec
    times: AnswerTimes = field(default_factory=AnswerTimes)

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
        waiting = self.board.waiting.get(segment.flow)
        if segment.resets:
            self._note_given_up(held, now)
            self.forget(segment.flow, now)
        elif waiting is not None:
            if segment.size or segment.closes or waiting.unopened:
                waiting.add(segment)
                return
        elif opening or (segment.size and held.is_new(segment)):
            if held.running_since is None and self._must_wait(wish):
                self._hold(held, segment, wish, opening, now)
                return
            self._begin(held, segment, wish, now)
        self._pass_on(segment)

    def _must_wait(self, wish: Wish) -> bool:
        board = self.board
        if wish.upload or not board.slots:
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
        request = HeldRequest(segment.flow, held, [segment], now, wish, opening)
        self.board.waiting[segment.flow] = request
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

    def on_broken_off(self, held: HeldFlow) -> None:
        """Takes account of a request whose flow the server has reset."""
        if held.running_since is not None:
            self.times.note_failure()
            self.board.records.counters[Count.REQUESTS_BROKEN] += 1
            self._log_failing()

    def _note_given_up(self, held: HeldFlow, now: float) -> None:
        """Takes account of a caller that did not wait for its answer."""
        waited_s = now - held.request_at
        unusual_s = max(GIVEN_UP_S, STUCK_PACES * self.board.pace_s)
        if held.running_since is not None and waited_s > unusual_s:
            self.on_broken_off(held)

    def told_pace_s(self) -> float:
        """Returns the service time that balancers are told, seconds."""
        return self.board.pace_s * self.times.slowdown()

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
        held = self.board.flows.get(flow)
        if held is not None:
            held.running_since = None
        self._free(flow, now)

    def _free(self, flow: bytes, now: float) -> None:
        board = self.board
        board.active.discard(flow)
        while board.waiting and len(board.active) < board.slots:
            request = pick(board.waiting.values(), now, board.pace_s)
            if request is None:
                return
            late = now + board.pace_s > request.due
            self._release(request, now, "late" if late else "on time")

    def _release(self, request: HeldRequest, now: float, outcome: str) -> None:
        board = self.board
        del board.waiting[request.flow]
        self._observe_wait(request, outcome, now)
        board.records.decide(
            "release",
            request.flow,
            outcome,
            waited_s=round(now - request.arrived_at, 3),
            age_s=request.wish.age_s,
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
        """Gives an answer to what has waited for too long."""
        late = [
            request
            for request in self.board.waiting.values()
            if now >= request.ends_at
        ]
        for request in late:
            self.board.records.counters[Count.HELD_TOO_LONG] += 1
            if request.unopened:
                self._refuse(request, now)
            else:
                # The backend server queues it, or rejects it with an answer.
                self._release(request, now, "waited too long")

    def _observe_wait(
        self, request: HeldRequest, outcome: str, now: float
    ) -> None:
        self.board.records.observe(
            Timing.WAITING,
            self.board.service,
            outcome,
            now - request.arrived_at,
        )

    def _refuse(self, request: HeldRequest, now: float) -> None:
        """Lets the balancer reset a flow that has not opened."""
        board = self.board
        del board.waiting[request.flow]
        self._observe_wait(request, "refused", now)
        board.flows.pop(request.flow, None)
        load = Load(len(board.flows), len(board.waiting) + len(board.active))
        note = notes.to_balancer(NoteKind.REFUSED, load)
        segment = request.segments[-1]
        datagram = self.codec.head_with_note(segment, note)
        board.outbox.append(SendBalancer(request.held.balancer, datagram))
        board.records.decide(
            "refuse",
            request.flow,
            "no slot in time",
            waited_s=round(now - request.arrived_at, 3),
            waiting=len(board.waiting),
            slots=board.slots,
        )

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
        return min(
            (item.ends_at for item in self.board.waiting.values()),
            default=float("inf"),
        )
