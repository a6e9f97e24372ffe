"""Results of claims: starts, refuses or ends a run after its claim."""

import attrs

from notchhoist import model
from notchhoist.blackboards import ClaimState, Run, RunState
from notchhoist.controllers.run_dispatcher import RunDispatcher

GRANT_LEASE_S = 1.0
"""Validity of a grant or fence since its claim began, seconds.

A restarted witness relies on it: votes that it lost are void by the time it
asks its peers for records.
"""


@attrs.define(slots=False)
class ClaimResultHandler:
    """Continues runs whose claims are won or lost.

    Attributes:
        runs: Dispatches and ends the runs.
    """

    runs: RunDispatcher

    def on_claim(self, state: ClaimState, won: bool, now: float) -> None:
        """Continues a run whose claim is settled.

        Args:
            state: The claim.
            won: Whether a majority of the witnesses agreed.
            now: Runtime clock, seconds.
        """
        run = state.run
        if state.purpose is model.Purpose.FENCE:
            self._on_fence(state, won, now)
        elif run.state is not RunState.CLAIMING:
            return
        elif won and self._may_start(state, now):
            self.runs.launch(run, now)
        else:
            self._on_no_grant(state, won, now)

    def _may_start(self, state: ClaimState, now: float) -> bool:
        is_fresh = now - state.asked_at < GRANT_LEASE_S
        return is_fresh and now < state.run.deadline

    def _on_no_grant(self, state: ClaimState, won: bool, now: float) -> None:
        run = state.run
        self.runs.release(run, None)
        if not won and self._is_live_peer(state.holder, now):
            self._ask_holder(run, state.holder, now)
        else:
            self.runs.refuse(run, "no_grant", now)
        self.runs.start_queued(now)

    def _is_live_peer(self, holder: model.Endpoint | None, now: float) -> bool:
        if holder is None or holder == self.runs.board.identity.peer:
            return False
        return self.runs.loads.is_alive(holder, now)

    def _ask_holder(
        self, run: Run, holder: model.Endpoint | None, now: float
    ) -> None:
        if holder is None:
            return
        run.state = RunState.ASKING
        self.runs.ask_outcome(run, holder, now)

    def _on_fence(self, state: ClaimState, won: bool, now: float) -> None:
        run = state.run
        if run.state is not RunState.FENCING:
            return
        if won and now - state.asked_at < GRANT_LEASE_S:
            self.runs.finish(run, model.RunStatus.NOT_RUN, None, now)
        elif self._is_live_peer(state.holder, now):
            self._ask_holder(run, state.holder, now)
        else:
            self.runs.finish(run, model.RunStatus.UNKNOWN, None, now)
