"""A balancer's controller that tells a restarting agent from a dead host.

An agent may be stopped and started beside a backend server that lives on with
all its flows. Its silence then looks like the loss of its host, but a host that
has power refuses a connection to a port where nobody listens; one without power
or behind a cut says nothing. Only silence of both kinds shows that flows are
lost.
"""

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions.ending import has_ended
from notchhoist.flows.model.effects import CheckHost, Reach
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.records import Count

CHECK_PAUSE_S = 0.02
"""Time between two checks of one host, seconds. With a wait of 0.25 s each,
three end before an agent's flows are given up after 0.9 s, so one lost opening
packet decides nothing."""

CONCURRENT_CHECKS_MAX = 32
"""Checks at one time: 100 a second where a zone is dark, about 20 KB/s and half
a millisecond of processor time each on the thinnest host."""

AWAY_AFTER_REFUSAL_S = 1.0
"""An agent whose host refused a connection counts as away for so long, seconds;
the next check ends long before."""


class HostChecker(Struct, eq=False):
    """Checks the hosts of silent agents.

    Attributes:
        board: What the balancer knows.
        pending: Hosts that are being checked.
    """

    board: BalancerBoard
    pending: set[str] = field(default_factory=set)

    def start_check(self, server: Server, now: float) -> None:
        """Begins a check unless one is under way or has just ended."""
        host = server.entry.host
        if host in self.pending or len(self.pending) >= CONCURRENT_CHECKS_MAX:
            return
        if now - server.checked_at < CHECK_PAUSE_S:
            return
        self.pending.add(host)
        self.board.outbox.append(CheckHost(host))

    def on_checked(self, host: str, reach: Reach, now: float) -> None:
        """Takes the outcome of ``CheckHost``."""
        self.pending.discard(host)
        server = self.board.by_host.get(host)
        if server is None:
            return
        server.checked_at = now
        if reach is not Reach.REFUSED:
            server.refused_since = None
            return
        if server.refused_since is None:
            server.refused_since = now
        if now > server.restarting_until:
            self.board.records.counters[Count.AGENTS_AWAY] += 1
            self.board.records.decide(
                "agent away",
                b"",
                "host refuses connections",
                server=server.entry.server_id,
                server_host=host,
                silent_s=round(now - server.heard_at, 3),
            )
        server.restarting_until = max(
            server.restarting_until, now + AWAY_AFTER_REFUSAL_S
        )

    def confirms_loss(self, server: Server, now: float) -> bool:
        """Tells whether a check since its silence began speaks for its loss.

        A host whose agent has ended with its server refuses connections like
        one whose agent is being restarted. Searches for other flows must not
        wait for its word.
        """
        if server.probed_at is None or server.checked_at < server.probed_at:
            return False
        if now > server.restarting_until:
            return True
        return has_ended(server, self.board.store_failed_at, now)
