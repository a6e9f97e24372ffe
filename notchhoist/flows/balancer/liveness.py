"""Balancer controller that tells a restarting agent from a lost host.

An agent may restart beside a backend server that keeps running with all its
flows. Its silence looks like the loss of its host, but a running host refuses
connections to a port without a listener, whereas a host that is powered off or
unreachable does not answer at all. Flows count as lost only if both the agent
and its host stay silent.
"""

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions.server_exit import has_exited
from notchhoist.flows.model.effects import CheckHost, ConnectResult
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.records import Count

CHECK_PAUSE_S = 0.02
"""Minimum time between two checks of one host, seconds. With a timeout of 0.25
s per check, three checks end before an agent's flows are declared lost after
0.9 s, so a single lost SYN does not decide."""

CONCURRENT_CHECKS_MAX = 32
"""Maximum number of concurrent checks: 100 a second while a zone is
unreachable, about 20 KB/s and half a millisecond of CPU time each on the
smallest host."""

AWAY_AFTER_REFUSAL_S = 1.0
"""How long an agent counts as restarting after its host refused a connection,
seconds; the next check ends well before."""


class HostChecker(Struct, eq=False):
    """Checks the hosts of silent agents.

    Attributes:
        board: State of the balancer.
        pending: Hosts with a check under way.
    """

    board: BalancerBoard
    pending: set[str] = field(default_factory=set)

    def start_check(self, server: Server, now: float) -> None:
        """Starts a check of a server's host unless one is pending or recent."""
        host = server.entry.host
        if host in self.pending or len(self.pending) >= CONCURRENT_CHECKS_MAX:
            return
        if now - server.checked_at < CHECK_PAUSE_S:
            return
        self.pending.add(host)
        self.board.outbox.append(CheckHost(host))

    def on_checked(self, host: str, reach: ConnectResult, now: float) -> None:
        """Handles the outcome of ``CheckHost``."""
        self.pending.discard(host)
        server = self.board.by_host.get(host)
        if server is None:
            return
        server.checked_at = now
        if reach is not ConnectResult.REFUSED:
            server.refused_since = None
            return
        if server.refused_since is None:
            server.refused_since = now
        if now > server.restarting_until:
            self.board.records.counters[Count.AGENTS_AWAY] += 1
            self.board.records.record_decision(
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
        """Tells whether a check since the agent fell silent confirms its loss.

        A host whose agent exited together with its server refuses connections
        just like one whose agent is restarting. Searches for other flows must
        not wait for an answer of such an agent.
        """
        if (
            server.unanswered_probe_at is None
            or server.checked_at < server.unanswered_probe_at
        ):
            return False
        if now > server.restarting_until:
            return True
        return has_exited(server, self.board.store_failed_at, now)
