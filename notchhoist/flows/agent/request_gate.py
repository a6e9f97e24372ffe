"""An agent's admission control for requests: the slots of its server."""

from msgspec import Struct, field, structs

from notchhoist.flows.agent.refuser import Refuser
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.failure_detection import AnswerTimes
from notchhoist.flows.decisions.queued_requests import QueuedRequest
from notchhoist.flows.decisions.queueing import SlotQueue, unservable
from notchhoist.flows.model.backend_flows import (
    SERVICE_TIME_GAIN,
    STALLED_REQUEST_S,
    STALLED_REQUEST_SERVICE_TIMES,
    BackendFlow,
    Phase,
)
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.model.segments import Segment, SegmentCodec

DEFAULT_SERVICE_TIME_S = 0.05
"""Assumed service time before the first answer, seconds. Current deployments
have 30 to 80 ms, and twice that after a start."""

SHED_INTERVAL_S = 0.05
"""Time between two checks for unservable requests, seconds: about a service
time. A check of 100 queued requests takes 2 ms."""

STARTUP_WINDOW_S = 3.0
"""An agent that is younger than this, seconds, and hears from a balancer that
has just started assumes that the whole system has just started, and that
callers may be on a retry."""

ABANDONED_MIN_S = 0.5
"""A request that ends unanswered counts as failed if it took longer than this,
seconds, and than ``STALLED_REQUEST_SERVICE_TIMES`` service times. It is twice
the latency objectives of current deployments."""


