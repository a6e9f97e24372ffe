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


STARTED_TOGETHER_MS = 300
"""An agent that started within this time of its backend server has had no
forerunner beside it, ms: a process that ends is away for longer before it is
started again and has loaded."""


def saw_every_flow(started_ms: int, born_ms: int) -> bool:
    """Tells whether an agent has seen every flow of its backend server begin.

    After a loss of power both start at once. Without this each flow that was
    lost had to be tried at every server of its service, which took more than a
    second for half of them where a service has 46.

    Times of day are compared, but those of one host only. One that lies far
    from the other proves nothing, whichever is later: a clock may have jumped.

    Examples:
        >>> saw_every_flow(started_ms=2_000_200, born_ms=2_000_000)
        True
        >>> saw_every_flow(2_005_000, 2_000_000), saw_every_flow(2_000_000, 0)
        (False, False)

    Args:
        started_ms: When the agent started, Unix ms; 0 if it has not told.
        born_ms: When the server started, as published, Unix ms; 0 if unknown.
    """
    if not started_ms or not born_ms:
        return False
    return abs(started_ms - born_ms) < STARTED_TOGETHER_MS


def is_complete(
    servers: Sequence[Server],
    known_since: float,
    store_failed_at: float,
    now: float,
) -> bool:
    """Tells whether every living server of a service is among the known ones.

    Where all of them were still slow from their start when they were first
    seen, the whole service has started anew, and nothing older than that is
    left. This stays so when they have warmed up: balancers of 0.038 of a core
    start 2.4 s after a loss of power, servers are slow for 2 s, and the callers
    of dead flows had waited 3.3 s for their reset, 1.1 s longer than needed.

    Examples:
        >>> is_complete([], known_since=0.0, store_failed_at=1.0, now=4.0)
        True
        >>> is_complete([], known_since=3.0, store_failed_at=1.0, now=4.0)
        False

    Args:
        servers: Known servers of the service.
        known_since: When this balancer first had the list, seconds.
        store_failed_at: When the store last failed it, seconds.
        now: Runtime clock, seconds.
    """
    if now - store_failed_at < RETURN_S:
        return False
    if now - known_since >= RETURN_S:
        return True
    return bool(servers) and all(server.began_cold for server in servers)
