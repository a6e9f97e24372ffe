"""Forwards callers' datagrams from a balancer to agents, and answers back."""

import random

import attrs

from notchhoist import model, parts, wire
from notchhoist.blackboards import AgentHealth, BalancerBoard, Count

PING_AFTER_S = 0.25
"""Time without an answer after which an agent is pinged, seconds."""

SUSPECT_AFTER_S = 0.75
"""Time without an answer after which an agent is suspected, seconds."""

PING_INTERVAL_S = 0.5
HEALTH_CAPACITY = 10_000


@attrs.define
class FlowForwarder:
    """Forwards callers' datagrams to agents and relays their answers.

    It keeps hints about the owners of flows. They only shorten the path of a
    datagram: agents relay one that arrives at the wrong agent.

    Attributes:
        board: State of the balancer.
        rng: Random number generator.
    """

    board: BalancerBoard
    rng: random.Random

    def on_caller(self, event: model.CallerDatagram, now: float) -> None:
        """Forwards a caller's datagram to an agent.

        A datagram of an unknown service or above the largest size is counted
        and dropped.
        """
        board = self.board
        board.counters[Count.CALLER_DATAGRAMS] += 1
        service = board.config.store.services.get(event.service)
        if service is None or not service.servers:
            board.counters[Count.UNKNOWN_SERVICE] += 1
            return
        if len(event.datagram) > wire.MAX_DATAGRAM_BYTES:
            board.counters[Count.CALLER_MALFORMED] += 1
            return
        agent = self.route(service, event.caller)
        self._expect_answer(agent, now)
        board.outbox.append(model.SendPeer(agent, self.forward(event)))

    def forward(self, event: model.CallerDatagram) -> model.Forward:
        """Returns the message that carries a caller's datagram to an agent."""
        return model.Forward(
            service=event.service,
            caller=event.caller,
            datagram=event.datagram,
            revision=self.board.config.store.revision,
            hops=0,
            placed=False,
            balancer=self.board.identity.peer,
        )

    def route(
        self, service: model.Service, caller: model.Endpoint
    ) -> model.Endpoint:
        """Returns the agent that a caller's datagram is forwarded to.

        Args:
            service: Service that the caller addressed.
            caller: Endpoint of the caller.

        Returns:
            The last known owner of the flow if it is not suspected, else the
            first agent in the flow's rendezvous order that is not. If all are
            suspected, the first of that order.
        """
        hint = self.board.hints.get(model.FlowKey(service.name, caller))
        if hint is not None and not self._is_suspected(hint):
            return hint
        ranked = parts.rank_nodes(parts.flow_hash_key(caller), service.agents())
        alive = (agent for agent in ranked if not self._is_suspected(agent))
        return next(alive, ranked[0])

    def _is_suspected(self, agent: model.Endpoint) -> bool:
        health = self.board.agents.get(agent)
        return health is not None and health.suspected

    def _expect_answer(self, agent: model.Endpoint, now: float) -> None:
        health = self.board.agents.setdefault(agent, AgentHealth())
        if health.unanswered_since is None:
            health.unanswered_since = now

    def on_deliver(
        self, sender: model.Endpoint, message: model.Deliver, now: float
    ) -> None:
        """Relays an agent's datagram to the caller, and stores the owner."""
        self.record_answer(sender)
        service = self.board.config.store.services.get(message.service)
        if service is None:
            self.board.counters[Count.UNKNOWN_SERVICE] += 1
            return
        flow = model.FlowKey(message.service, message.caller)
        self.board.remember_hint(flow, message.owner)
        if message.datagram:
            self.board.outbox.append(
                model.SendCaller(
                    message.service, message.caller, message.datagram
                )
            )

    def record_answer(self, agent: model.Endpoint) -> None:
        """Records that an agent has answered, which ends any suspicion."""
        health = self.board.agents.get(agent)
        if health is not None:
            health.unanswered_since = None
            health.suspected = False

    def tick(self, now: float) -> None:
        """Pings agents without a recent answer, and suspects silent ones.

        All health records are discarded once there are more than
        ``HEALTH_CAPACITY``.
        """
        if self.board.pauses.observe(now):
            self._restart_timers(now)
        for agent, health in self.board.agents.items():
            self._check(agent, health, now)
        if len(self.board.agents) > HEALTH_CAPACITY:
            self.board.agents.clear()

    def _restart_timers(self, now: float) -> None:
        """Restarts the silence timers of all agents after a pause.

        During a pause of this process no answer could be received.
        """
        self.board.counters[Count.PAUSES] += 1
        for health in self.board.agents.values():
            if health.unanswered_since is not None:
                health.unanswered_since = now

    def _check(
        self, agent: model.Endpoint, health: AgentHealth, now: float
    ) -> None:
        if health.unanswered_since is None:
            return
        silence = now - health.unanswered_since
        if silence > SUSPECT_AFTER_S and not health.suspected:
            health.suspected = True
            self.board.counters[Count.AGENT_SUSPECTED] += 1
        if silence > PING_AFTER_S and now - health.pinged_at > PING_INTERVAL_S:
            health.pinged_at = now
            nonce = self.rng.getrandbits(31)
            self.board.outbox.append(model.SendPeer(agent, model.Ping(nonce)))
