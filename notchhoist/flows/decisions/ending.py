"""Whether a backend server has ended whose agent says nothing any more.

A host that is shut down in an orderly way refuses connections, and so does one
whose agent is being restarted beside a living server.
"""

from notchhoist.flows.decisions.completeness import RETURN_S
from notchhoist.flows.model.fleet import Server

LEFT_S = 3.0
"""A server that announced its end and whose entry has vanished has ended if its
host has refused connections for so long, seconds. It must be longer than an
agent takes to start on the thinnest host after a loss of power, and shorter
than searches wait for silent agents."""

GONE_S = 4.0
"""A server that announced nothing has ended if its host has refused connections
for so long after its entry vanished, seconds: longer than a killed process is
away."""

CHECKED_S = 1.0
"""How old the last refusal may be, seconds."""


def has_announced(server: Server) -> bool:
    """Tells whether a server has said that it leaves."""
    return server.entry.draining and not server.entry.withdrawn


def has_ended(server: Server, store_failed_at: float, now: float) -> bool:
    """Tells whether a server has ended together with its agent.

    Its entry has vanished and did not lapse in an outage of the store, and
    nobody listens at its host where its agent was.

    Examples:
        >>> from notchhoist.flows.model.fleet import ServerEntry
        >>> entry = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, False)
        >>> gone = Server(entry, 1, 0.0, unlisted_at=5.0, refused_since=5.0)
        >>> gone.checked_at = 9.0
        >>> has_ended(gone, 0.0, 9.0), has_ended(gone, 4.0, 9.0)
        (True, False)
        >>> has_ended(gone, 0.0, 10.5)  # Nobody has looked since.
        False

    Args:
        server: The server.
        store_failed_at: When the store last failed this balancer, seconds.
        now: Runtime clock, seconds.
    """
    if server.listed or server.refused_since is None:
        return False
    if now - server.checked_at > CHECKED_S:
        return False
    # What lapsed in an outage is back soon after it.
    since = max(server.refused_since, store_failed_at + RETURN_S)
    if has_announced(server):
        return now - since >= LEFT_S
    return now - max(since, server.unlisted_at) >= GONE_S