class RequestGate(Struct, eq=False):
    """Limits the requests at a backend server to the number of its slots.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        refuser: Resets flows whose requests get no slot.
        answer_times: Estimates from answer times whether the server is failing.
        queue: Picks the request that gets the next slot.
        shed_due: When unservable requests are next looked for, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    refuser: Refuser
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)
    queue: SlotQueue = field(default_factory=SlotQueue)
    shed_due: float = 0.0

    def admit(
        self,
        held: BackendFlow,
        segment: Segment,
        hints: RequestHints,
        opening: bool,
        now: float,
    ) -> None:
        """Forwards a packet of a flow at this server, or queues it.

        Args:
            held: The flow.
            segment: The packet.
            hints: What the balancer reports of the flow's requests.
            opening: The packet completes the handshake.
            now: Runtime clock, seconds.
        """
        if segment.size:
            self.board.reserved_until.pop(segment.flow, None)
        waiting = self.board.waiting.get(segment.flow)
        if waiting is not None and self._is_abandoned(waiting, segment, now):
            self.refuser.reset_abandoned(waiting, segment, now)
            return
        if segment.resets:
            self._record_abandonment(held, now)
            self.forget(segment.flow, now)
        elif waiting is not None:
            if segment.size or segment.closes or waiting.unopened:
                waiting.add(segment)
                return
        elif opening or (segment.size and held.is_new_data(segment)):
            if held.running_since is None and not hints.upload:
                self.queue.record_arrival(hints, now)
            if held.running_since is None and self._must_queue(hints):
                self._enqueue(held, segment, hints, opening, now)
                return
            self._start_request(held, segment, hints, now)
        self._forward(segment)

    def _is_abandoned(
        self, request: QueuedRequest, segment: Segment, now: float
    ) -> bool:
        return self.board.uses.leavers and request.shows_abandonment(
            segment, now
        )

    def _must_queue(self, hints: RequestHints) -> bool:
        board = self.board
        if hints.upload or not board.slots or not board.uses.holding:
            return False
        return len(board.active) >= board.slots

    def _enqueue(
        self,
        held: BackendFlow,
        segment: Segment,
        hints: RequestHints,
        opening: bool,
        now: float,
    ) -> None:
        if (
            self.board.age_s(now) > STARTUP_WINDOW_S
            or not self.board.uses.doubt
        ):
            # Only this balancer is new; the others know of earlier attempts.
            hints = structs.replace(hints, may_be_retry=False)
        request = QueuedRequest(
            segment.flow, held, [segment], now, hints, opening
        )
        self.board.waiting[segment.flow] = request
        self.board.reserved_until.pop(segment.flow, None)
        self.board.records.counters[Count.HELD] += 1

    def _start_request(
        self,
        held: BackendFlow,
        segment: Segment,
        hints: RequestHints,
        now: float,
    ) -> None:
        if not segment.size:
            return
        held.record_request(segment, now)
        if not hints.upload:
            self.board.active.add(segment.flow)

    def _forward(self, segment: Segment) -> None:
        datagram = self.codec.with_note(segment, 0)
        self.board.outbox.append(SendBackend(datagram))

    def on_answer(
        self, segment: Segment, held: BackendFlow, now: float
    ) -> None:
        """Records an answer and gives the slot to the next request."""
        flow = segment.flow
        elapsed = held.record_answer(now)
        if elapsed is None:
            return
        board = self.board
        took_s = now - held.request_at
        good = self.answer_times.note_answer(segment.service_key, took_s)
        if good:
            self._update_service_time(elapsed)
        outcome = "answered" if good else "too quick"
        board.records.observe(Timing.SERVICE, board.service, outcome, elapsed)
        self._log_failing()
        self._free_slot(flow, now)

    def _update_service_time(self, elapsed: float) -> None:
        board = self.board
        if board.pace_s:
            board.pace_s += SERVICE_TIME_GAIN * (elapsed - board.pace_s)
        else:
            board.pace_s = elapsed

    def on_reset(self, held: BackendFlow) -> None:
        """Records a flow that the server has reset."""
        # Data that crosses the end of a flow by its server is reset, too.
        self._record_failure(held, by_reset=held.phase is not Phase.CLOSED)

    def _record_failure(
        self, held: BackendFlow, by_reset: bool = False
    ) -> None:
        """Records the failure of a request that is still unanswered."""
        if held.running_since is not None:
            self.answer_times.note_failure(by_reset)
            self.board.records.counters[Count.REQUESTS_BROKEN] += 1
            self._log_failing()

    def _record_abandonment(self, held: BackendFlow, now: float) -> None:
        """Records a failure if a request was unanswered unusually long."""
        waited_s = now - held.request_at
        failed_after_s = max(
            ABANDONED_MIN_S, STALLED_REQUEST_SERVICE_TIMES * self.board.pace_s
        )
        if held.running_since is not None and waited_s > failed_after_s:
            self._record_failure(held)

    def service_time_s(self) -> float:
        """Returns the service time, assumed before the first answer, seconds.

        With 0 instead, a request that was queued after a loss of power got its
        slot only at the moment when its caller abandoned it.
        """
        return self.board.pace_s or DEFAULT_SERVICE_TIME_S

    def reported_service_time_s(self) -> float:
        """Returns the service time that is reported to balancers, seconds.

        It is longer for a failing server, so that it attracts fewer flows.
        """
        slowdown = (
            self.answer_times.slowdown() if self.board.uses.failing else 1.0
        )
        return self.board.pace_s * slowdown

    def _log_failing(self) -> None:
        change = self.answer_times.pop_state_change()
        if change:
            share = round(self.answer_times.failing, 3)
            self.board.records.record_decision(
                "backend server",
                b"",
                change,
                failing=share,
                pace_s=round(self.board.pace_s, 3),
            )

    def forget(self, flow: bytes, now: float) -> None:
        """Removes the request of a flow that has ended and frees its slot."""
        self.board.waiting.pop(flow, None)
        self.board.reserved_until.pop(flow, None)
        held = self.board.flows.get(flow)
        if held is not None:
            held.running_since = None
        self._free_slot(flow, now)

    def _free_slot(self, flow: bytes, now: float) -> None:
        board = self.board
        board.active.discard(flow)
        while board.waiting and len(board.active) < board.slots:
            request = self.queue.pick(
                board.waiting.values(), now, self.service_time_s(), board.slots
            )
            if request is None:
                return
            late = request.is_late(now, self.service_time_s())
            self._release(request, now, "late" if late else "on time")

    def _release(
        self, request: QueuedRequest, now: float, outcome: str
    ) -> None:
        board = self.board
        del board.waiting[request.flow]
        board.observe_wait(request, outcome, now)
        board.records.record_decision(
            "release",
            request.flow,
            outcome,
            waited_s=round(now - request.arrived_at, 3),
            age_s=request.hints.waited_s,
            left_s=round(request.expires_at - now, 3),
            objective_s=request.hints.objective_s,
            pace_s=round(board.pace_s, 3),
            waiting=len(board.waiting),
            active=len(board.active),
            slots=board.slots,
        )
        for segment in request.segments:
            self._start_request(request.held, segment, request.hints, now)
            self._forward(segment)

    def tick(self, now: float) -> None:
        """Refuses unservable requests; releases expired ones on open flows."""
        if now < self.shed_due:
            return
        self.shed_due = now + SHED_INTERVAL_S
        board = self.board
        service_time_s = self.service_time_s()
        waiting = board.waiting.values()
        for request in unservable(waiting, now, service_time_s, board.slots):
            expired = now >= request.latest_start(service_time_s)
            if request.unopened and (expired or board.uses.at_once):
                board.records.counters[Count.REFUSED_AT_ONCE] += 1
                self.refuser.refuse(request, now)
            elif expired:
                # The server queues it, or answers it with an error.
                board.records.counters[Count.HELD_TOO_LONG] += 1
                self._release(request, now, "waited too long")

    def refuse_unopened(self, reason: str, now: float) -> None:
        """Refuses all queued requests of unopened flows; none has run."""
        for request in list(self.board.waiting.values()):
            if request.unopened:
                self.refuser.refuse(request, now, reason)

    def on_backend_restart(self, now: float) -> None:
        """Clears the load of the previous incarnation of the backend server.

        Queued requests of open flows are forwarded to the new incarnation,
        which has none of the flows and returns or resets them.
        """
        board = self.board
        board.active.clear()
        board.reserved_until.clear()
        board.pace_s = 0.0
        self.answer_times = AnswerTimes()
        for request in list(board.waiting.values()):
            if request.unopened:
                self.refuser.refuse(request, now, "backend server began anew")
            else:
                self._release(request, now, "backend server began anew")
        board.active.clear()

    def sweep(self, now: float) -> None:
        """Frees the slots of requests whose answer has timed out."""
        for flow in list(self.board.active):
            held = self.board.flows.get(flow)
            since = held.running_since if held is not None else None
            if since is None or now - since > self.answer_timeout_s():
                if held is not None:
                    self._record_abandonment(held, now)
                self._free_slot(flow, now)

    def answer_timeout_s(self) -> float:
        """Returns how long a request may hold its slot, seconds."""
        return max(
            STALLED_REQUEST_S, STALLED_REQUEST_SERVICE_TIMES * self.board.pace_s
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return self.shed_due if self.board.waiting else float("inf")
