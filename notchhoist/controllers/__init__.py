"""Controllers of the CoAP path: they act on a blackboard, without I/O."""

from notchhoist.controllers.agent_node import AgentNode, make_agent
from notchhoist.controllers.balancer_node import BalancerNode, make_balancer
from notchhoist.controllers.node import TICK_S, Node

__all__ = [
    "TICK_S",
    "AgentNode",
    "BalancerNode",
    "Node",
    "make_agent",
    "make_balancer",
]
