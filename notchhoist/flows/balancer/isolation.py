"""Balancer controller that detects that this balancer is isolated.

A balancer that receives nothing from any agent cannot serve flows, while
routers still send it its share of them. If it receives nothing from other
balancers either, it is probably the one that is cut off. It then reports that
it is not ready until it receives a message again.
"""

from msgspec import Struct

from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.records import Count
from notchhoist.flows.published.view_sync import ViewSynchronizer

ASK_BALANCERS_AFTER_S = 0.15
"""Silence of all agents after which other balancers are queried, seconds; equal
to the silence after which a single agent is suspected."""

ISOLATED_AFTER_S = 0.3
"""Silence of the other balancers after which this one is isolated, seconds: two
queries and a hundred round trips. Routers take another second to react."""

SILENT_AGENTS_MIN = 3
"""Agents that must owe an answer before their silence is attributed to this
host; fewer if the fleet has fewer agents."""

ASK_BALANCERS_EVERY_S = 1.0
"""Interval between queries while other balancers answer, seconds."""


class IsolationDetector(Struct, eq=False):
    """Decides whether this balancer is isolated.

    Attributes:
        board: State of the balancer.
        health: Tells which agents are silent.
        synchronizer: Tells when another balancer was last heard.
        asked_at: When the other balancers were first queried, seconds, or None.
    """

    board: BalancerBoard
    health: AgentHealthMonitor
    synchronizer: ViewSynchronizer
    asked_at: float | None = None

    def tick(self, now: float) -> None:
        """Updates the decision.

        ``AgentHealthMonitor`` is due while agents owe answers, so this
        controller needs no ``due`` of its own.
        """
        uses = self.board.uses
        if not uses.isolation or not self._agents_are_silent(now):
            self._set_isolated(False, now)
            self.asked_at = None
            return
        if self.asked_at is None:
            self.asked_at = now
        if self.synchronizer.heard_at >= self.asked_at:
            self._set_isolated(False, now)
            if now - self.asked_at >= ASK_BALANCERS_EVERY_S:
                self.asked_at = now
                self.synchronizer.query_several(now)
            return
        self.synchronizer.query_several(now)
        if (
            now - self.asked_at >= ISOLATED_AFTER_S
            and self.synchronizer.knows_others()
        ):
            self._set_isolated(True, now)

    def _agents_are_silent(self, now: float) -> bool:
        since = now - ASK_BALANCERS_AFTER_S
        if self.health.heard_at > since:
            return False
        owing = sum(
            server.unanswered_probe_at is not None
            and server.unanswered_probe_at <= since
            for server in self.health.awaiting_reply.values()
        )
        return owing >= min(SILENT_AGENTS_MIN, max(1, len(self.board.by_host)))

    def _set_isolated(self, isolated: bool, now: float) -> None:
        board = self.board
        if board.isolated is isolated:
            return
        board.isolated = isolated
        if isolated:
            board.records.counters[Count.ISOLATED] += 1
        board.records.record_decision(
            "isolated" if isolated else "no longer isolated",
            b"",
            "not ready" if isolated else "ready",
            agents_silent_s=round(now - self.health.heard_at, 3),
            balancers_silent_s=round(now - self.synchronizer.heard_at, 3),
            agents_owing=len(self.health.awaiting_reply),
        )
