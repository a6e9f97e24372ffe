"""Load reports between the agents of a service, and their liveness."""

import math

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, PeerState

REPORT_INTERVAL_S = 0.25
"""Time between two load reports, seconds."""

DEAD_AFTER_S = 1.0
"""Time without a load report after which a peer counts as dead, seconds."""

PING_INTERVAL_S = 1.0

BALANCER_ALIVE_S = 2.5
"""Time since its last message in which a balancer counts as alive, seconds."""

MS_PER_S = 1000
BALANCERS_PINGED = 3


@attrs.define
class LoadTracker:
    """Reports the load of this agent, and tracks the load of its peers.

    Attributes:
        board: State of the agent.
    """

    board: AgentBoard

    def is_draining(self) -> bool:
        """Returns whether the backend server is to get no new work.

        That is so while the agent stops, while its host is leaving, and while
        the server is not published as active.
        """
        board = self.board
        if board.stopping or board.identity.server in board.config.leaving:
            return True
        return not self._is_published_active()

    def _is_published_active(self) -> bool:
        service = self.board.service
        if service is None:
            return False
        server = service.server_of(self.board.identity.peer)
        return server is not None and server.state is model.ServerState.ACTIVE

    def takes_new_work(self, now: float) -> bool:
        """Returns whether the local backend server may get new work.

        It may not while it drains, nor for a few seconds after one of its
        responses said that it is draining.
        """
        return (
            not self.is_draining() and now >= self.board.backend_draining_until
        )

    def tick(self, now: float) -> None:
        """Sends load reports, and pings to balancers, when it is time."""
        if now < self.board.next_report_at:
            return
        self.board.next_report_at = now + REPORT_INTERVAL_S
        self.report(now)
        if now >= self.board.next_ping_at:
            self.board.next_ping_at = now + PING_INTERVAL_S
            self._ping_balancers()

    def report(self, now: float) -> None:
        """Sends the load of this agent to every other agent of the service."""
        board = self.board
        if board.service is None:
            return
        takes = self.takes_new_work(now)
        message = model.LoadReport(
            service=board.identity.service,
            server=board.identity.server,
            free=board.admission.free() if takes else 0,
            in_flight=board.admission.in_flight,
            queued=board.admission.queued(),
            leaving=not takes,
            incarnation=board.identity.incarnation,
            limit=board.admission.ramp.limit(),
            flows=len(board.flows),
            service_ms=int((board.admission.service_s or 0) * MS_PER_S),
        )
        for agent in board.known_agents():
            board.send(agent, message)

    def _ping_balancers(self) -> None:
        """Pings a few balancers, so that some are known to be alive.

        Datagrams to callers can then be sent through one of them.
        """
        board = self.board
        hosts = [host.peer for host in board.config.store.balancers]
        ranked = parts.rank_nodes(board.identity.server.encode(), hosts)
        for peer in ranked[:BALANCERS_PINGED]:
            board.send(peer, model.Ping(0))

    def on_report(
        self, sender: model.Endpoint, message: model.LoadReport, now: float
    ) -> None:
        """Stores a peer's load report."""
        self.board.peers[sender] = PeerState(message, now)

    def is_alive(self, agent: model.Endpoint, now: float) -> bool:
        """Returns whether an agent counts as alive.

        Just after the start of this agent no reports have arrived yet, so an
        agent without a report counts as alive for ``DEAD_AFTER_S`` from then.
        """
        if agent == self.board.identity.peer:
            return True
        state = self.board.peers.get(agent)
        if state is None:
            return now - self.board.config.started_at < DEAD_AFTER_S
        return now - state.heard_at < DEAD_AFTER_S

    def may_be_alive(self, agent: model.Endpoint, now: float) -> bool:
        """Returns whether an agent counts as alive or has never reported."""
        return agent not in self.board.peers or self.is_alive(agent, now)

    def incarnation_of(self, agent: model.Endpoint) -> int:
        """Returns the last known incarnation of a peer, or 0 if unknown."""
        state = self.board.peers.get(agent)
        return 0 if state is None else state.report.incarnation

    def record_sent(self, agent: model.Endpoint) -> None:
        """Counts work that was given to a peer since its last report."""
        state = self.board.peers.get(agent)
        if state is not None:
            state.sent_since += 1

    def request_candidates(
        self, now: float, excluded: set[model.Endpoint]
    ) -> list[parts.Candidate]:
        """Returns the peers that a request may be delegated to.

        Args:
            now: Runtime clock, seconds.
            excluded: Peers to leave out.
        """
        return [
            parts.Candidate(
                agent=agent,
                load=state.report.in_flight
                + state.report.queued
                + state.sent_since,
                capacity=state.report.limit,
                free=state.report.free - state.sent_since,
                service_s=state.report.service_ms / MS_PER_S or math.inf,
            )
            for agent, state in self._usable_peers(now)
            if agent not in excluded
        ]

    def flow_candidates(self, now: float) -> list[parts.Candidate]:
        """Returns the agents that may own a new flow, this agent among them."""
        candidates = [
            self._flow_candidate(agent, state.report)
            for agent, state in self._usable_peers(now)
        ]
        if self.takes_new_work(now):
            candidates.append(self._local_flow_candidate())
        return [item for item in candidates if item is not None]

    def _usable_peers(
        self, now: float
    ) -> list[tuple[model.Endpoint, PeerState]]:
        others = self.board.other_agents()
        return [
            (agent, state)
            for agent in others
            if (state := self.board.peers.get(agent)) is not None
            and now - state.heard_at < DEAD_AFTER_S
            and not state.report.leaving
            and state.report.server not in self.board.config.leaving
            and self._is_active(agent)
        ]

    def _is_active(self, agent: model.Endpoint) -> bool:
        service = self.board.service
        server = service.server_of(agent) if service else None
        return server is not None and server.state is model.ServerState.ACTIVE

    def _flow_candidate(
        self, agent: model.Endpoint, report: model.LoadReport
    ) -> parts.Candidate | None:
        service = self.board.service
        server = service.server_of(agent) if service else None
        if server is None:
            return None
        sent = self.board.peers[agent].sent_since
        return _weighted_candidate(server, report, report.flows + sent)

    def _local_flow_candidate(self) -> parts.Candidate | None:
        board = self.board
        service = board.service
        server = service.server_of(board.identity.peer) if service else None
        if server is None:
            return None
        report = model.LoadReport(
            service=board.identity.service,
            server=server.name,
            free=board.admission.free(),
            in_flight=board.admission.in_flight,
            queued=board.admission.queued(),
            leaving=False,
            incarnation=0,
            limit=board.admission.ramp.limit(),
            flows=len(board.flows),
            service_ms=0,
        )
        return _weighted_candidate(server, report, len(board.flows))

    def choose_balancer(
        self, preferred: model.Endpoint | None, now: float
    ) -> model.Endpoint | None:
        """Chooses the balancer that relays a datagram to a caller.

        Args:
            preferred: Balancer that last forwarded a datagram of the flow.
            now: Runtime clock, seconds.

        Returns:
            The preferred balancer if it was heard of within the last second,
            else the one most recently heard of. If that is too long ago, the
            preferred one or the first of the configuration; None if there is
            none.
        """
        seen = self.board.balancers_seen
        if preferred is not None and now - seen.get(preferred, -1e9) < 1.0:
            return preferred
        recent = [
            peer for peer, at in seen.items() if now - at < BALANCER_ALIVE_S
        ]
        if recent:
            return max(recent, key=lambda peer: seen[peer])
        hosts = self.board.config.store.balancers
        return preferred or (hosts[0].peer if hosts else None)


def _weighted_candidate(
    server: model.BackendServer, report: model.LoadReport, flows: int
) -> parts.Candidate:
    capacity = server.slots * server.weight
    busy = (report.in_flight + report.queued) / max(1, report.limit)
    return parts.Candidate(
        agent=server.agent,
        load=flows + busy * capacity,
        capacity=capacity,
        free=report.free,
    )
