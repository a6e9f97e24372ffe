"""Runs: from a request to its outcome.

A run gets a slot of the own backend server, waits for one, goes to a peer, or
is refused at once. A run that must not be repeated starts only with a grant
of its witnesses, and is called "not run" only with their fence.
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
from notchhoist.controllers.claims import ClaimKeeper
from notchhoist.controllers.exchanges import ExchangeKeeper
from notchhoist.controllers.flows import FlowKeeper
from notchhoist.controllers.loads import LoadKeeper
from notchhoist.controllers.moving import FlowMover
from notchhoist.controllers.outcomes import OutcomeKeeper

SEND_LEASE_S = 0.5
"""A datagram for the backend server is sent within this time, or dropped."""

SLOW_FACTOR = 3.0
"""A try that takes so many times a peer's usual time is given up for it."""

LEFT_FACTOR = 2.0
"""So many times the peer's usual time must be left until the deadline."""

MIN_TRY_S = 0.2
FIRST_OF_MANY = (0, True)

DRAINING_S = 3.0
"""How long a backend server's word that it is draining counts, seconds."""

DRAINING_PAYLOAD = b"draining"
SHED_CODE = "5.03"


@attrs.define(slots=False)
class RunKeeper:
    """Brings runs to their outcomes.

    Attributes:
        board: Everything that the agent knows.
        loads: The load of the peers.
        flows: The flows.
        exchanges: The message layer.
        claims: Grants and fences.
        moves: Moves of whole flows.
        outcomes: Who is told how a run ended.
        delegate: Gives a run to a peer; False where none can take it.
        delegate_assigned: Gives a later block of an upload to the peer that
            has the earlier ones; False where there is none.
        ask_outcome: Asks the holder of a grant how a run ended.
    """

    board: AgentBoard
    loads: LoadKeeper
    flows: FlowKeeper
    exchanges: ExchangeKeeper
    claims: ClaimKeeper
    moves: FlowMover
    outcomes: OutcomeKeeper
    delegate: Callable[[Run, bool, float], bool] = attrs.field(init=False)
    delegate_assigned: Callable[[Run, float], bool] = attrs.field(init=False)
    ask_outcome: Callable[[Run, model.Endpoint, float], None] = attrs.field(
        init=False
    )

    def submit(self, run: Run, now: float) -> None:
        """Takes a new run."""
        if not run.repeatable and self.outcomes.is_known(run, now):
            return
        self._register(run)
        self.dispatch(run, now)

    def _register(self, run: Run) -> None:
        self.board.runs[run.number] = run
        if run.identity:
            self.board.by_identity[run.identity] = run

    def dispatch(self, run: Run, now: float) -> None:
        """Finds a run its place: here, at a peer, in the queue, or none."""
        if self.delegate_assigned(run, now):
            return
        if self._needs_its_flow(run):
            self._dispatch_to_flow(run, now)
            return
        if self.moves.move_upload(run, now):
            self._drop(run)
            return
        self._announce_upload(run)
        takes = self.loads.takes_new_work(now)
        stays = self._own() not in run.excluded and takes
        if stays and self._enter(run, now):
            return
        if self.delegate(run, False, now):
            return
        if stays and not self.board.admission.is_full():
            self._enqueue(run, now)
        elif self.delegate(run, True, now):
            return
        elif stays:
            self._enqueue(run, now)
        else:
            self.refuse(run, "no_free_slot", now)

    def _announce_upload(self, run: Run) -> None:
        """Tells the homes of a flow that an upload begins here."""
        flow = self.board.flows.get(run.caller)
        if flow is not None and run.request.block1 == FIRST_OF_MANY:
            self.flows.pointers.announce([flow])

    def _needs_its_flow(self, run: Run) -> bool:
        """Tells whether state at one backend server belongs to the run."""
        request = run.request
        if request.observe is not None:
            return True
        flow = self.board.flows.get(run.caller)
        if flow is None or request.block1 is None:
            return False
        return request.block1[0] > 0

    def _dispatch_to_flow(self, run: Run, now: float) -> None:
        is_new = wire.is_observe_registration(run.request)
        if is_new and not self.loads.takes_new_work(now):
            self._move_stream(run, now)
        elif not self._enter(run, now):
            self._enqueue(run, now)

    def _move_stream(self, run: Run, now: float) -> None:
        if self.moves.move_stream(run, now):
            self._drop(run)
        else:
            self.refuse(run, "server_leaving", now)

    def _own(self) -> model.Endpoint:
        return self.board.identity.peer

    def _drop(self, run: Run) -> None:
        run.state = RunState.DONE
        self.board.runs.pop(run.number, None)
        if self.board.by_identity.get(run.identity) is run:
            del self.board.by_identity[run.identity]

    def _enter(self, run: Run, now: float) -> bool:
        if not self.board.admission.try_enter(run):
            return False
        self._begin(run, now)
        return True

    def _enqueue(self, run: Run, now: float) -> None:
        if not self.board.admission.can_meet(run, now):
            self.refuse(run, "deadline_too_near", now)
            return
        run.state = RunState.QUEUED
        refused = self.board.admission.enqueue(run)
        if refused is not None:
            self._refuse_job(refused, "queue_full", now)

    def enter_or_queue(self, run: Run, may_queue: bool, now: float) -> bool:
        """Takes a run for a peer; False where there is no slot for it."""
        is_begun = wire.is_block_continuation(run.request)
        if not is_begun and not self.loads.takes_new_work(now):
            return False
        if self.board.admission.free() <= 0 and not may_queue:
            return False
        self._register(run)
        if not self._enter(run, now):
            self._enqueue(run, now)
        return True

    def _begin(self, run: Run, now: float) -> None:
        """Starts a run that has a slot, or first claims its grant."""
        run.holds_slot = True
        run.started_at = now
        if run.repeatable:
            self.launch(run, now)
        else:
            run.state = RunState.CLAIMING
            self.claims.start(run, model.Purpose.GRANT, now)

    def launch(self, run: Run, now: float) -> None:
        """Hands a run to the backend server."""
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
                not_after=min(now + SEND_LEASE_S, run.deadline),
            )
        )

    def refuse(
        self, run: Run, reason: str, now: float, retry_after_s: int = 0
    ) -> None:
        """Gives a run up at once; "not run" is said only with a fence."""
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
        """Takes a backend server's response; False if it is for no run."""
        run = self.board.started.get((caller, message.token))
        if run is None or run.state is not RunState.STARTED:
            return False
        if message.is_confirmable:
            self._acknowledge_backend(run, message, now)
        if message.code.dotted == SHED_CODE:
            self._on_shed(run, message, now)
        else:
            self._on_answer(run, message, now)
        self.pump(now)
        return True

    def _acknowledge_backend(
        self, run: Run, message: wire.CoapMessage, now: float
    ) -> None:
        self.board.outbox.append(
            model.SendBackend(
                run.caller, wire.empty_ack(message.mid), now + SEND_LEASE_S
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
        """The backend server refused before it started any work."""
        self.board.counters[Count.SHED] += 1
        if message.payload.startswith(DRAINING_PAYLOAD):
            self.board.backend_draining_until = now + DRAINING_S
        else:
            self.board.admission.ramp.shed()
        self.release(run, None)
        run.excluded.add(self._own())
        if self._needs_its_flow(run):
            self.refuse(run, "shed", now, message.max_age_s or 1)
            return
        if not run.repeatable:
            self.claims.release(run, now)
        self._dispatch_again(run, now)

    def _dispatch_again(self, run: Run, now: float) -> None:
        run.state = RunState.NEW
        if run.is_for_peer:
            self._drop(run)
            self.outcomes.hand_back(run, now)
        else:
            self.dispatch(run, now)

    def retry(self, run: Run, now: float) -> None:
        """Tries a run elsewhere; only repeatable ones come here."""
        self.board.counters[Count.RETRIED] += 1
        self.board.note_decision(run, "retried", "faster elsewhere", now)
        run.may_give_up = False
        self._dispatch_again(run, now)

    def finish(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Tells everybody who waits how a run ended."""
        if run.state is RunState.DONE:
            return
        self.release(run, None)
        self._drop(run)
        self.outcomes.settle(run, status, response, now)

    def release(self, run: Run, service_s: float | None) -> None:
        """Frees what a run holds here."""
        self.board.started.pop((run.caller, run.request.token), None)
        if run.state is RunState.QUEUED:
            self.board.admission.remove(run)
        if run.holds_slot:
            run.holds_slot = False
            self.board.admission.leave(run.kind, service_s)

    def pump(self, now: float) -> None:
        """Gives free slots to requests that wait."""
        while True:
            job, late = self.board.admission.next_job(now)
            for refused in late:
                self._refuse_job(refused, "deadline", now)
            if not isinstance(job, Run):
                return
            self._begin(job, now)

    def _offer_queued(self, now: float) -> None:
        """Gives requests that wait here to peers that have free slots."""
        for job in self.board.admission.waiting():
            if not isinstance(job, Run) or job.is_for_peer:
                continue
            if self._needs_its_flow(job) or job.request.block1 is not None:
                continue
            if not self.delegate(job, False, now):
                return
            self.board.admission.remove(job)

    def tick(self, now: float) -> None:
        """Ends what is past its time, and fills free slots."""
        for run in list(self.board.runs.values()):
            if run.state is RunState.STARTED:
                self._check_started(run, now)
            elif run.state is not RunState.DONE and now >= run.deadline:
                self._on_deadline(run, now)
        self.pump(now)
        self._offer_queued(now)
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
            self._abandon(run, now)
            run.refusal = "deadline"
            self.finish(run, model.RunStatus.UNKNOWN, None, now)
            return
        if not run.repeatable or elapsed < MIN_TRY_S or not run.may_give_up:
            return
        if self._needs_its_flow(run) or not self.is_faster_elsewhere(run, now):
            return
        self._abandon(run, now)
        run.excluded.add(self._own())
        self._retry_or_tell(run, now)

    def is_faster_elsewhere(self, run: Run, now: float) -> bool:
        """Tells whether a peer would likely answer sooner from the start."""
        candidates = self.loads.request_candidates(now, run.excluded)
        fastest = min(
            (item.service_s for item in candidates if item.free > 0),
            default=math.inf,
        )
        is_slow = now - run.started_at > SLOW_FACTOR * fastest
        return is_slow and run.deadline - now > LEFT_FACTOR * fastest

    def _retry_or_tell(self, run: Run, now: float) -> None:
        """The agent that owns the flow decides on retries."""
        if run.is_for_peer:
            self.finish(run, model.RunStatus.TIMED_OUT, None, now)
        else:
            self.retry(run, now)

    def _abandon(self, run: Run, now: float) -> None:
        """Cancels a run at the backend server and frees its slot."""
        self.board.outbox.append(
            model.SendBackend(
                run.caller, wire.reset_for(run.request.mid), now + SEND_LEASE_S
            )
        )
        self.release(run, now - run.started_at)
