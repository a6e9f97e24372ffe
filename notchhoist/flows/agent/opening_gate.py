"""An agent's admission control for new flows.

It enforces limits that no balancer can enforce alone. A server in an evacuated
availability zone and a draining server get no new flows, not even from
balancers that have not learnt of it, and a cold server gets no more than its
cold bound. A refused flow has reached no server, so the balancer offers it
elsewhere at once.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.slow_start import (
    WINDOW_S,
    SlidingWindowCounter,
    cold_limit,
    startup_limit,
)
from notchhoist.flows.model.messages import ServerState
from notchhoist.flows.model.revisions import era_of

CLOSED_PAUSE_S = 0.5
"""How long a balancer offers no flow to a server that gets none, seconds; by
then it has learnt of the evacuation or the drain itself."""

CUTOFF_SHARE = 0.5
"""Share of the time limit of an evacuation after which flows that have not
opened yet are refused too, and of the time limit of a drain after which new
flows are refused. The rest allows for the delay of the report to the agent."""

DEFER_MAX_S = 0.02
"""How long an agent that has just started defers a new flow until a balancer
reports the cold bound of the server, seconds: five round trips between zones,
and a third of the time after which the balancer offers the flow elsewhere."""


class OpeningLimits(Struct, frozen=True):
    """Limits for new flows, from the settings.

    Attributes:
        evacuate_s: Time after which an evacuated zone must get no new flow,
            seconds.
        cold_overage: Factor by which cold servers may exceed their cold bound.
        cold_slack: New flows a second that they may get in addition; None if
            there is no cold bound.
        drain_s: Time after which a draining server must get no new flow,
            seconds.
    """

    evacuate_s: float = 3.0
    cold_overage: float = 1.0
    cold_slack: float | None = None
    drain_s: float = 3.0


def _keep_draining(known: ServerState, state: ServerState) -> ServerState:
    """Keeps a known drain in the first report of a new era of the store.

    The balancer may have read only a backup from before the server announced
    its drain.
    """
    if era_of(state.revision) <= era_of(known.revision):
        return state
    both_known = known.born_ms and state.born_ms
    restarted = both_known and known.born_ms != state.born_ms
    if known.draining and not restarted:
        return replace(state, draining=True)
    return state


class OpeningGate(Struct, eq=False):
    """Decides on new flows by the server state that balancers report.

    Attributes:
        board: Shared state of the agent.
        limits: Limits from the settings.
        recent_openings: New flows that the server has got within the counting
            window.
    """

    board: AgentBoard
    limits: OpeningLimits = OpeningLimits()
    recent_openings: SlidingWindowCounter = field(
        default_factory=SlidingWindowCounter
    )

    def update_state(self, state: ServerState, now: float) -> bool:
        """Applies a reported state; tells whether the server has restarted.

        A report that is older than the known state is ignored.

        The server may have started together with its agent, while the report
        is of a previous server at the same address. After a loss of power,
        when the old entries were still published, cold servers got 23 new
        flows in a second where 9 were allowed. So a server counts as cold
        until its agent has run for the whole slow start.
        """
        board = self.board
        known = board.state
        if known is not None and state.revision < known.revision:
            return False
        if known is not None:
            state = _keep_draining(known, state)
        self._update_draining(state, now)
        since = now - state.evacuated_for_s if state.evacuated else None
        if board.evacuated_since is not None and since is not None:
            since = min(since, board.evacuated_since)
        if (since is None) != (board.evacuated_since is None):
            self._log_change(
                state, "evacuated" if state.evacuated else "in use"
            )
        board.evacuated_since = since
        board.state = state
        board.cold_until = max(
            board.cold_until,
            now + state.cold_for_s,
            board.started_at + state.bound_lasts_s,
        )
        if known is None or not state.born_ms or not known.born_ms:
            return False
        return state.born_ms != known.born_ms

    def _update_draining(self, state: ServerState, now: float) -> None:
        """Records whether the server drains, and since when that is known."""
        board = self.board
        if state.draining == (board.draining_since is not None):
            return
        board.draining_since = now if state.draining else None
        outcome = "leaving" if state.draining else "in use"
        self._log_change(state, outcome, "backend server")

    def _log_change(
        self, state: ServerState, outcome: str, event: str = "zone"
    ) -> None:
        self.board.records.record_decision(
            event,
            b"",
            outcome,
            revision=state.revision,
            evacuated_for_s=round(state.evacuated_for_s, 3),
        )

    def must_defer(self, has_cold_bound: bool) -> bool:
        """Tells whether to defer a new flow until a server state is reported.

        Args:
            has_cold_bound: The balancer offers it to a server that is in slow
                start and has a cold bound.
        """
        return has_cold_bound and self.board.state is None

    def note_backend_restart(self, now: float) -> None:
        """Records a restart of the server that the agent has detected.

        The published entry may not show the restart for a second or more.
        """
        state = self.board.state
        self.board.draining_since = None
        if state is not None:
            self.board.state = replace(state, draining=False)
            warm_at = now + state.bound_lasts_s
            self.board.cold_until = max(self.board.cold_until, warm_at)

    def pause_s(self, now: float, has_cold_bound: bool = False) -> float:
        """Returns for how long new flows are refused, seconds; 0 for not.

        Args:
            now: Runtime clock, seconds.
            has_cold_bound: See ``must_defer``.
        """
        closed_s = self.closed_pause_s(now)
        if closed_s:
            return closed_s
        limit = self._openings_limit(now, has_cold_bound)
        return (
            0.0 if limit is None else self.recent_openings.pause_s(limit, now)
        )

    def closed_pause_s(self, now: float) -> float:
        """Returns the pause if the server gets no new flow, else 0, seconds."""
        evacuated = self.board.evacuated_since is not None
        closed = evacuated or self.is_past_drain_cutoff(now)
        return CLOSED_PAUSE_S if closed else 0.0

    def is_past_drain_cutoff(self, now: float) -> bool:
        """Tells whether the server has drained too long to get a new flow.

        Balancers stop placing flows there once they have read of the drain;
        this check stops those that have not. In a release scenario of 12 s with
        balancers that ignore the drain, 108 new flows came after the time limit
        without this check and 0 with it.
        """
        since = self.board.draining_since
        cutoff_s = CUTOFF_SHARE * self.limits.drain_s
        return since is not None and now - since >= cutoff_s

    def refusal_reason(self) -> str:
        """Returns why new flows are refused, for the log."""
        if self.board.evacuated_since is not None:
            return "zone evacuated"
        if self.board.draining_since is not None:
            return "backend server leaves"
        return "cold server bears no more"

    def _openings_limit(self, now: float, has_cold_bound: bool) -> int | None:
        """Returns the limit of new flows in one counting window, or None."""
        slack = self.limits.cold_slack
        state = self.board.state
        if state is None:
            limited = has_cold_bound and slack is not None
            return max(1, int(slack or 0) - 1) if limited else None
        if not state.bound_per_s or now >= self.board.cold_until:
            return None
        in_first = (
            self.board.age_s(now) < WINDOW_S and not self.board.knows_all_flows
        )
        if in_first and slack is not None:
            overage = self.limits.cold_overage
            return startup_limit(state.bound_per_s, overage, slack)
        return cold_limit(state.bound_per_s)

    def note_opening(self, now: float) -> None:
        """Counts a new flow that is offered to the server."""
        self.recent_openings.record(now)

    def is_past_evacuation_cutoff(self, now: float) -> bool:
        """Tells whether the evacuation also refuses unopened flows."""
        since = self.board.evacuated_since
        cutoff_s = CUTOFF_SHARE * self.limits.evacuate_s
        return since is not None and now - since >= cutoff_s
