"""Runs: processing of requests from arrival to outcome.

A run gets a slot of the local backend server, queues for one, is delegated to
a peer, or is refused at once. A run that is not repeatable starts only with a
grant of its witnesses, and is reported as "not run" only with their fence.
"""

import math
from collections.abc import Callable

import attrs

from notchhoist import model, parts, wire
from notchhoist.blackboards import (
    AgentBoard,
    Count,
    Run,
    RunState,
)
from notchhoist.controllers.claims import ClaimCoordinator
from notchhoist.controllers.exchanges import MessageLayer
from notchhoist.controllers.flow_mover import FlowMover
from notchhoist.controllers.flow_router import FlowRouter
from notchhoist.controllers.load_tracker import LoadTracker
from notchhoist.controllers.outcomes import OutcomeReporter

SEND_TIMEOUT_S = 0.5
"""Time until an unsent datagram to the backend server is dropped, seconds."""

SLOW_FACTOR = 3.0
"""Multiple of the fastest peer's service time after which a run is slow.

A slow run is cancelled and retried at a peer.
"""

REMAINING_FACTOR = 2.0
"""Multiple of that service time that a retry needs before the deadline."""

MIN_EXECUTION_S = 0.2
FIRST_BLOCK_WITH_MORE = (0, True)

BACKEND_DRAINING_S = 3.0
"""Time for which a draining response is taken as valid, seconds."""

DRAINING_PAYLOAD = b"draining"
SHED_CODE = "5.03"


