"""Outcomes: who is told how a request ended, now and when it is asked again."""

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
from notchhoist.controllers.exchanges import ExchangeKeeper

OUTCOME_CAPACITY = 100_000
MAX_LATENCY_US = 600_000_000
NO_REASON = "outcome_not_known"

_COUNT_OF = {
    model.RunStatus.ANSWERED: Count.ANSWERED,
    model.RunStatus.NO_SLOT: Count.BUSY,
    model.RunStatus.NOT_RUN: Count.NOT_RUN,
    model.RunStatus.UNKNOWN: Count.UNKNOWN,
    model.RunStatus.TIMED_OUT: Count.UNKNOWN,
}

_REFUSAL_OF = {
    model.RunStatus.NO_SLOT: wire.Refusal.BUSY,
    model.RunStatus.NOT_RUN: wire.Refusal.NOT_RUN,
    model.RunStatus.UNKNOWN: wire.Refusal.UNKNOWN,
    model.RunStatus.TIMED_OUT: wire.Refusal.UNKNOWN,
}


@attrs.define
class OutcomeKeeper:
    """Tells outcomes and remembers those of once-only requests.

    Attributes:
        board: Everything that the agent knows.
        exchanges: The message layer.
        reply: Tells a peer how its run ended.
    """

    board: AgentBoard
    exchanges: ExchangeKeeper
    reply: Callable[
        [RemoteOrigin, model.RunStatus, wire.CoapMessage | None, int], None
    ] = attrs.field(init=False)

    def is_known(self, run: Run, now: float) -> bool:
        """Joins a run, or repeats the outcome, of the same identity."""
        running = self.board.by_identity.get(run.identity)
        if running is not None:
            running.origins.extend(run.origins)
            return True
        outcome = self.board.outcomes.get(run.identity)
        if outcome is None:
            return False
        is_new_try = outcome.attempt != run.attempt
        if is_new_try and outcome.status is model.RunStatus.NOT_RUN:
            return False
        for origin in run.origins:
            self._tell(origin, outcome, "repeated", now)
        return True

    def settle(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Tells everybody who waits how a run ended."""
        if response is not None:
            self._record_latency(run, now)
        self.board.note_decision(run, status.name.lower(), run.refusal, now)
        outcome = Outcome(run.attempt, status, response, now, run.retry_after_s)
        if run.identity:
            self._remember(run.identity, outcome)
        for origin in run.origins:
            self._tell(origin, outcome, run.refusal or NO_REASON, now)

    def hand_back(self, run: Run, now: float) -> None:
        """Tells the peer that a run was not started here.

        A copy of the request that had joined it gets "unknown": the peer may
        still run it.
        """
        unknown = Outcome(run.attempt, model.RunStatus.UNKNOWN, None, now)
        for origin in run.origins:
            if isinstance(origin, RemoteOrigin):
                self.reply(origin, model.RunStatus.NO_SLOT, None, 1)
            else:
                self._tell(origin, unknown, "handed_back", now)

    def _remember(self, identity: bytes, outcome: Outcome) -> None:
        self.board.outcomes[identity] = outcome
        if len(self.board.outcomes) > OUTCOME_CAPACITY:
            self.board.outcomes.popitem(last=False)

    def _record_latency(self, run: Run, now: float) -> None:
        histogram = self.board.latencies.get(run.kind)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, 2)
            self.board.latencies[run.kind] = histogram
        histogram.record_value(max(1, int((now - run.arrived_at) * 1e6)))

    def _tell(
        self, origin: Origin, outcome: Outcome, reason: str, now: float
    ) -> None:
        if isinstance(origin, RemoteOrigin):
            self.reply(
                origin, outcome.status, outcome.response, outcome.retry_after_s
            )
            return
        self.board.counters[_COUNT_OF[outcome.status]] += 1
        if outcome.response is not None:
            response = outcome.response
            self.exchanges.answer(
                origin,
                lambda request: wire.readdressed(response, request),
                now,
            )
            return
        refusal = _REFUSAL_OF[outcome.status]
        self.exchanges.answer(
            origin,
            lambda request: wire.refusal(
                request, refusal, reason, outcome.retry_after_s
            ),
            now,
        )

    def expire(self, now: float) -> None:
        """Forgets outcomes that are older than the witnesses' memory."""
        while self.board.outcomes:
            identity, outcome = next(iter(self.board.outcomes.items()))
            if now - outcome.at <= self.board.witness.lifetime_s:
                return
            del self.board.outcomes[identity]
