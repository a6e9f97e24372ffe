"""An agent's controller that says which new flows its backend server may get.

It guards bounds that no balancer can keep alone: a server in an evacuated
availability zone and one that leaves get nothing new, also from balancers that
do not know yet, and a cold one no more than it bears. What comes back was
handed to nobody, so the balancer offers it elsewhere at once.
"""

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.bearing import (
    WINDOW_S,
    SlidingCount,
    cold_limit,
    first_limit,
)
from notchhoist.flows.model.messages import ServerState
from notchhoist.flows.model.revisions import era_of

CLOSED_PAUSE_S = 0.5
"""A balancer that sent a flow to a server that gets none leaves it alone for so
long, seconds; until then it has heard itself of the evacuation or the leave."""

LATE_SHARE = 0.5
"""Share of the bound of an evacuation after which flows that have not opened
yet are turned away too, and of the bound of a leave after which new ones are;
the rest is for the news on its way here."""

UNTOLD_S = 0.02
"""How long an agent that has just started keeps a new flow until a balancer has
told it what its server bears, seconds: five round trips between zones, and a
third of the time after which the balancer offers the flow elsewhere."""


class Limits(Struct, frozen=True):
    """Bounds from the settings.

    Attributes:
        evacuate_s: A zone must get nothing new after this, seconds.
        cold_overage: Factor up to which cold servers may get more.
        cold_slack: New flows that they may get besides in a second; None where
            there is no bound.
        drain_s: A server that leaves must get nothing new after this, seconds.
    """

    evacuate_s: float = 3.0
    cold_overage: float = 1.0
    cold_slack: float | None = None
    drain_s: float = 3.0


def _carried_over(known: ServerState, state: ServerState) -> ServerState:
    """Returns what counts of the first word in a new era of the platform.

    The balancer may have read a copy from before the server announced that it
    leaves, and nothing else.
    """
    if era_of(state.revision) <= era_of(known.revision):
        return state
    born_told = known.born_ms and state.born_ms
    reborn = born_told and known.born_ms != state.born_ms
    if known.draining and not reborn:
        return replace(state, draining=True)
    return state


class OpeningGate(Struct, eq=False):
    """Decides on new flows by what balancers have told.

    Attributes:
        board: What the agent knows.
        limits: Bounds from the settings.
        handed: New flows that the server has got lately.
    """

    board: AgentBoard
    limits: Limits = Limits()
    handed: SlidingCount = field(default_factory=SlidingCount)

    def take_state(self, state: ServerState, now: float) -> bool:
        """Takes what a balancer tells; tells whether the server began anew.

        Word from a balancer that knows less than another does is passed over.

        A server may have started with its agent and be taken for a former one
        at the same address: after a loss of power the entries of the dead were
        still there, and cold servers got 23 new flows in a second where 9 were
        allowed. So it counts as cold until the agent is older than that.
        """
        board = self.board
        known = board.state
        if known is not None and state.revision < known.revision:
            return False
        if known is not None:
            state = _carried_over(known, state)
        self._take_leave(state, now)
        since = now - state.evacuated_for_s if state.evacuated else None
        if board.evacuated_since is not None and since is not None:
            since = min(since, board.evacuated_since)
        if (since is None) != (board.evacuated_since is None):
            self._log(state, "evacuated" if state.evacuated else "in use")
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

    def _take_leave(self, state: ServerState, now: float) -> None:
        """Notes whether the server leaves, and since when that is known."""
        board = self.board
        if state.draining == (board.leaving_since is not None):
            return
        board.leaving_since = now if state.draining else None
        outcome = "leaving" if state.draining else "in use"
        self._log(state, outcome, "backend server")

    def _log(
        self, state: ServerState, outcome: str, event: str = "zone"
    ) -> None:
        self.board.records.decide(
            event,
            b"",
            outcome,
            revision=state.revision,
            evacuated_for_s=round(state.evacuated_for_s, 3),
        )

    def must_wait(self, bounded: bool) -> bool:
        """Tells whether to keep a new flow until somebody has told more.

        Args:
            bounded: Its balancer says that the server bears only so much.
        """
        return bounded and self.board.state is None

    def note_began_anew(self, now: float) -> None:
        """Takes account of a start of the server that the agent noticed.

        Its entry may not tell of it for a second and more.
        """
        state = self.board.state
        self.board.leaving_since = None
        if state is not None:
            self.board.state = replace(state, draining=False)
            warm_at = now + state.bound_lasts_s
            self.board.cold_until = max(self.board.cold_until, warm_at)

    def pause_s(self, now: float, bounded: bool = False) -> float:
        """Returns for how long no new flow is taken, seconds; 0 for none.

        Args:
            now: Runtime clock, seconds.
            bounded: See ``must_wait``.
        """
        closed_s = self.closed_pause_s(now)
        if closed_s:
            return closed_s
        most = self._most(now, bounded)
        return 0.0 if most is None else self.handed.pause_s(most, now)

    def closed_pause_s(self, now: float) -> float:
        """Returns for how long no flow is taken at all, seconds; 0 for none."""
        evacuated = self.board.evacuated_since is not None
        closed = evacuated or self.has_left(now)
        return CLOSED_PAUSE_S if closed else 0.0

    def has_left(self, now: float) -> bool:
        """Tells whether the server's leave is so old that it gets nothing new.

        Balancers stop placing there by what they have read. One that was not
        told is stopped here: in the release scenario, 12 s, with balancers that
        do not heed the leave, 108 new flows came after the bound without this
        line and 0 with it.
        """
        since = self.board.leaving_since
        late_s = LATE_SHARE * self.limits.drain_s
        return since is not None and now - since >= late_s

    def reason(self) -> str:
        """Returns why no new flow is taken, for the log."""
        if self.board.evacuated_since is not None:
            return "zone evacuated"
        if self.board.leaving_since is not None:
            return "backend server leaves"
        return "cold server bears no more"

    def _most(self, now: float, bounded: bool) -> int | None:
        """Returns how many new flows the server may get in one span."""
        slack = self.limits.cold_slack
        state = self.board.state
        if state is None:
            known = bounded and slack is not None
            return max(1, int(slack or 0) - 1) if known else None
        if not state.bound_per_s or now >= self.board.cold_until:
            return None
        first = self.board.age_s(now) < WINDOW_S and not self.board.sees_all
        if first and slack is not None:
            overage = self.limits.cold_overage
            return first_limit(state.bound_per_s, overage, slack)
        return cold_limit(state.bound_per_s)

    def note_handed(self, now: float) -> None:
        """Counts a new flow that is handed to the server."""
        self.handed.note(now)

    def is_overdue(self, now: float) -> bool:
        """Tells whether flows that have not opened must not open any more."""
        since = self.board.evacuated_since
        late_s = LATE_SHARE * self.limits.evacuate_s
        return since is not None and now - since >= late_s
