"""Which new flows wait at their balancer for a slot, and for how long.

The load it answers: a backlog, after a loss of power or in a burst, at servers
that work on one request each and differ in speed. Whoever is bound to a busy
server waits for whatever runs there, while another server is free sooner; which
one that is nobody knows before. So a flow that found no free slot stays unbound
and reserves with several agents, and the first that has a slot calls for it.

References:
    Ousterhout et al., "Sparrow: distributed, low latency scheduling", 2013.
"""

from collections.abc import Sequence

from notchhoist.base.draws import Draw
from notchhoist.flows.decisions.placing import median
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.wishes import TRY_S

BIND_LEFT_S = 0.35
"""A parked flow is bound so long before its caller's try ends, seconds: the
acceptance has to be back by then, and a few agents may keep silent."""

SHORT_PACES = 3.0
"""A flow waits at a server, not at its balancer, if that takes no longer, in
usual service times; as many requests as agents call ahead."""

TIMEOUT_SHARE = 0.5
"""Share of a request's timeout after which it no longer waits unbound."""


def bind_at(asked_since: float, timeout_s: float) -> float:
    """Returns when a flow that waits for a slot is bound, seconds.

    Examples:
        >>> round(bind_at(10.0, 5.4), 3), round(bind_at(10.0, 1.0), 3)
        (11.05, 10.15)

    Args:
        asked_since: When its caller began to wait, seconds.
        timeout_s: Longest time of its request, seconds; 0 if unknown.
    """
    most_s = min(TRY_S, TIMEOUT_SHARE * timeout_s) if timeout_s else TRY_S
    return asked_since + most_s - BIND_LEFT_S


def calls_for_parking(servers: Sequence[Server]) -> bool:
    """Tells whether flows of a service wait unbound for a slot.

    On servers that work on several requests at once a misplaced one waits for a
    share of a service time only.
    """
    return bool(servers) and all(item.entry.slots == 1 for item in servers)


def is_short(asked: Sequence[Server], servers: Sequence[Server]) -> bool:
    """Tells whether the wait at one of some servers is hardly worth a call.

    Servers should not run out of requests while balancers are called.

    Args:
        asked: Servers that had no free slot just now.
        servers: All servers of the service that take new flows.
    """
    usual_ms = usual_pace_ms(servers)
    return any(
        item.running * (item.pace_ms or usual_ms) <= SHORT_PACES * usual_ms
        for item in asked
    )


def usual_pace_ms(servers: Sequence[Server]) -> float:
    """Returns the median service time, ms; 1 where none is known."""
    return median([item.pace_ms for item in servers if item.pace_ms]) or 1.0


def first_free(servers: Sequence[Server], draw: Draw) -> Server:
    """Returns the server that is expected to answer one more request first.

    Args:
        servers: Servers that take new flows, at least one.
        draw: Random numbers in [0, 1), for ties.
    """
    usual_ms = usual_pace_ms(servers)
    return min(
        servers,
        key=lambda item: (
            (item.running + 1) * (item.pace_ms or usual_ms),
            draw(),
        ),
    )
