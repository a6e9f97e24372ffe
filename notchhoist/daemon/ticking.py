"""Ticks of the node of a daemon: its periodic work."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from msgspec import Struct, field

from notchhoist.daemon.loop import Loop, Timer
from notchhoist.flows.model.effects import Effect

if TYPE_CHECKING:
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.node import BalancerNode

MIN_TICK_INTERVAL_S = 0.005
"""Least time between two ticks, seconds; each wake-up costs processor time."""

TICK_RETRY_S = 0.1
"""Time until the next tick after one that raised an exception, seconds."""

MAX_TICK_FAILURE_S = 2.0
"""Time for which every tick may raise an exception, seconds. Then the process
ends, to be started again with an empty memory: without ticks it answers
readiness checks but drops what callers and other processes wait for."""


def _drop(_: Iterable[Effect]) -> None:
    """Performs no effects."""


class Ticker(Struct, eq=False):
    """Calls the node when it is due.

    Attributes:
        loop: The event loop.
        node: The node.
        perform: Performs effects and schedules the next tick.
        timer: Timer of the next tick.
        failing_since: Since when every tick has raised an exception, seconds;
            infinite if the last one did not.
    """

    loop: Loop
    node: "BalancerNode | AgentNode"
    perform: Callable[[Iterable[Effect]], None] = _drop
    timer: Timer = field(default_factory=lambda: Timer(float("inf"), None))
    failing_since: float = float("inf")

    def tick(self) -> None:
        """Does the periodic work that is due."""
        self.timer = Timer(float("inf"), None)
        now = self.loop.clock()
        try:
            effects = self.node.tick(now)
        except Exception as error:  # Any type: there must be a next tick.
            self.failing_since = min(self.failing_since, now)
            if now - self.failing_since >= MAX_TICK_FAILURE_S:
                self.loop.fail(error)
            self._retry(error)
            return
        self.failing_since = float("inf")
        self.perform(effects)

    def schedule(self) -> None:
        """Schedules the next tick, but never postpones one that is scheduled.

        If it did, packets that arrive faster than ``MIN_TICK_INTERVAL_S`` would
        postpone an overdue tick again and again. After a power failure, agents
        with a packet every 3 ms reported, released and gave up nothing for
        0.1 s and longer, and neither did balancers; the searches that timed
        out meanwhile caused further packets.
        """
        soonest = self.loop.clock() + MIN_TICK_INTERVAL_S
        if self.timer.when <= soonest:
            return
        try:
            when = max(self.node.due(), soonest)
        except Exception as error:  # Any type: there must be a next tick.
            self._retry(error)
            return
        if when >= self.timer.when:
            return
        self.timer.cancel()
        self.timer = self.loop.call_at(when, self.tick)

    def _retry(self, error: Exception) -> None:
        """Schedules a tick after an exception unless one is, and reports it."""
        when = self.loop.clock() + TICK_RETRY_S
        if when < self.timer.when:
            self.timer.cancel()
            self.timer = self.loop.call_at(when, self.tick)
        self.loop.report("tick", error)
