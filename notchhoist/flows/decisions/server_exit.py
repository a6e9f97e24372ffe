"""Whether a backend server with a silent agent has exited.

A refused connection alone is no proof: a host that is shut down in an orderly
way refuses connections, and so does one whose agent restarts beside a running
server.
"""

from notchhoist.flows.decisions.completeness import REANNOUNCE_S
from notchhoist.flows.model.fleet import Server

ANNOUNCED_EXIT_S = 3.0
"""A server that announced its drain and became unlisted has exited if its host
has refused connections for this long, seconds. This must be longer than an
agent takes to start on the host with the least CPU after a power loss, and
shorter than searches wait for silent agents."""

UNANNOUNCED_EXIT_S = 4.0
"""A server that announced nothing has exited if its host has refused
connections for this long after it became unlisted, seconds: longer than a
killed process takes to restart."""

REFUSAL_MAX_AGE_S = 1.0
"""Longest time since the last check of the host, seconds; an older refusal does
not count."""


def has_announced_drain(server: Server) -> bool:
    """Tells whether a server has announced that it drains.

    An entry that is treated as draining because it could not be read does not
    count.
    """
    return server.entry.draining and not server.entry.withdrawn


def has_exited(server: Server, store_failed_at: float, now: float) -> bool:
    """Tells whether a server has exited together with its agent.

    This is so if the server is unlisted, not only because of an outage of the
    store, and nothing listens at the agent's address on its host.

    Examples:
        >>> from notchhoist.flows.model.fleet import ServerEntry
        >>> entry = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, False)
        >>> exited = Server(entry, 1, 0.0, unlisted_at=5.0, refused_since=5.0)
        >>> exited.checked_at = 9.0
        >>> has_exited(exited, 0.0, 9.0), has_exited(exited, 4.0, 9.0)
        (True, False)
        >>> has_exited(exited, 0.0, 10.5)  # The last check is too old.
        False

    Args:
        server: The server.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    if server.listed or server.refused_since is None:
        return False
    if now - server.checked_at > REFUSAL_MAX_AGE_S:
        return False
    # Servers that became unlisted in a store outage are listed again soon.
    since = max(server.refused_since, store_failed_at + REANNOUNCE_S)
    if has_announced_drain(server):
        return now - since >= ANNOUNCED_EXIT_S
    return now - max(since, server.unlisted_at) >= UNANNOUNCED_EXIT_S
