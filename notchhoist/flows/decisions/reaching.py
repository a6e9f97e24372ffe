"""What it is worth to stay in the own availability zone; pure functions.

Needed where zones are as far apart as a request takes. There an
attempt at a server of another zone costs as much as waiting for a server of the
own one, and a flow that is placed far pays its distance with every request.
Where a round trip is short against the work, constants decide.
"""

from msgspec import Struct

FAR_FLOWS = 0.25
"""How much fuller than the mean a server of the own zone may be before one of
another zone is taken, as a share of the mean of open flows."""

FAR_WAIT = 0.5
"""The same for requests: share of a service time that the own zone is worth,
about two crossings of 1.5 ms in 50 ms of work and the price of the bytes."""

SHORT_SHARE = 0.25
"""A round trip of at most this share of a service time is short: hardly any
caller notices it."""

MOST_FAR_FLOWS = 1.0
"""The highest value in place of ``FAR_FLOWS``: zones that differ by more than
that are to share their load, however far they are."""

MOST_BUSY = 0.95
"""Servers count as no busier than this; waits grow beyond all bounds."""

ONCE_TRIPS = 2
"""Round trips that a flow of one request pays: to open, and to ask."""

LONG_TRIPS = 10
"""The same for a flow of many requests, a few of which it is sure to carry."""

ACCEPT_WAIT_S = 0.06
"""An agent has at least this long to tell that its server accepted, seconds:
``SERVER_WAIT_S``, and what a balancer or an agent of a thin host may add."""

SERVER_WAIT_S = 0.025
"""How long an agent waits for its server, seconds."""

ACCEPT_TRIPS = 2
"""Round trips that an answer may take before it counts as lost."""


class FarCosts(Struct, frozen=True):
    """What a server of another zone must be better by.

    Attributes:
        flows: As a share of the mean of open flows.
        wait: In service times.
        extra_s: What a round trip there takes longer, seconds; 0 where that is
            short or not known.
    """

    flows: float = FAR_FLOWS
    wait: float = FAR_WAIT
    extra_s: float = 0.0

    @property
    def is_long(self) -> bool:
        """Whether the distance is to be reckoned with."""
        return self.extra_s > 0.0


USUAL_COSTS = FarCosts()


def far_costs(extra_s: float, pace_s: float, busy: float) -> FarCosts:
    """Returns what a server must be better by, for its distance.

    Args:
        extra_s: What a round trip there takes longer, seconds.
        pace_s: Service time, seconds; 0 if unknown.
        busy: Share of the slots that are taken.

    Examples:
        >>> far_costs(0.003, 0.05, 0.5) == USUAL_COSTS
        True
        >>> far_costs(0.0096, 0.015, 0.25).flows > FAR_FLOWS
        True
    """
    share = extra_s / pace_s if pace_s else 0.0
    if share <= SHORT_SHARE:
        return USUAL_COSTS
    flows = min(MOST_FAR_FLOWS, max(FAR_FLOWS, _fuller(share, busy)))
    wait = FAR_WAIT + ONCE_TRIPS * (share - SHORT_SHARE)
    return FarCosts(flows, wait, extra_s)


def _fuller(share: float, busy: float) -> float:
    """Returns how much more load costs as much waiting as a distance takes.

    Waits are taken to grow with the load as those of a single slot do that
    requests meet by chance.

    Args:
        share: Round trip as a share of a service time.
        busy: Share of the slots that are taken.
    """
    busy = min(MOST_BUSY, busy)
    if busy <= 0.0:
        return MOST_FAR_FLOWS
    wait = busy / (1 - busy) + share
    return wait / (1 + wait) / busy - 1


def wait_s(ahead: int, slots: int, pace_s: float) -> float:
    """Returns how long a request waits at a busy server, seconds.

    The requests that have a slot are half done on average.

    Args:
        ahead: Requests that are there.
        slots: Requests that the server works on at once.
        pace_s: Service time, seconds.
    """
    return max(0.0, ahead / max(1, slots) - 0.5) * pace_s


def accept_wait_s(round_trip_s: float) -> float:
    """Returns how long an agent has to tell of an acceptance, seconds.

    Examples:
        >>> accept_wait_s(0.003), accept_wait_s(0.05)
        (0.06, 0.125)
    """
    return max(ACCEPT_WAIT_S, SERVER_WAIT_S + ACCEPT_TRIPS * round_trip_s)
