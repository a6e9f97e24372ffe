"""Penalties for servers of remote availability zones; pure functions.

They matter where a round trip between zones takes about as long as a request.
There an attempt at a server of a remote zone costs as much as waiting for a
server of the local one, and a flow at a remote server pays the round trip with
every request. Where a round trip is short compared with the service time, the
penalties are constant.
"""

from msgspec import Struct

REMOTE_FLOWS_MARGIN = 0.25
"""How many more open flows than a remote server a local one may have before the
remote one is selected, as a share of the mean number of open flows."""

REMOTE_WAIT_MARGIN = 0.5
"""How much longer a request may wait at a local server, in service times. It
covers two one-way trips of 1.5 ms between zones at a service time of 50 ms, and
the cost of traffic between zones."""

SHORT_SHARE = 0.25
"""A round trip of at most this share of a service time is short: it hardly
changes the latency that callers see."""

REMOTE_FLOWS_MARGIN_MAX = 1.0
"""Upper bound of the margin in open flows: zones that differ by more share
their load, whatever the round trip between them is."""

UTILIZATION_MAX = 0.95
"""Upper bound of the slot utilization in the queueing model, since waiting
times diverge at 1."""

SINGLE_REQUEST_ROUND_TRIPS = 2
"""Round trips of a flow of one request: the handshake and the request."""

MULTI_REQUEST_ROUND_TRIPS = 10
"""Round trips that a flow of many requests is assumed to take at least."""

ACCEPT_WAIT_S = 0.06
"""Shortest time that an agent has to report its server's acceptance, seconds:
``SERVER_WAIT_S``, and the delay of a balancer or agent on a host with little
CPU."""

SERVER_WAIT_S = 0.025
"""How long an agent waits for its server, seconds."""

ACCEPT_ROUND_TRIPS = 2
"""Round trips after which an acceptance that has not arrived counts as lost."""


class RemotePenalty(Struct, frozen=True):
    """How much better a server of a remote zone must be than a local one.

    Attributes:
        flows: Margin in open flows, as a share of their mean number.
        wait: Margin in waiting time, in service times.
        extra_round_trip_s: How much longer a round trip to the zone takes,
            seconds; 0 if that is short or not known.
    """

    flows: float = REMOTE_FLOWS_MARGIN
    wait: float = REMOTE_WAIT_MARGIN
    extra_round_trip_s: float = 0.0

    @property
    def is_significant(self) -> bool:
        """Whether the round trip is long compared with a service time."""
        return self.extra_round_trip_s > 0.0


DEFAULT_PENALTY = RemotePenalty()


def remote_penalty(extra_s: float, pace_s: float, busy: float) -> RemotePenalty:
    """Returns the penalty for servers of a remote zone.

    Args:
        extra_s: How much longer a round trip to the zone takes, seconds.
        pace_s: Service time, seconds; 0 if unknown.
        busy: Slot utilization.

    Examples:
        >>> remote_penalty(0.003, 0.05, 0.5) == DEFAULT_PENALTY
        True
        >>> remote_penalty(0.0096, 0.015, 0.25).flows > REMOTE_FLOWS_MARGIN
        True
    """
    share = extra_s / pace_s if pace_s else 0.0
    if share <= SHORT_SHARE:
        return DEFAULT_PENALTY
    flows = min(
        REMOTE_FLOWS_MARGIN_MAX,
        max(REMOTE_FLOWS_MARGIN, _load_margin(share, busy)),
    )
    wait = REMOTE_WAIT_MARGIN + SINGLE_REQUEST_ROUND_TRIPS * (
        share - SHORT_SHARE
    )
    return RemotePenalty(flows, wait, extra_s)


def _load_margin(share: float, busy: float) -> float:
    """Returns the relative extra load that waits as long as a round trip takes.

    Waiting times are modelled as those of an M/M/1 queue.

    Args:
        share: Round trip as a share of a service time.
        busy: Slot utilization.
    """
    busy = min(UTILIZATION_MAX, busy)
    if busy <= 0.0:
        return REMOTE_FLOWS_MARGIN_MAX
    wait = busy / (1 - busy) + share
    return wait / (1 + wait) / busy - 1


def queueing_delay_s(ahead: int, slots: int, pace_s: float) -> float:
    """Returns how long a request waits at a busy server, seconds.

    Requests that hold a slot are assumed to be half done on average.

    Args:
        ahead: Requests that are running or queued at the server.
        slots: Slots of the server.
        pace_s: Service time, seconds.
    """
    return max(0.0, ahead / max(1, slots) - 0.5) * pace_s


def accept_wait_s(round_trip_s: float) -> float:
    """Returns how long an agent has to report an acceptance, seconds.

    Args:
        round_trip_s: Round-trip time to the agent, seconds.

    Examples:
        >>> accept_wait_s(0.003), accept_wait_s(0.05)
        (0.06, 0.125)
    """
    return max(ACCEPT_WAIT_S, SERVER_WAIT_S + ACCEPT_ROUND_TRIPS * round_trip_s)
