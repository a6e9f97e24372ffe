"""State of agents and balancers of the CoAP path, shared by controllers."""

from notchhoist.blackboards.agent import (
    AgentBoard,
    AgentIdentity,
    Flow,
    OwnerQuery,
    PeerState,
    make_agent_board,
)
from notchhoist.blackboards.balancer import (
    AgentHealth,
    BalancerBoard,
    BalancerIdentity,
    make_balancer_board,
)
from notchhoist.blackboards.common import (
    DECISIONS_KEPT,
    ConfigBoard,
    Count,
    Counters,
    Decision,
)
from notchhoist.blackboards.requests import (
    ClaimState,
    Delegation,
    Exchange,
    LocalOrigin,
    Origin,
    Outcome,
    RemoteOrigin,
    Run,
    RunState,
)

__all__ = [
    "DECISIONS_KEPT",
    "AgentBoard",
    "AgentHealth",
    "AgentIdentity",
    "BalancerBoard",
    "BalancerIdentity",
    "ClaimState",
    "ConfigBoard",
    "Count",
    "Counters",
    "Decision",
    "Delegation",
    "Exchange",
    "Flow",
    "LocalOrigin",
    "Origin",
    "Outcome",
    "OwnerQuery",
    "PeerState",
    "RemoteOrigin",
    "Run",
    "RunState",
    "make_agent_board",
    "make_balancer_board",
]