@attrs.define(slots=False)
class RunDispatcher:
    """Dispatches runs, hands them to the backend server, and ends them.

    Attributes:
        board: State of the agent.
        loads: Load and liveness of the peers.
        flows: Ownership of flows.
        exchanges: Message layer.
        claims: Claims grants and fences.
        moves: Moves whole flows to other agents.
        outcomes: Reports how runs ended.
        delegate: Delegates a run to a peer; False if none can take it.
        delegate_continuation: Delegates a later block of an upload to the
            peer that took the earlier blocks; False if there is none.
        ask_outcome: Queries the holder of a grant for the outcome of a run.
    """

    board: AgentBoard
    loads: LoadTracker
    flows: FlowRouter
    exchanges: MessageLayer
    claims: ClaimCoordinator
    moves: FlowMover
    outcomes: OutcomeReporter
    delegate: Callable[[Run, bool, float], bool] = attrs.field(init=False)
    delegate_continuation: Callable[[Run, float], bool] = attrs.field(
        init=False
    )
    ask_outcome: Callable[[Run, model.Endpoint, float], None] = attrs.field(
        init=False
    )

    def submit(self, run: Run, now: float) -> None:
        """Dispatches a new run, unless its request is known already."""
        if not run.repeatable and self.outcomes.join_or_repeat(run, now):
            return
        self._register(run)
        self.dispatch(run, now)

    def _register(self, run: Run) -> None:
        self.board.runs[run.number] = run
        if run.identity:
            self.board.by_identity[run.identity] = run

    def dispatch(self, run: Run, now: float) -> None:
        """Starts, delegates, queues or refuses a run.

        Delegation to a peer with a free slot comes before the local queue;
        the queue of a peer is used if the local one is full or the local
        backend server takes no new work.
        """
        if self.delegate_continuation(run, now):
            return
        if self._needs_flow_server(run):
            self._dispatch_to_flow_server(run, now)
            return
        if self.moves.move_upload(run, now):
            self._unregister(run)
            return
        self._announce_upload(run)
        takes = self.loads.takes_new_work(now)
        may_run_here = self._own_peer() not in run.excluded and takes
        if may_run_here and self._begin_if_free(run, now):
            return
        if self.delegate(run, False, now):
            return
        if may_run_here and not self.board.admission.is_queue_full():
            self._enqueue(run, now)
        elif self.delegate(run, True, now):
            return
        elif may_run_here:
            self._enqueue(run, now)
        else:
            self.refuse(run, "no_free_slot", now)

    def _announce_upload(self, run: Run) -> None:
        """Tells the home agents of a flow that an upload begins here."""
        flow = self.board.flows.get(run.caller)
        if flow is not None and run.request.block1 == FIRST_BLOCK_WITH_MORE:
            self.flows.pointers.announce([flow])

    def _needs_flow_server(self, run: Run) -> bool:
        """Tells whether a run depends on state at the flow's backend server."""
        request = run.request
        if request.observe is not None:
            return True
        flow = self.board.flows.get(run.caller)
        if flow is None or request.block1 is None:
            return False
        return request.block1[0] > 0

    def _dispatch_to_flow_server(self, run: Run, now: float) -> None:
        is_registration = wire.is_observe_registration(run.request)
        if is_registration and not self.loads.takes_new_work(now):
            self._move_stream(run, now)
        elif not self._begin_if_free(run, now):
            self._enqueue(run, now)

    def _move_stream(self, run: Run, now: float) -> None:
        if self.moves.move_stream(run, now):
            self._unregister(run)
        else:
            self.refuse(run, "server_leaving", now)

    def _own_peer(self) -> model.Endpoint:
        return self.board.identity.peer

    def _unregister(self, run: Run) -> None:
        run.state = RunState.DONE
        self.board.runs.pop(run.number, None)
        if self.board.by_identity.get(run.identity) is run:
            del self.board.by_identity[run.identity]

    def _begin_if_free(self, run: Run, now: float) -> bool:
        if not self.board.admission.try_take_slot(run):
            return False
        self._begin(run, now)
        return True

    def _enqueue(self, run: Run, now: float) -> None:
        if not self.board.admission.can_meet_deadline(run, now):
            self.refuse(run, "deadline_too_near", now)
            return
        run.state = RunState.QUEUED
        refused = self.board.admission.enqueue(run)
        if refused is not None:
            self._refuse_job(refused, "queue_full", now)

    def enter_or_queue(self, run: Run, may_queue: bool, now: float) -> bool:
        """Accepts a run of a peer.

        Args:
            run: The run.
            may_queue: The run may queue if no slot is free.
            now: Runtime clock, seconds.

        Returns:
            False if the local backend server takes no new work (it still
            takes later blocks of uploads), or if no slot is free and the run
            may not queue.
        """
        is_continuation = wire.is_block_continuation(run.request)
        if not is_continuation and not self.loads.takes_new_work(now):
            return False
        if self.board.admission.free() <= 0 and not may_queue:
            return False
        self._register(run)
        if not self._begin_if_free(run, now):
            self._enqueue(run, now)
        return True

    def _begin(self, run: Run, now: float) -> None:
        """Starts a run that has a slot, or claims the grant that it needs."""
        run.holds_slot = True
        run.started_at = now
        if run.repeatable:
            self.launch(run, now)
        else:
            run.state = RunState.CLAIMING
            self.claims.start(run, model.Purpose.GRANT, now)

    def launch(self, run: Run, now: float) -> None:
        """Hands a run to the local backend server."""
        run.state = RunState.STARTED
        run.started_at = now
        run.tries += 1
        self.board.counters[Count.STARTED] += 1
        self.board.started[run.caller, run.request.token] = run
        if run.caller not in self.board.flows:
            self.board.guests[run.caller] = now
        self.board.outbox.append(
            model.SendBackend(
                caller=run.caller,
                datagram=wire.with_deadline(run.request, run.deadline - now),
                not_after=min(now + SEND_TIMEOUT_S, run.deadline),
            )
        )

    def refuse(
        self, run: Run, reason: str, now: float, retry_after_s: int = 0
    ) -> None:
        """Refuses a run.

        A run that is not repeatable claims a fence first: only a fence
        allows the outcome "not run".

        Args:
            run: The run.
            reason: Short name of the cause.
            now: Runtime clock, seconds.
            retry_after_s: Time after which the caller may send the request
                again, seconds; 0 for an estimate from the queue.
        """
        self.release(run, None)
        run.refusal = reason
        run.retry_after_s = (
            retry_after_s or self.board.admission.retry_after_s()
        )
        if run.repeatable:
            self.finish(run, model.RunStatus.NO_SLOT, None, now)
            return
        run.state = RunState.FENCING
        self.claims.start(run, model.Purpose.FENCE, now)

    def _refuse_job(self, job: parts.Job, reason: str, now: float) -> None:
        if isinstance(job, Run):
            self.refuse(job, reason, now)

    def on_response(
        self,
        caller: model.Endpoint,
        message: wire.CoapMessage,
        now: float,
    ) -> bool:
        """Processes a response of the backend server.

        Returns:
            False if the response belongs to no run.
        """
        run = self.board.started.get((caller, message.token))
        if run is None or run.state is not RunState.STARTED:
            return False
        if message.is_confirmable:
            self._acknowledge_backend(run, message, now)
        if message.code.dotted == SHED_CODE:
            self._on_shed(run, message, now)
        else:
            self._on_answer(run, message, now)
        self.start_queued(now)
        return True

    def _acknowledge_backend(
        self, run: Run, message: wire.CoapMessage, now: float
    ) -> None:
        self.board.outbox.append(
            model.SendBackend(
                run.caller, wire.empty_ack(message.mid), now + SEND_TIMEOUT_S
            )
        )

    def _on_answer(
        self, run: Run, message: wire.CoapMessage, now: float
    ) -> None:
        self.board.admission.ramp.succeeded()
        self.release(run, now - run.started_at)
        flow = self.board.flows.get(run.caller)
        is_stream = run.request.observe == 0 and message.observe is not None
        if flow is not None and is_stream:
            self.exchanges.open_stream(flow, message.token, now)
        if flow is not None and run.request.observe == 1:
            flow.streams.pop(message.token, None)
        self.finish(run, model.RunStatus.ANSWERED, message, now)

    def _on_shed(self, run: Run, message: wire.CoapMessage, now: float) -> None:
        """Handles a refusal of the backend server: no work was started."""
        self.board.counters[Count.SHED] += 1
        if message.payload.startswith(DRAINING_PAYLOAD):
            self.board.backend_draining_until = now + BACKEND_DRAINING_S
        else:
            self.board.admission.ramp.shed()
        self.release(run, None)
        run.excluded.add(self._own_peer())
        if self._needs_flow_server(run):
            self.refuse(run, "shed", now, message.max_age_s or 1)
            return
        if not run.repeatable:
            self.claims.release(run, now)
        self._redispatch(run, now)

    def _redispatch(self, run: Run, now: float) -> None:
        run.state = RunState.NEW
        if run.is_for_peer:
            self._unregister(run)
            self.outcomes.return_to_peer(run, now)
        else:
            self.dispatch(run, now)

    def retry(self, run: Run, now: float) -> None:
        """Runs a repeatable request at another backend server."""
        self.board.counters[Count.RETRIED] += 1
        self.board.record_decision(run, "retried", "faster elsewhere", now)
        run.may_give_up = False
        self._redispatch(run, now)

    def finish(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Ends a run and reports its outcome to all its origins."""
        if run.state is RunState.DONE:
            return
        self.release(run, None)
        self._unregister(run)
        self.outcomes.complete(run, status, response, now)

    def release(self, run: Run, service_s: float | None) -> None:
        """Frees the slot or the queue entry of a run.

        Args:
            run: The run.
            service_s: How long the run took, seconds; None if that says
                nothing about the speed of the backend server.
        """
        self.board.started.pop((run.caller, run.request.token), None)
        if run.state is RunState.QUEUED:
            self.board.admission.remove(run)
        if run.holds_slot:
            run.holds_slot = False
            self.board.admission.release_slot(run.kind, service_s)

    def start_queued(self, now: float) -> None:
        """Gives free slots to queued runs; refuses those that are too late."""
        while True:
            job, late = self.board.admission.next_job(now)
            for refused in late:
                self._refuse_job(refused, "deadline", now)
            if not isinstance(job, Run):
                return
            self._begin(job, now)

    def _delegate_queued(self, now: float) -> None:
        """Delegates queued runs to peers with free slots."""
        for job in self.board.admission.queued_jobs():
            if not isinstance(job, Run) or job.is_for_peer:
                continue
            if self._needs_flow_server(job) or job.request.block1 is not None:
                continue
            if not self.delegate(job, False, now):
                return
            self.board.admission.remove(job)

    def tick(self, now: float) -> None:
        """Ends overdue runs, retries slow ones, and fills free slots."""
        for run in list(self.board.runs.values()):
            if run.state is RunState.STARTED:
                self._check_started(run, now)
            elif run.state is not RunState.DONE and now >= run.deadline:
                self._on_deadline(run, now)
        self.start_queued(now)
        self._delegate_queued(now)
        self.outcomes.expire(now)
        self.board.witness.expire(now)

    def _on_deadline(self, run: Run, now: float) -> None:
        if run.state in (RunState.FENCING, RunState.ASKING):
            self.finish(run, model.RunStatus.UNKNOWN, None, now)
        elif run.state in (RunState.QUEUED, RunState.DELEGATED):
            self.refuse(run, "deadline", now)

    def _check_started(self, run: Run, now: float) -> None:
        elapsed = now - run.started_at
        if now >= run.deadline:
            self.board.admission.ramp.timed_out()
            self._cancel(run, now)
            run.refusal = "deadline"
            self.finish(run, model.RunStatus.UNKNOWN, None, now)
            return
        if (
            not run.repeatable
            or elapsed < MIN_EXECUTION_S
            or not run.may_give_up
        ):
            return
        if self._needs_flow_server(run) or not self.is_faster_elsewhere(
            run, now
        ):
            return
        self._cancel(run, now)
        run.excluded.add(self._own_peer())
        self._retry_or_report(run, now)

    def is_faster_elsewhere(self, run: Run, now: float) -> bool:
        """Tells whether a retry at a peer would likely be answered sooner.

        Compares the elapsed time of the run with the service time of the
        fastest peer that has a free slot.
        """
        candidates = self.loads.request_candidates(now, run.excluded)
        fastest = min(
            (item.service_s for item in candidates if item.free > 0),
            default=math.inf,
        )
        is_slow = now - run.started_at > SLOW_FACTOR * fastest
        return is_slow and run.deadline - now > REMAINING_FACTOR * fastest

    def _retry_or_report(self, run: Run, now: float) -> None:
        """Retries a run, or reports a timeout to the peer that delegated it.

        Only the agent that owns the flow decides on retries.
        """
        if run.is_for_peer:
            self.finish(run, model.RunStatus.TIMED_OUT, None, now)
        else:
            self.retry(run, now)

    def _cancel(self, run: Run, now: float) -> None:
        """Cancels a run at the local backend server and frees its slot."""
        self.board.outbox.append(
            model.SendBackend(
                run.caller,
                wire.reset_for(run.request.mid),
                now + SEND_TIMEOUT_S,
            )
        )
        self.release(run, now - run.started_at)
