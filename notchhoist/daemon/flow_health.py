"""The health of an opaque-flow daemon, in the response of ``/health``."""

import notchhoist
from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.balancer.readiness import age_s, state_sources
from notchhoist.flows.published.problems import count_problems

Row = dict[str, object]
Node = BalancerNode | AgentNode


def health(node: Node, name: str, zone: str, now: float) -> Row:
    """Returns the health of a daemon.

    Agents read no configuration, so their revision is None.

    Args:
        node: Node of the daemon.
        name: Name of its host.
        zone: Its availability zone.
        now: Runtime clock, seconds.
    """
    row: Row = {
        "name": name,
        "zone": zone,
        "path": "opaque",
        "version": notchhoist.__version__,
        "uptime_s": age_s(now, node.board.started_at),
        "ready": node.is_ready,
        "not_ready": node.board.not_ready or "",
        "not_ready_s": round(node.readiness.not_ready_s(now), 3),
        "stopping": node.board.stopping,
    }
    if isinstance(node, AgentNode):
        return row | {"role": "agent", "revision": None, "refused": ""}
    board, membership = node.board, node.synchronizer.membership
    texts, entries = count_problems(board)
    row |= {
        "role": "balancer",
        "revision": board.table.version if board.table else 0,
        "refused": board.refused,
        "not_understood": texts,
        "entries_skipped": entries,
        "reads_store": membership.is_reader(now),
        "isolated": board.isolated,
    }
    return row | state_sources(board, membership, now)
