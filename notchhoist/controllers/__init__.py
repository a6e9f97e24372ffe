"""Decisions: controllers that read and write a blackboard, without I/O."""

from notchhoist.controllers.nodes import (
    TICK_S,
    AgentNode,
    BalancerNode,
    Node,
    make_agent,
    make_balancer,
)

__all__ = [
    "TICK_S",
    "AgentNode",
    "BalancerNode",
    "Node",
    "make_agent",
    "make_balancer",
]
