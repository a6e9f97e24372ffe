"""Whether a balancer may miss backend servers that hold flows.

A flow that every known agent denies is dead only if no other agent could hold
it. Servers that the platform publishes are known once its store has been read
after the flow's packet came. Two kinds of servers are not published although
they live: those whose entries lapsed while the store was away, and those that
a balancer which has just started never saw listed.
"""

from collections.abc import Sequence

from notchhoist.flows.model.fleet import Server

RETURN_S = 2.2
"""An entry that lapsed while the store was away is back within about 2 s of the
store's return; a tenth more for clocks and delays."""


LEAST_AWAY_S = 0.3
"""A process that ends is away for at least this long until it is started again
and answers, seconds."""


def saw_all_since_power(
    servers: Sequence[Server], started_at: float, placing_since: float
) -> bool:
    """Tells whether an agent has seen every flow of its server begin.

    Where every server of a service was still slow from its start when it was
    first seen, the whole service has started anew, and its flows are no older
    than the first balancer that could place one. An agent that had started by
    then has seen them all, and so has one that came a moment later: another
    before it could not have ended in between.

    Guards against trying a packet of each lost flow at every server of its
    service, while the same hosts have a whole service's callers to place.

    Args:
        servers: Known servers of the service.
        started_at: When the agent started, seconds.
        placing_since: When any balancer may first have placed a flow, seconds.
    """
    if started_at > placing_since + LEAST_AWAY_S:
        return False
    return bool(servers) and all(server.began_cold for server in servers)


def is_settled(whole_since: float, store_failed_at: float, now: float) -> bool:
    """Tells whether what lapsed before the list was read must be back on it.

    From then on a failing store hides nothing: a server that was listed once
    is kept when its entry lapses, and one that is new is told by the next
    confirmation, since it names every change in between.

    Examples:
        >>> is_settled(whole_since=0.0, store_failed_at=1.0, now=4.0)
        True
        >>> is_settled(whole_since=3.0, store_failed_at=1.0, now=4.0)
        False

    Args:
        whole_since: Since when every change to the list is known, seconds.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    return now - max(whole_since, store_failed_at) >= RETURN_S


def is_complete(
    servers: Sequence[Server],
    settled: bool,
    store_failed_at: float,
    now: float,
) -> bool:
    """Tells whether every living server of a service is among the known ones.

    Where all of them were still slow from their start when they were first
    seen, the whole service has started anew, and nothing older than that is
    left. This stays so when they have warmed up: balancers of 0.038 of a core
    start 2.4 s after a loss of power, servers are slow for 2 s, and the callers
    of dead flows had waited 3.3 s for their reset, 1.1 s longer than needed.
    Just after an outage that proves nothing: the list may hold the new ones
    alone, and those that lived on come back to it later.

    Args:
        servers: Known servers of the service.
        settled: The list was settled once; see ``is_settled``.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    if settled:
        return True
    if now - store_failed_at < RETURN_S:
        return False
    return bool(servers) and all(server.began_cold for server in servers)
