"""Which backend server gets a new flow; pure functions."""

import zlib
from collections.abc import Collection, Mapping, Sequence

from notchhoist.base.draws import Draw
from notchhoist.flows.decisions.reaching import USUAL_COSTS, FarCosts
from notchhoist.flows.model.fleet import RequestKind, Server
from notchhoist.flows.model.mechanisms import ALL, Mechanisms

CHOICES = 8
"""Servers that a flow is placed among. Two give most of the balance there is to
gain; eight leave room for those that drain, are slow or silent, and cover the
services of ten servers that the target size has."""

NEAR_CHOICES = 4
"""How many of them are of the own zone, where it has so many."""

OUTLIER_RATIO = 1.5
"""A server that takes this many times the median is counted as smaller.
Service times of equal servers differ by less than that with the spread of
0.5 that the workloads have and the smoothing of the agents."""

UPLOAD_FAR_WAIT = 20.0
"""What the own zone is worth to an upload, in service times: its 40 KB cross
between zones, where its work takes 6 ms of an objective of 500 ms."""

WELL_SHARE = 0.5
"""A warm server that counts for less than this share of its slots is slow or
fails; being in the own zone does not speak for it."""

FLOWS_WEIGHT = 0.2
"""How much open flows count beside running requests for short flows: they
foretell requests that have not arrived."""

NEVER = float("-inf")

NO_COSTS: Mapping[str, FarCosts] = {}

LAPSED_S = 2.2
"""How long a server whose entry vanished may still be used, seconds: one that
lives announces itself again within about 2 s, and what is gone must get nothing
after 3 s."""

HEALTHY_SHARE = 0.5
"""Servers whose entry vanished are used while fewer than this share of a
service is listed: a store that was away loses entries of servers that live."""


