"""Load reports: what the agents of one service tell each other."""

import math

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, PeerState

REPORT_S = 0.25
"""Time between two load reports, seconds."""

DEAD_AFTER_S = 1.0
"""A peer that is silent this long is taken for dead, seconds."""

PING_S = 1.0
BALANCER_SEEN_S = 2.5
MILLISECONDS = 1000
BALANCER_PINGS = 3


@attrs.define
class LoadKeeper:
    """Reports this agent's load and weighs the peers'.

    Attributes:
        board: Everything that the agent knows.
    """

    board: AgentBoard

    def is_leaving(self) -> bool:
        """Tells whether the backend server takes no new work."""
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
        """Tells whether new work may go to the own backend server."""
        return (
            not self.is_leaving() and now >= self.board.backend_draining_until
        )

    def tick(self, now: float) -> None:
        """Reports the load when it is time."""
        if now < self.board.next_report_at:
            return
        self.board.next_report_at = now + REPORT_S
        self.report(now)
        if now >= self.board.next_ping_at:
            self.board.next_ping_at = now + PING_S
            self._ping_balancers()

    def report(self, now: float) -> None:
        """Tells every other agent of the service the own load."""
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
            service_ms=int((board.admission.service_s or 0) * MILLISECONDS),
        )
        for agent in board.known_agents():
            board.send(agent, message)

    def _ping_balancers(self) -> None:
        """Keeps a few balancers known as alive, for datagrams to callers."""
        board = self.board
        hosts = [host.peer for host in board.config.store.balancers]
        ranked = parts.rank_nodes(board.identity.server.encode(), hosts)
        for peer in ranked[:BALANCER_PINGS]:
            board.send(peer, model.Ping(0))

    def on_report(
        self, sender: model.Endpoint, message: model.LoadReport, now: float
    ) -> None:
        """Takes a peer's load report."""
        self.board.peers[sender] = PeerState(message, now)

    def is_alive(self, agent: model.Endpoint, now: float) -> bool:
        """Tells whether an agent is taken for alive.

        Nothing is known of the others just after a start; then they count as
        alive.
        """
        if agent == self.board.identity.peer:
            return True
        state = self.board.peers.get(agent)
        if state is None:
            return now - self.board.config.started_at < DEAD_AFTER_S
        return now - state.heard_at < DEAD_AFTER_S

    def may_be_alive(self, agent: model.Endpoint, now: float) -> bool:
        """Tells whether an agent is alive, or was never heard of."""
        return agent not in self.board.peers or self.is_alive(agent, now)

    def incarnation_of(self, agent: model.Endpoint) -> int:
        """Returns the last known incarnation of a peer, 0 for none."""
        state = self.board.peers.get(agent)
        return 0 if state is None else state.report.incarnation

    def note_sent(self, agent: model.Endpoint) -> None:
        """Counts a request that was given to a peer since its report."""
        state = self.board.peers.get(agent)
        if state is not None:
            state.sent_since += 1

    def request_candidates(
        self, now: float, excluded: set[model.Endpoint]
    ) -> list[parts.Candidate]:
        """Returns the peers that could take a request now."""
        return [
            parts.Candidate(
                agent=agent,
                load=state.report.in_flight
                + state.report.queued
                + state.sent_since,
                capacity=state.report.limit,
                free=state.report.free - state.sent_since,
                service_s=state.report.service_ms / MILLISECONDS or math.inf,
            )
            for agent, state in self._usable_peers(now)
            if agent not in excluded
        ]

    def flow_candidates(self, now: float) -> list[parts.Candidate]:
        """Returns the agents that a new flow could be placed at."""
        candidates = [
            self._flow_candidate(agent, state.report)
            for agent, state in self._usable_peers(now)
        ]
        if self.takes_new_work(now):
            candidates.append(self._own_flow_candidate())
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
        return _weighted(server, report, report.flows + sent)

    def _own_flow_candidate(self) -> parts.Candidate | None:
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
        return _weighted(server, report, len(board.flows))

    def return_balancer(
        self, preferred: model.Endpoint | None, now: float
    ) -> model.Endpoint | None:
        """Chooses the balancer that a datagram for a caller leaves by."""
        seen = self.board.balancers_seen
        if preferred is not None and now - seen.get(preferred, -1e9) < 1.0:
            return preferred
        recent = [
            peer for peer, at in seen.items() if now - at < BALANCER_SEEN_S
        ]
        if recent:
            return max(recent, key=lambda peer: seen[peer])
        hosts = self.board.config.store.balancers
        return preferred or (hosts[0].peer if hosts else None)


def _weighted(
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
