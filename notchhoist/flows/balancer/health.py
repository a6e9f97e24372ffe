"""Balancer controller that monitors the health of agents by their answers."""

from msgspec import Struct, field

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.balancer.liveness import HostChecker
from notchhoist.flows.balancer.lost_flows import LostFlows
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.model.notes import Load
from notchhoist.flows.model.records import Count
from notchhoist.flows.published.states import needs_agent_update, server_state

LOAD_FRESH_S = 0.5
"""An agent that was heard within this time is not probed for its load."""

PROBES_PER_S = 100
"""Maximum rate of load probes, also to thousands of servers. With the answers
they take 15 KB/s of the 29 KB/s available to control traffic."""

HEARD_RECENTLY_S = 0.1
"""An agent heard within this time is not probed on a retransmission."""

PROBE_EVERY_S = 0.15
"""Interval between probes of an agent that owes an answer, seconds."""

SUSPECT_AFTER_S = 0.15
"""Silence after a probe before an agent gets no new flows, seconds; 50 round
trips."""

STALL_S = 0.4
"""While agents owe answers, silence is evaluated every 0.15 s. An evaluation
that comes later than this, seconds, shows that this process was stalled: it was
paused or got no CPU time, possibly between reading answers and evaluating."""

LOST_AFTER_S = 0.9
"""Silence after a probe before an agent is declared lost, seconds: seven
unanswered probes, which a packet loss of 3% causes once in 10**9 times."""

LOW_BANDWIDTH_MBPS = 20
"""A few concurrent uploads of 40 to 240 KB saturate a link below this, Mbit/s;
answers of live agents are then lost for a second and more."""

LOW_BANDWIDTH_SUSPECTS = 2
LOW_BANDWIDTH_LOST_AFTER_S = 2.4
"""Silence before an agent is declared lost if this host's link has low
bandwidth and more than ``LOW_BANDWIDTH_SUSPECTS`` agents are suspected,
seconds."""

RESTART_WAIT_S = 3.0
"""How long to wait for an agent that has announced a restart, seconds."""