def median(values: Sequence[float]) -> float:
    """Returns the lower median, 0 for no values.

    ``statistics`` is not imported: it takes 6 ms of a process's start.

    Examples:
        >>> median([40, 200, 60]), median([])
        (60, 0.0)
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def candidates(
    flow: bytes, servers: Sequence[Server], zone: str
) -> list[Server]:
    """Returns the servers that a flow is placed among, some of the own zone.

    Every balancer of a zone finds the same ones by rendezvous hashing, so one
    that does not know the flow asks a few agents of a large service, not all.

    Args:
        flow: Key of the flow.
        servers: All known servers of its service.
        zone: Availability zone of the balancer.

    References:
        Thaler and Ravishankar, "Using name-based mappings to increase hit
        rates", 1998; Mitzenmacher, "The power of two choices", 2001.
    """
    if len(servers) <= CHOICES:
        return list(servers)
    ranked = sorted(
        servers,
        key=lambda server: zlib.crc32(flow + server.entry.host.encode()),
    )
    near = [item for item in ranked if item.entry.zone == zone][:NEAR_CHOICES]
    far = [item for item in ranked if item not in near]
    return near + far[: CHOICES - len(near)]


def open_to_new(
    servers: Sequence[Server], evacuated: Collection[str]
) -> Sequence[Server]:
    """Returns the servers whose availability zones take new flows.

    Args:
        servers: All known servers of a service.
        evacuated: Zones that are to get nothing new.
    """
    if not evacuated:
        return servers
    return [item for item in servers if item.entry.zone not in evacuated]


def is_willing(server: Server, now: float) -> bool:
    """Tells whether a server takes new flows, as far as the platform tells."""
    lives = server.listed or now - server.unlisted_at < LAPSED_S
    return lives and not server.entry.draining


def usable(servers: Sequence[Server], now: float) -> list[Server]:
    """Returns the servers that may get a new flow, the best class only.

    Args:
        servers: Known servers of a service, in zones that take new flows.
        now: Runtime clock, seconds.
    """
    willing = [server for server in servers if is_willing(server, now)]
    listed = [server for server in willing if server.listed]
    if len(listed) >= HEALTHY_SHARE * len(willing):
        willing = listed
    willing = [server for server in willing if now >= server.full_until]
    answering = [server for server in willing if not server.suspected]
    return answering or [server for server in willing if not server.lost]


def capacity(server: Server, median_ms: float) -> float:
    """Returns how many requests a server works on at once, by its pace."""
    slots = float(max(1, server.entry.slots))
    if median_ms and server.pace_ms > OUTLIER_RATIO * median_ms:
        slots *= median_ms / server.pace_ms
    return slots


def choose(
    servers: Sequence[Server],
    kind: RequestKind,
    zone: str,
    now: float,
    draw: Draw,
    uses: Mechanisms = ALL,
    costs: Mapping[str, FarCosts] = NO_COSTS,
) -> Server | None:
    """Returns the server for a new flow, or None where there is none.

    A flow of many requests goes where the fewest flows are for the capacity; a
    flow of one request goes where it would wait least. Servers of the own zone
    win while they are not much fuller than the rest.

    Args:
        servers: Servers that may get it.
        kind: What the flow's requests are like.
        zone: Availability zone of the balancer.
        now: Runtime clock, seconds.
        draw: Random numbers in [0, 1), for ties.
        uses: Which mechanisms are in use.
        costs: What servers must be better by for their distance, by zone.
    """
    if not servers:
        return None
    if not uses.load:
        return servers[int(draw() * len(servers))]
    if kind is RequestKind.UPLOAD and not uses.uploads_near:
        kind = RequestKind.ONCE_ONLY
    median_ms = median([item.pace_ms for item in servers if item.pace_ms])
    if not uses.pace:
        median_ms = 0.0
    sizes = [capacity(server, median_ms) for server in servers]
    mean = sum(server.flows for server in servers) / sum(sizes)
    usual = _usual_flows(servers)
    best = None
    best_score = float("inf")
    for server, size in zip(servers, sizes, strict=True):
        far = server.entry.zone != zone or is_unwell(server, size, now)
        cost = costs.get(server.entry.zone, USUAL_COSTS)
        score, extra = _score(server, size, kind, cost, mean, usual)
        score += extra if far and uses.zone else 0.0
        score += draw() * 1e-6
        if score < best_score:
            best, best_score = server, score
    return best


def _score(
    server: Server,
    size: float,
    kind: RequestKind,
    cost: FarCosts,
    mean: float,
    usual: float,
) -> tuple[float, float]:
    """Returns how full a server is, and what it counts for more if far.

    Args:
        server: The server.
        size: Requests that it works on at once; see ``capacity``.
        kind: What the flow's requests are like.
        cost: What it must be better by if far.
        mean: Open flows for each request that the servers work on at once.
        usual: Mean of open flows at servers that were heard.
    """
    if kind is not RequestKind.IDEMPOTENT:
        upload = kind is RequestKind.UPLOAD
        extra = UPLOAD_FAR_WAIT if upload else cost.wait
        return _wait(server, size, mean), extra
    unheard = cost.is_long and server.heard_at == NEVER
    flows = max(server.flows, usual) if unheard else server.flows
    # Among idle servers too, a long way counts for something.
    least = 1.0 if cost.is_long else 0.0
    return (flows + 1) / size, cost.flows * max(mean, least)


def _usual_flows(servers: Sequence[Server]) -> float:
    """Returns the mean of open flows at servers that were heard, or 0."""
    heard = [item.flows for item in servers if item.heard_at > NEVER]
    return sum(heard) / len(heard) if heard else 0.0


def is_unwell(server: Server, size: float, now: float) -> bool:
    """Tells whether a server is so slow that nearness does not speak for it.

    Args:
        server: The server.
        size: Requests that it works on at once; see ``capacity``.
        now: Runtime clock, seconds.
    """
    return now >= server.warm_at and size < WELL_SHARE * server.entry.slots


def _wait(server: Server, size: float, mean: float) -> float:
    queue = max(0.0, server.running + 1 - size) / size
    relative = server.flows / size / mean if mean else 0.0
    busy = 0.5 * server.running / size
    return queue + busy + FLOWS_WEIGHT * relative
