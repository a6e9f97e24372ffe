"""The blackboard of a balancer."""

from collections import OrderedDict

import attrs

from notchhoist import model, parts
from notchhoist.blackboards.common import ConfigBoard, Counters

HINT_CAPACITY = 200_000
"""Most flows that a balancer keeps a hint for."""


@attrs.frozen
class BalancerIdentity:
    """Who a balancer is, from its settings.

    Attributes:
        name: Name of its host.
        zone: Availability zone.
        peer: Its own peer endpoint.
    """

    name: str
    zone: str
    peer: model.Endpoint


@attrs.define
class AgentHealth:
    """What traffic shows of an agent.

    Attributes:
        unanswered_since: Runtime clock of the oldest message to it that
            nothing has answered, or None.
        pinged_at: Runtime clock of the last ping.
        suspected: It is taken for dead until it answers.
    """

    unanswered_since: float | None = None
    pinged_at: float = -1.0
    suspected: bool = False


@attrs.define
class BalancerBoard:
    """Everything that a balancer knows.

    Attributes:
        identity: Who it is.
        config: Configuration and platform.
        hints: Owner of each flow as last heard; bounded, least recent first.
        agents: Health of the agents that were sent to.
        pauses: Detector of gaps in the own clock.
        stopping: A planned stop has begun.
        counters: Counts since the start.
        outbox: Effects that the current event has brought about.
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
        """Notes where a flow lives; the least recent hint makes room."""
        self.hints[flow] = owner
        self.hints.move_to_end(flow)
        if len(self.hints) > HINT_CAPACITY:
            self.hints.popitem(last=False)


def make_balancer_board(
    identity: BalancerIdentity,
    now: float,
    seeds: tuple[model.Endpoint, ...] = (),
) -> BalancerBoard:
    """Makes the blackboard of a balancer that starts now."""
    config = ConfigBoard(
        store=parts.RevisionStore(),
        service="",
        zone=identity.zone,
        started_at=now,
        seeds=seeds,
    )
    return BalancerBoard(identity=identity, config=config)
