"""State of a balancer (its blackboard)."""

from collections import OrderedDict

import attrs

from notchhoist import model, parts
from notchhoist.blackboards.common import ConfigBoard, Counters

HINT_CAPACITY = 200_000
"""Largest number of flows that a balancer keeps a hint for."""


@attrs.frozen
class BalancerIdentity:
    """Identity of a balancer, from its settings.

    Attributes:
        name: Name of its host.
        zone: Availability zone.
        peer: Peer endpoint of the balancer.
    """

    name: str
    zone: str
    peer: model.Endpoint


@attrs.define
class AgentHealth:
    """Health of an agent, as seen in the messages exchanged with it.

    Attributes:
        unanswered_since: Runtime clock of the first message to it since its
            last answer, seconds, or None.
        pinged_at: Runtime clock of the last ping, seconds.
        suspected: It counts as dead until it answers.
    """

    unanswered_since: float | None = None
    pinged_at: float = -1.0
    suspected: bool = False


@attrs.define
class BalancerBoard:
    """State of a balancer.

    Attributes:
        identity: Identity of the balancer.
        config: Configuration and state of its synchronization.
        hints: Last known owner of each flow, least recently used first.
        agents: Health of the agents that datagrams were forwarded to.
        pauses: Detects pauses of this process.
        stopping: A planned stop has begun.
        counters: Counts since the start.
        outbox: Effects of the current event or tick.
    """

    identity: BalancerIdentity
    config: ConfigBoard
    hints: OrderedDict[model.FlowKey, model.Endpoint] = attrs.Factory(
        OrderedDict
    )
    agents: dict[model.Endpoint, AgentHealth] = attrs.Factory(dict)
    pauses: parts.PauseDetector = attrs.Factory(
        lambda: parts.PauseDetector(threshold_s=1.0)
    )
    stopping: bool = False
    counters: Counters = attrs.Factory(Counters)
    outbox: list[model.Effect] = attrs.Factory(list)

    def remember_hint(self, flow: model.FlowKey, owner: model.Endpoint) -> None:
        """Stores the owner of a flow as a hint.

        Above the capacity the least recently used hint is dropped.
        """
        self.hints[flow] = owner
        self.hints.move_to_end(flow)
        if len(self.hints) > HINT_CAPACITY:
            self.hints.popitem(last=False)


def make_balancer_board(
    identity: BalancerIdentity,
    now: float,
    seeds: tuple[model.Endpoint, ...] = (),
) -> BalancerBoard:
    """Makes the state of a balancer that starts now."""
    config = ConfigBoard(
        store=parts.RevisionStore(),
        service="",
        zone=identity.zone,
        started_at=now,
        seeds=seeds,
    )
    return BalancerBoard(identity=identity, config=config)
