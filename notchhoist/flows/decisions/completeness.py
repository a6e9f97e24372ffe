"""Whether a balancer may be unaware of backend servers that hold flows.

A flow that every known agent reports absent has ended only if no other agent
could hold it. Servers that the platform publishes are known once its store has
been read after the flow's packet arrived. Two kinds of running servers are not
published: those that became unlisted in an outage of the store, and those that
a balancer which has just started has never seen listed.
"""

from collections.abc import Sequence

from notchhoist.flows.model.fleet import Server

REANNOUNCE_S = 2.2
"""A server that became unlisted in an outage of the store is listed again
within about 2 s of its recovery; a tenth more covers clock differences and
delays."""


RESTART_MIN_S = 0.3
"""Shortest time from the exit of a process until its successor answers,
seconds."""

CONTACT_S = 4.0
"""Default time after the start of a process during which the platform promises
nothing for flows that pass it, seconds."""

STARTUP_MAX_S = 1.0
"""Longest time from the start of a process until its age begins to count,
seconds."""


def is_unpromised(
    started_at: float, now: float, contact_s: float = CONTACT_S
) -> bool:
    """Tells whether nothing is promised yet for flows that pass a process.

    Args:
        started_at: When the process started, by its own count, seconds.
        now: Runtime clock, seconds.
        contact_s: How long after its start nothing is promised, seconds.
    """
    return now - started_at <= contact_s - STARTUP_MAX_S


def have_restarted(servers: Sequence[Server]) -> bool:
    """Tells whether every server was in slow start when it was first seen."""
    return bool(servers) and all(server.first_seen_cold for server in servers)


def began_after(server: Server, revision: int) -> bool:
    """Tells whether a server began after a revision.

    Only an entry of a server in slow start tells that. A warm server may have
    become unlisted in an outage, so that its entry was created anew.

    Args:
        server: A known server.
        revision: A revision of the platform's store.
    """
    return server.first_seen_cold and server.entry.created > revision


def has_left(server: Server, store_failed_at: float, now: float) -> bool:
    """Tells whether a server has gone by what the platform publishes.

    A living server that can reach the store is listed, but for a while after an
    outage of the store.

    Args:
        server: A known server.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    return not server.listed and now - store_failed_at >= REANNOUNCE_S


def presumably_saw_all_flows(
    servers: Sequence[Server],
    started_at: float,
    placing_since: float,
    now: float,
    contact_s: float = CONTACT_S,
) -> bool:
    """Tells whether an agent is presumed to have seen all flows of its server.

    If every server of a service was in slow start when it was first seen, the
    whole service has restarted, and its flows are no older than the first
    balancer that could place one. An agent that had started by then has seen
    them all. So has one that started at most ``RESTART_MIN_S`` later: no
    previous incarnation of it can have exited in between.

    This may be wrong: if all daemons were killed once more during the slow
    start, no balancer remembers that flows were placed before. Nothing that is
    left tells this from a single power loss but the servers themselves. So the
    presumption ends while the agent is still too young for the platform to
    promise anything for its server's flows; samples decide from then on.

    Without it a sample packet of each flow that has ended is sent to every
    server of its service, while the same hosts place all callers of the
    service.

    Args:
        servers: Known servers of the service.
        started_at: When the agent started, seconds.
        placing_since: Earliest time at which any known balancer may have placed
            a flow, seconds.
        now: Runtime clock, seconds.
        contact_s: How long after the start of an agent nothing is promised for
            flows of its server, seconds.
    """
    if not is_unpromised(started_at, now, contact_s):
        return False
    if started_at > placing_since + RESTART_MIN_S:
        return False
    return have_restarted(servers)


def is_list_stable(
    whole_since: float, store_failed_at: float, now: float
) -> bool:
    """Tells whether servers unlisted before the list was read are back.

    Once this holds, a later failure of the store hides no server: a server that
    was listed once is kept when it becomes unlisted, and a new one is reported
    with the next confirmation, which contains every change since the last.

    Examples:
        >>> is_list_stable(whole_since=0.0, store_failed_at=1.0, now=4.0)
        True
        >>> is_list_stable(whole_since=3.0, store_failed_at=1.0, now=4.0)
        False

    Args:
        whole_since: Time since when every change to the list is known,
            seconds.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    return now - max(whole_since, store_failed_at) >= REANNOUNCE_S


def is_complete(
    servers: Sequence[Server],
    settled: bool,
    store_failed_at: float,
    now: float,
) -> bool:
    """Tells whether every running server of a service is known.

    If all known servers were in slow start when they were first seen, the whole
    service has restarted, and no older server is left. This holds even after
    they have warmed up: balancers with 0.038 of a core start 2.4 s after a
    power loss, while servers are in slow start for 2 s. If only servers still
    in slow start counted, callers of flows that have ended would wait 3.3 s for
    their reset, 1.1 s longer than necessary.

    Just after an outage of the store this proves nothing: the list may contain
    only the new servers, and older ones that are still running return later.

    Args:
        servers: Known servers of the service.
        settled: The list has been stable once; see ``is_list_stable``.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    if settled:
        return True
    if now - store_failed_at < REANNOUNCE_S:
        return False
    return have_restarted(servers)
