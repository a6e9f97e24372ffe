"""Outcomes: reports how a request ended, also when it is sent again."""

from collections.abc import Callable

import attrs
from hdrh.histogram import HdrHistogram

from notchhoist import model, wire
from notchhoist.blackboards import (
    AgentBoard,
    Count,
    Origin,
    Outcome,
    RemoteOrigin,
    Run,
)
from notchhoist.controllers.exchanges import MessageLayer

OUTCOME_CAPACITY = 100_000
MAX_LATENCY_US = 600_000_000
DEFAULT_REASON = "outcome_not_known"

_COUNTERS = {
    model.RunStatus.ANSWERED: Count.ANSWERED,
    model.RunStatus.NO_SLOT: Count.BUSY,
    model.RunStatus.NOT_RUN: Count.NOT_RUN,
    model.RunStatus.UNKNOWN: Count.UNKNOWN,
    model.RunStatus.TIMED_OUT: Count.UNKNOWN,
}

_REFUSALS = {
    model.RunStatus.NO_SLOT: wire.Refusal.BUSY,
    model.RunStatus.NOT_RUN: wire.Refusal.NOT_RUN,
    model.RunStatus.UNKNOWN: wire.Refusal.UNKNOWN,
    model.RunStatus.TIMED_OUT: wire.Refusal.UNKNOWN,
}


@attrs.define
class OutcomeReporter:
    """Reports outcomes and stores those of non-repeatable requests.

    Attributes:
        board: State of the agent.
        exchanges: Message layer, which answers callers.
        reply: Sends a peer the outcome of a run: its origin, the status,
            the response if any, and the time until a retry, seconds.
    """

    board: AgentBoard
    exchanges: MessageLayer
    reply: Callable[
        [RemoteOrigin, model.RunStatus, wire.CoapMessage | None, int], None
    ] = attrs.field(init=False)

    def join_or_repeat(self, run: Run, now: float) -> bool:
        """Joins a run of the same identity, or repeats its stored outcome.

        A new attempt of a request that was not run is a new request.

        Returns:
            False if neither exists: the run has to be dispatched.
        """
        running = self.board.by_identity.get(run.identity)
        if running is not None:
            running.origins.extend(run.origins)
            return True
        outcome = self.board.outcomes.get(run.identity)
        if outcome is None:
            return False
        is_new_attempt = outcome.attempt != run.attempt
        if is_new_attempt and outcome.status is model.RunStatus.NOT_RUN:
            return False
        for origin in run.origins:
            self._notify(origin, outcome, "repeated", now)
        return True

    def complete(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Stores the outcome of a run and reports it to all its origins."""
        if response is not None:
            self._record_latency(run, now)
        self.board.record_decision(run, status.name.lower(), run.refusal, now)
        outcome = Outcome(run.attempt, status, response, now, run.retry_after_s)
        if run.identity:
            self._store(run.identity, outcome)
        for origin in run.origins:
            self._notify(origin, outcome, run.refusal or DEFAULT_REASON, now)

    def return_to_peer(self, run: Run, now: float) -> None:
        """Tells the peer that delegated a run that it was not started here.

        Retransmissions of the request that joined the run get the outcome
        "unknown", because the peer may still run it.
        """
        unknown = Outcome(run.attempt, model.RunStatus.UNKNOWN, None, now)
        for origin in run.origins:
            if isinstance(origin, RemoteOrigin):
                self.reply(origin, model.RunStatus.NO_SLOT, None, 1)
            else:
                self._notify(origin, unknown, "handed_back", now)

    def _store(self, identity: bytes, outcome: Outcome) -> None:
        self.board.outcomes[identity] = outcome
        if len(self.board.outcomes) > OUTCOME_CAPACITY:
            self.board.outcomes.popitem(last=False)

    def _record_latency(self, run: Run, now: float) -> None:
        histogram = self.board.latencies.get(run.kind)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, 2)
            self.board.latencies[run.kind] = histogram
        histogram.record_value(max(1, int((now - run.arrived_at) * 1e6)))

    def _notify(
        self, origin: Origin, outcome: Outcome, reason: str, now: float
    ) -> None:
        if isinstance(origin, RemoteOrigin):
            self.reply(
                origin, outcome.status, outcome.response, outcome.retry_after_s
            )
            return
        self.board.counters[_COUNTERS[outcome.status]] += 1
        if outcome.response is not None:
            response = outcome.response
            self.exchanges.answer(
                origin,
                lambda request: wire.encode_response_for(response, request),
                now,
            )
            return
        refusal = _REFUSALS[outcome.status]
        self.exchanges.answer(
            origin,
            lambda request: wire.refusal(
                request, refusal, reason, outcome.retry_after_s
            ),
            now,
        )

    def expire(self, now: float) -> None:
        """Removes outcomes older than the lifetime of witness records."""
        while self.board.outcomes:
            identity, outcome = next(iter(self.board.outcomes.items()))
            if now - outcome.at <= self.board.witness.lifetime_s:
                return
            del self.board.outcomes[identity]