class AgentHealthMonitor(Struct, eq=False):
    """Keeps reported loads fresh and detects silent agents.

    An agent in use is probed only while packets are sent to it, so an idle
    fleet causes no probe traffic. An agent out of use is probed until it is
    heard again, since it gets no packets that would show its return.

    Attributes:
        board: State of the balancer.
        lost_flows: Ends the flows of lost servers.
        host_checker: Tells restarting agents from lost hosts.
        distances: Gets the round-trip times of probes.
        link_mbps: Bandwidth of this host's link, Mbit/s; 0 if unknown.
        awaiting_reply: Servers whose agents owe an answer, by host. Exactly
            these have an ``unanswered_probe_at``.
        heard_at: When any agent was last heard, seconds.
        last_tick_at: When silence was last evaluated, seconds.
        detection_resumes_at: Silence is ignored until then, seconds.
    """

    board: BalancerBoard
    lost_flows: LostFlows
    host_checker: HostChecker
    distances: Distances
    link_mbps: int = 0
    awaiting_reply: dict[str, Server] = field(default_factory=dict)
    heard_at: float = float("-inf")
    last_tick_at: float = float("inf")
    detection_resumes_at: float = float("-inf")

    def on_packet_sent(self, server: Server, now: float) -> None:
        """Handles a packet sent to an agent; probes it if its load is old."""
        interval_s = max(LOAD_FRESH_S, len(self.board.by_host) / PROBES_PER_S)
        if (
            server.unanswered_probe_at is None
            and now - server.heard_at > interval_s
        ):
            self._probe(server, now)

    def on_retransmission(self, server: Server, now: float) -> None:
        """Probes an agent, as a retransmission may show a lost packet."""
        if (
            server.unanswered_probe_at is None
            and now - server.heard_at > HEARD_RECENTLY_S
        ):
            self._probe(server, now)

    def probe(self, server: Server, now: float) -> bool:
        """Probes an agent unless it already owes an answer.

        Returns:
            Whether a probe was sent.
        """
        if server.unanswered_probe_at is not None:
            return False
        self._probe(server, now)
        return True

    def _probe(self, server: Server, now: float) -> None:
        """Probes an agent, which owes an answer from now on."""
        if server.unanswered_probe_at is None:
            server.unanswered_probe_at = now
        self.awaiting_reply[server.entry.host] = server
        self._send_probe(server, now)

    def probe_unavailable(self, now: float) -> None:
        """Probes agents that are out of use and owe no answer.

        Any answer puts them back into use, whatever took them out: a loss while
        their entry was unlisted, the announcement of a restart, or another
        service at their address. Their silence proves nothing new.
        """
        unavailable = [
            server
            for host, server in self.board.by_host.items()
            if (server.suspected or server.lost or server.other_service)
            and host not in self.awaiting_reply
        ]
        unavailable.sort(key=lambda server: server.probe_sent_at)
        for server in unavailable[:PROBES_PER_S]:
            self._send_probe(server, now)

    def _send_probe(self, server: Server, now: float) -> None:
        server.probe_sent_at = now
        state = None
        if needs_agent_update(self.board, server):
            state = server_state(self.board, server, now)
            server.state_sent_revision = state.revision
            server.state_sent_at = now
        message = LoadAsk(server.entry.slots, state)
        self.board.outbox.append(SendPeer(server.entry.host, message))

    def on_heard(
        self, host: str, load: Load, now: float, stopping: bool = False
    ) -> None:
        """Handles any message of an agent, all of which report its load.

        Args:
            host: Host of the agent.
            load: The load that it reports.
            now: Runtime clock, seconds.
            stopping: It announces that it stops.
        """
        server = self.board.by_host.get(host)
        if server is None:
            return
        self.heard_at = now
        owed_since = server.unanswered_probe_at
        if owed_since is not None and now - owed_since >= SUSPECT_AFTER_S:
            server.silent_from, server.silent_until = server.heard_at, now
        self._stop_awaiting(server)
        if server.suspected and not stopping:
            self.board.records.record_decision(
                "agent regained",
                b"",
                server.entry.server_id,
                server_host=host,
                lost=server.lost,
                listed=server.listed,
                silent_s=round(now - server.heard_at, 3),
            )
        server.heard_at = now
        server.refused_since = None
        server.suspected = stopping
        server.lost = False
        if not self.board.uses.own_offers:
            server.offered = 0
        server.record_load(load.flows, load.running, load.service_time_ms)

    def _stop_awaiting(self, server: Server) -> None:
        self.awaiting_reply.pop(server.entry.host, None)
        server.unanswered_probe_at = None

    def on_load_tell(self, host: str, message: LoadTell, now: float) -> None:
        """Handles an agent's answer to a load probe."""
        load = Load(message.flows, message.running, message.pace_ms)
        server = self.board.by_host.get(host)
        if server is not None and not message.stopping:
            self._record_round_trip(server, now)
        self.on_heard(host, load, now, message.stopping)
        if server is not None and message.stopping:
            server.restarting_until = now + RESTART_WAIT_S

    def _record_round_trip(self, server: Server, now: float) -> None:
        """Records the round-trip time of a probe that was sent only once.

        Probes are not numbered, so an answer to one of several cannot be timed.
        """
        sent_at = server.probe_sent_at
        if (
            server.unanswered_probe_at is not None
            and server.unanswered_probe_at == sent_at
        ):
            self.distances.add_sample(server, sent_at, now)

    def suspect(self, server: Server, now: float, reason: str) -> None:
        """Stops new flows to a server until its agent is heard again."""
        if server.unanswered_probe_at is None:
            self._probe(server, now)
        if server.suspected:
            return
        server.suspected = True
        self.board.records.counters[Count.SUSPECTED] += 1
        self.board.records.record_decision(
            "suspect",
            b"",
            server.entry.server_id,
            server_host=server.entry.host,
            reason=reason,
            silent_s=round(now - server.heard_at, 3),
        )

    def are_all_agents_silent(self, now: float) -> bool:
        """Tells whether agents owe answers and none was heard lately."""
        return (
            bool(self.awaiting_reply) and now - self.heard_at >= SUSPECT_AFTER_S
        )

    def _hears_enough_agents(self, now: float) -> bool:
        """Tells whether silence is caused by the agents and not by this host.

        A host whose own link is saturated or cut hears no agent; it must not
        reset the flows of all of them.
        """
        since = now - LOST_AFTER_S
        heard = sum(
            server.heard_at >= since for server in self.board.by_host.values()
        )
        silent = sum(
            server.unanswered_probe_at is not None
            and server.unanswered_probe_at <= since
            for server in self.awaiting_reply.values()
        )
        return silent <= heard

    def tick(self, now: float) -> None:
        """Repeats probes, suspects silent agents and declares lost ones."""
        self._detect_stall(now)
        detects = now >= self.detection_resumes_at
        trusts_silence = detects and self._hears_enough_agents(now)
        lost_after_s = self._lost_after_s()
        for host, server in list(self.awaiting_reply.items()):
            if self.board.by_host.get(host) is not server:
                self._stop_awaiting(server)
                continue
            if server.unanswered_probe_at is None:
                continue
            silence_s = now - server.unanswered_probe_at
            if detects and silence_s >= SUSPECT_AFTER_S:
                self.suspect(server, now, "no answer to probes")
                self.host_checker.start_check(server, now)
            if (
                trusts_silence
                and silence_s >= lost_after_s
                and self.host_checker.confirms_loss(server, now)
            ):
                self.declare_lost(server, now, "agent lost")
            if now - server.probe_sent_at >= PROBE_EVERY_S:
                self._probe(server, now)

    def _lost_after_s(self) -> float:
        """Returns the silence after which an agent is lost, seconds."""
        suspects = sum(item.suspected for item in self.awaiting_reply.values())
        low_bandwidth = 0 < self.link_mbps < LOW_BANDWIDTH_MBPS
        low_bandwidth = low_bandwidth and self.board.uses.narrow_patience
        if low_bandwidth and suspects > LOW_BANDWIDTH_SUSPECTS:
            return LOW_BANDWIDTH_LOST_AFTER_S
        return LOST_AFTER_S

    def _detect_stall(self, now: float) -> None:
        """Detects that this process was stalled.

        Answers that arrived meanwhile are still unread, so silence is not
        evaluated until they have been read.
        """
        stalled = now - self.last_tick_at > STALL_S
        if self.awaiting_reply and stalled:
            self.detection_resumes_at = now + PROBE_EVERY_S
        self.last_tick_at = now if self.awaiting_reply else float("inf")

    def declare_lost(
        self, server: Server, now: float, reason: str, **inputs: object
    ) -> None:
        """Ends the flows of a server that is down or unreachable.

        Args:
            server: The server.
            now: Runtime clock, seconds.
            reason: Reason for the log.
            inputs: Facts behind the decision, for the log.
        """
        flows = self.lost_flows.take(server)
        if not server.lost:
            server.lost = True
            self._record_loss(server, len(flows), reason, now)
        self.lost_flows.end(flows, server, now, reason, inputs)
        if not server.listed:
            self._stop_awaiting(server)

    def _record_loss(
        self, server: Server, flows: int, reason: str, now: float
    ) -> None:
        self.board.records.counters[Count.LOST] += 1
        self.board.records.record_decision(
            "agent lost",
            b"",
            server.entry.server_id,
            server_host=server.entry.host,
            reason=reason,
            listed=server.listed,
            silent_s=round(now - server.heard_at, 3),
            flows=flows,
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return (
            min(
                (
                    server.probe_sent_at
                    for server in self.awaiting_reply.values()
                ),
                default=float("inf"),
            )
            + PROBE_EVERY_S
        )
