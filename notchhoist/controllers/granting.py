"""What becomes of a run once its grant or its fence is settled."""

import attrs

from notchhoist import model
from notchhoist.blackboards import ClaimState, Run, RunState
from notchhoist.controllers.running import RunKeeper

GRANT_LEASE_S = 1.0
"""A grant is used within this time of asking for it, seconds, or not."""


@attrs.define(slots=False)
class ClaimFollower:
    """Goes on with runs whose witnesses have spoken.

    Attributes:
        runs: The runs.
    """

    runs: RunKeeper

    def on_claim(self, state: ClaimState, won: bool, now: float) -> None:
        """Goes on with a run whose grant or fence is settled."""
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
        if not won and self._is_other_and_alive(state.holder, now):
            self._ask_holder(run, state.holder, now)
        else:
            self.runs.refuse(run, "no_grant", now)
        self.runs.pump(now)

    def _is_other_and_alive(
        self, holder: model.Endpoint | None, now: float
    ) -> bool:
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
        elif self._is_other_and_alive(state.holder, now):
            self._ask_holder(run, state.holder, now)
        else:
            self.runs.finish(run, model.RunStatus.UNKNOWN, None, now)
