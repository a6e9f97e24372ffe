"""Delegation: requests that run at the backend server of another agent.

The agent that owns the flow still answers the caller. A peer without a free
slot refuses at once and has started nothing.
"""

import attrs

from notchhoist import model, parts, wire
from notchhoist.blackboards import (
    AgentBoard,
    Count,
    Delegation,
    RemoteOrigin,
    Run,
    RunState,
)
from notchhoist.controllers.exchanges import MessageLayer, upload_key
from notchhoist.controllers.load_tracker import LoadTracker
from notchhoist.controllers.run_dispatcher import RunDispatcher

RESEND_INTERVAL_S = 0.4
"""Time after which a message to a silent peer is sent again, seconds."""

OUTCOME_TIMEOUT_S = 0.5
"""Longest wait for the outcome from the holder of a grant, seconds."""

MAX_REFUSALS = 3
REPLY_CAPACITY = 4096


@attrs.define
class RunDelegator:
    """Delegates runs to peers and accepts runs of peers.

    Attributes:
        board: State of the agent.
        loads: Load and liveness of the peers.
        exchanges: Message layer, which makes runs.
        runs: Dispatches and ends the runs.
    """

    board: AgentBoard
    loads: LoadTracker
    exchanges: MessageLayer
    runs: RunDispatcher

    def delegate(self, run: Run, may_queue: bool, now: float) -> bool:
        """Delegates a run to a peer with a free slot.

        Args:
            run: The run.
            may_queue: If no peer has a free slot, the run may queue at the
                least loaded one.
            now: Runtime clock, seconds.

        Returns:
            False if no peer can take the run.
        """
        if not run.origins or isinstance(run.origins[0], RemoteOrigin):
            return False
        if len(run.excluded) >= MAX_REFUSALS:
            return False
        candidates = self.loads.request_candidates(now, run.excluded)
        chosen = parts.least_utilized_with_free_slot(candidates)
        if chosen is None and may_queue:
            chosen = min(
                candidates,
                key=lambda item: item.projected_utilization,
                default=None,
            )
        if chosen is None:
            return False
        self._assign_upload(run, chosen.agent)
        self.delegate_to(run, chosen.agent, may_queue, now)
        return True

    def _assign_upload(self, run: Run, agent: model.Endpoint) -> None:
        flow = self.board.flows.get(run.caller)
        if flow is not None and run.request.block1 is not None:
            flow.delegates[upload_key(run.request)] = agent

    def delegate_continuation(self, run: Run, now: float) -> bool:
        """Delegates a later block to the peer that took the earlier blocks.

        Returns:
            False if the upload is not delegated.
        """
        flow = self.board.flows.get(run.caller)
        block = run.request.block1
        if flow is None or block is None:
            return False
        key = upload_key(run.request)
        if block[0] == 0:
            flow.delegates.pop(key, None)
        agent = flow.delegates.get(key)
        if agent is None:
            return False
        self.delegate_to(run, agent, True, now)
        if not block[1]:
            del flow.delegates[key]
        return True

    def delegate_to(
        self, run: Run, agent: model.Endpoint, may_queue: bool, now: float
    ) -> None:
        """Delegates a run to the given peer."""
        self.board.counters[Count.DELEGATED] += 1
        self.loads.record_sent(agent)
        run.state = RunState.DELEGATED
        run.tries += 1
        message = model.RunRequest(
            service=self.board.identity.service,
            run=run.number,
            caller=run.caller,
            datagram=run.datagram,
            remaining_ms=max(1, int((run.deadline - now) * 1000)),
            may_queue=may_queue,
            may_give_up=run.may_give_up,
        )
        self._send_and_track(run, agent, message, now)

    def _send_and_track(
        self,
        run: Run,
        agent: model.Endpoint,
        message: model.RunRequest | model.AskOutcome,
        now: float,
    ) -> None:
        self.board.delegations[run.number] = Delegation(
            run=run,
            peer=agent,
            incarnation=self.loads.incarnation_of(agent),
            sent_at=now,
            message=message,
        )
        self.board.send(agent, message)

    def ask_outcome(self, run: Run, holder: model.Endpoint, now: float) -> None:
        """Queries the holder of a grant for the outcome of the request."""
        run.deadline = min(run.deadline, now + OUTCOME_TIMEOUT_S)
        message = model.AskOutcome(
            service=self.board.identity.service,
            run=run.number,
            identity=run.identity,
            attempt=run.attempt,
        )
        self._send_and_track(run, holder, message, now)

    def on_run_request(
        self, sender: model.Endpoint, message: model.RunRequest, now: float
    ) -> None:
        """Accepts a run of a peer, or refuses it at once for lack of a slot.

        A retransmission of the message gets the earlier reply again.
        """
        origin = RemoteOrigin(sender, message.run)
        if origin in self.board.remote_runs:
            return
        earlier = self.board.remote_replies.get(origin)
        if earlier is not None:
            self.board.send(sender, earlier)
            return
        try:
            request = wire.decode_coap(message.datagram)
        except model.CodecError:
            self.board.counters[Count.PEER_MALFORMED] += 1
            return
        run = self.exchanges.make_run(
            message.caller, request, message.datagram, origin, now
        )
        run.deadline = min(run.deadline, now + message.remaining_ms / 1000)
        run.may_give_up = message.may_give_up
        self.board.remote_runs[origin] = run
        self._accept_or_refuse(run, origin, message.may_queue, now)

    def _accept_or_refuse(
        self, run: Run, origin: RemoteOrigin, may_queue: bool, now: float
    ) -> None:
        is_running = run.identity in self.board.by_identity
        if is_running or run.identity in self.board.outcomes:
            self.runs.submit(run, now)
        elif not self.runs.enter_or_queue(run, may_queue, now):
            self.reply(origin, model.RunStatus.NO_SLOT, None, 1)

    def on_ask_outcome(
        self, sender: model.Endpoint, message: model.AskOutcome, now: float
    ) -> None:
        """Reports the outcome of a run of this agent, once it has ended."""
        origin = RemoteOrigin(sender, message.run)
        running = self.board.by_identity.get(message.identity)
        if running is not None:
            if origin not in running.origins:
                running.origins.append(origin)
            return
        outcome = self.board.outcomes.get(message.identity)
        if outcome is None:
            self.reply(origin, model.RunStatus.UNKNOWN, None, 1)
            return
        self.reply(
            origin, outcome.status, outcome.response, outcome.retry_after_s
        )

    def reply(
        self,
        origin: RemoteOrigin,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        retry_after_s: int,
    ) -> None:
        """Sends a peer the outcome of its run, and stores the reply."""
        self.board.remote_runs.pop(origin, None)
        message = model.RunReply(
            service=self.board.identity.service,
            run=origin.run,
            status=status,
            datagram=wire.encode_coap(response) if response else b"",
            retry_after_s=retry_after_s,
        )
        self.board.remote_replies[origin] = message
        if len(self.board.remote_replies) > REPLY_CAPACITY:
            self.board.remote_replies.popitem(last=False)
        self.board.send(origin.agent, message)

    def on_run_reply(
        self, sender: model.Endpoint, reply: model.RunReply, now: float
    ) -> None:
        """Processes the outcome that a peer reports for a run."""
        delegation = self.board.delegations.get(reply.run)
        if delegation is None or delegation.peer != sender:
            return
        del self.board.delegations[reply.run]
        run = delegation.run
        run.retry_after_s = max(1, reply.retry_after_s)
        if run.state is RunState.ASKING:
            self._on_outcome(run, reply, now)
        elif run.state is RunState.DELEGATED:
            self._on_result(run, delegation.peer, reply, now)

    def _on_outcome(self, run: Run, reply: model.RunReply, now: float) -> None:
        status = reply.status
        if status is model.RunStatus.ANSWERED:
            self._finish_answered(run, reply, now)
            return
        if status is not model.RunStatus.NOT_RUN:
            status = model.RunStatus.UNKNOWN
        self.runs.finish(run, status, None, now)

    def _finish_answered(
        self, run: Run, reply: model.RunReply, now: float
    ) -> None:
        try:
            response = wire.decode_coap(reply.datagram)
        except model.CodecError:
            self.board.counters[Count.PEER_MALFORMED] += 1
            self.runs.finish(run, model.RunStatus.UNKNOWN, None, now)
            return
        self.runs.finish(run, model.RunStatus.ANSWERED, response, now)

    def _on_result(
        self,
        run: Run,
        peer: model.Endpoint,
        reply: model.RunReply,
        now: float,
    ) -> None:
        run.excluded.add(peer)
        if reply.status is model.RunStatus.ANSWERED:
            self._finish_answered(run, reply, now)
        elif reply.status is model.RunStatus.NO_SLOT:
            self._on_no_slot(run, now)
        elif reply.status is model.RunStatus.TIMED_OUT:
            run.state = RunState.NEW
            self.runs.retry(run, now)
        else:
            self.runs.finish(run, reply.status, None, now)

    def _on_no_slot(self, run: Run, now: float) -> None:
        """Handles a refusal for lack of a slot.

        It does not count as a retry, because no work was started.
        """
        run.state = RunState.NEW
        block = run.request.block1
        if block is not None and block[0] > 0:
            self.runs.refuse(run, "server_leaving", now)
        else:
            self.runs.dispatch(run, now)

    def tick(self, now: float) -> None:
        """Resends messages to silent peers and handles runs of lost peers."""
        for number, delegation in list(self.board.delegations.items()):
            if delegation.run.state is RunState.DONE:
                del self.board.delegations[number]
            elif self._is_lost(delegation, now):
                self._on_lost(number, delegation, now)
            else:
                self._resend_if_due(delegation, now)

    def _resend_if_due(self, delegation: Delegation, now: float) -> None:
        if now - delegation.sent_at > RESEND_INTERVAL_S:
            delegation.sent_at = now
            self.board.send(delegation.peer, delegation.message)

    def _is_lost(self, delegation: Delegation, now: float) -> bool:
        if not self.loads.is_alive(delegation.peer, now):
            return True
        current = self.loads.incarnation_of(delegation.peer)
        return current != delegation.incarnation

    def _on_lost(self, number: int, delegation: Delegation, now: float) -> None:
        run = delegation.run
        if self._is_bound_to_peer(run):
            current = self.loads.incarnation_of(delegation.peer)
            delegation.incarnation = current
            self._resend_if_due(delegation, now)
            return
        del self.board.delegations[number]
        run.excluded.add(delegation.peer)
        if run.state is RunState.ASKING:
            self.runs.finish(run, model.RunStatus.UNKNOWN, None, now)
        elif run.repeatable:
            self.runs.retry(run, now)
        else:
            self.runs.refuse(run, "peer_lost", now)

    def _is_bound_to_peer(self, run: Run) -> bool:
        """Tells whether the peer's backend server alone has earlier blocks."""
        block = run.request.block1
        is_delegated = run.state is RunState.DELEGATED
        return is_delegated and block is not None and block[0] > 0
