"""A balancer's controller that notices when it is cut off from everybody.

A balancer that hears no agent can serve nobody, while routers go on handing it
its share of the flows. If it hears no other balancer either, the others are
likely to be better off: it says that it is not ready until it hears somebody.
"""

from msgspec import Struct

from notchhoist.flows.balancer.health import HealthKeeper
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.records import Count
from notchhoist.flows.published.sharing import ViewSharer

ASK_BALANCERS_AFTER_S = 0.15
"""Silence of every agent before other balancers are asked, seconds: when a
single agent would be suspected."""

ISOLATED_AFTER_S = 0.3
"""Silence of them, too, seconds: two questions and a hundred round trips.
Routers need a second more to look elsewhere."""

SILENT_AGENTS_MIN = 3
"""Agents that owe an answer before their silence says something of this host;
fewer where the fleet has fewer."""

ASK_BALANCERS_EVERY_S = 1.0
"""While other balancers answer they are asked this often, seconds."""


class IsolationDetector(Struct, eq=False):
    """Decides whether this balancer is cut off.

    Attributes:
        board: What the balancer knows.
        health: Knows which agents are silent.
        sharer: Knows which balancers are.
        asked_at: When the other balancers were first asked, or None.
    """

    board: BalancerBoard
    health: HealthKeeper
    sharer: ViewSharer
    asked_at: float | None = None

    def tick(self, now: float) -> None:
        """Looks again; ``HealthKeeper`` asks for ticks while agents owe."""
        uses = self.board.uses
        if not uses.isolation or not self._agents_are_silent(now):
            self._set_isolated(False, now)
            self.asked_at = None
            return
        if self.asked_at is None:
            self.asked_at = now
        if self.sharer.heard_at >= self.asked_at:
            self._set_isolated(False, now)
            if now - self.asked_at >= ASK_BALANCERS_EVERY_S:
                self.asked_at = now
                self.sharer.ask_widely(now)
            return
        self.sharer.ask_widely(now)
        if (
            now - self.asked_at >= ISOLATED_AFTER_S
            and self.sharer.knows_others()
        ):
            self._set_isolated(True, now)

    def _agents_are_silent(self, now: float) -> bool:
        since = now - ASK_BALANCERS_AFTER_S
        if self.health.heard_at > since:
            return False
        owing = sum(
            server.probed_at is not None and server.probed_at <= since
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
        board.records.decide(
            "isolated" if isolated else "no longer isolated",
            b"",
            "not ready" if isolated else "ready",
            agents_silent_s=round(now - self.health.heard_at, 3),
            balancers_silent_s=round(now - self.sharer.heard_at, 3),
            agents_owing=len(self.health.awaiting_reply),
        )
