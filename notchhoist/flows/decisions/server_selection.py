"""Selection of the backend server for a new flow; pure functions."""

import zlib
from collections.abc import Collection, Mapping, Sequence

from notchhoist.base.draws import Draw
from notchhoist.flows.decisions.zone_distance import (
    DEFAULT_PENALTY,
    RemotePenalty,
)
from notchhoist.flows.model.fleet import RequestKind, Server
from notchhoist.flows.model.mechanisms import ALL, Mechanisms

CANDIDATES_MAX = 8
"""Most candidates for a flow. Two give most of the achievable balance; eight
leave room for servers that drain, are slow or silent, and cover services of ten
servers, the size that the system is designed for."""

LOCAL_CANDIDATES_MAX = 4
"""How many of the candidates are of the local zone, if it has that many."""

OUTLIER_RATIO = 1.5
"""A server whose service time is this many times the median counts as having
fewer slots. Smoothed service times of equal servers differ by less, given the
spread of 0.5 of the workloads."""

UPLOAD_REMOTE_WAIT = 20.0
"""How much longer an upload waits in the local zone than in a remote one, in
service times: its 40 KB would cross between zones, while it takes 6 ms of work
and has a latency objective of 500 ms."""

SLOW_SLOTS_SHARE = 0.5
"""A warm server whose effective slots are less than this share of its slots is
slow or fails; it is not preferred for being in the local zone."""

FLOWS_WEIGHT = 0.2
"""Weight of open flows, relative to running requests, for flows of one request:
they predict requests that have not arrived yet."""

NEVER_HEARD = float("-inf")

NO_PENALTIES: Mapping[str, RemotePenalty] = {}

UNLISTED_USE_MAX_S = 2.2
"""How long an unlisted server may still be used, seconds: one that runs
announces itself again within about 2 s, and one that has exited must get no
flow after 3 s."""

LISTED_MIN_SHARE = 0.5
"""Unlisted servers are used while less than this share of a service is listed:
an outage of the store also removes entries of running servers."""


def median(values: Sequence[float]) -> float:
    """Returns the lower median, 0 for no values.

    ``statistics`` is not used: its import adds 6 ms to the start of a process.

    Examples:
        >>> median([40, 200, 60]), median([])
        (60, 0.0)
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def candidates(
    flow: bytes, servers: Sequence[Server], zone: str
) -> list[Server]:
    """Returns the candidate servers for a flow, some of the local zone.

    Rendezvous hashing gives every balancer of a zone the same candidates. So a
    balancer that does not know a flow asks only a few agents of a large
    service.

    Args:
        flow: Key of the flow.
        servers: All known servers of its service.
        zone: Availability zone of the balancer.

    References:
        Thaler and Ravishankar, "Using name-based mappings to increase hit
        rates", 1998; Mitzenmacher, "The power of two choices", 2001.
    """
    if len(servers) <= CANDIDATES_MAX:
        return list(servers)
    ranked = sorted(
        servers,
        key=lambda server: zlib.crc32(flow + server.entry.host.encode()),
    )
    local = [item for item in ranked if item.entry.zone == zone][
        :LOCAL_CANDIDATES_MAX
    ]
    remaining = [item for item in ranked if item not in local]
    return local + remaining[: CANDIDATES_MAX - len(local)]


def outside_evacuated_zones(
    servers: Sequence[Server], evacuated: Collection[str]
) -> Sequence[Server]:
    """Returns the servers whose availability zones take new flows.

    Args:
        servers: All known servers of a service.
        evacuated: Zones that must get no new flows.
    """
    if not evacuated:
        return servers
    return [item for item in servers if item.entry.zone not in evacuated]


def accepts_new_flows(server: Server, now: float) -> bool:
    """Tells whether a server takes new flows, according to its entry.

    A server whose address has another service by now takes none.

    Args:
        server: The server.
        now: Runtime clock, seconds.
    """
    usable_entry = (
        server.listed or now - server.unlisted_at < UNLISTED_USE_MAX_S
    )
    closed = server.entry.draining or server.other_service
    return usable_entry and not closed


def usable_servers(servers: Sequence[Server], now: float) -> list[Server]:
    """Returns the servers that may get a new flow.

    Suspected servers are returned only if there are no others.

    Args:
        servers: Known servers of a service, in zones that take new flows.
        now: Runtime clock, seconds.
    """
    accepting = [server for server in servers if accepts_new_flows(server, now)]
    listed = [server for server in accepting if server.listed]
    if len(listed) >= LISTED_MIN_SHARE * len(accepting):
        accepting = listed
    accepting = [
        server for server in accepting if now >= server.at_cold_bound_until
    ]
    answering = [server for server in accepting if not server.suspected]
    return answering or [server for server in accepting if not server.lost]


def effective_slots(server: Server, median_ms: float) -> float:
    """Returns a server's slots, reduced if its service time is an outlier.

    Args:
        server: The server.
        median_ms: Median service time of the servers that it is compared with,
            ms; 0 if unknown.
    """
    slots = float(max(1, server.entry.slots))
    if median_ms and server.service_time_ms > OUTLIER_RATIO * median_ms:
        slots *= median_ms / server.service_time_ms
    return slots


def choose_server(
    servers: Sequence[Server],
    kind: RequestKind,
    zone: str,
    now: float,
    draw: Draw,
    uses: Mechanisms = ALL,
    costs: Mapping[str, RemotePenalty] = NO_PENALTIES,
) -> Server | None:
    """Returns the server for a new flow, or None if there are no servers.

    A flow of many requests goes to the server with the fewest open flows per
    slot; a flow of one request goes where it is expected to wait least. Servers
    of the local zone are preferred unless they are much more loaded.

    Args:
        servers: Servers that may get it.
        kind: Kind of the flow's requests.
        zone: Availability zone of the balancer.
        now: Runtime clock, seconds.
        draw: Random numbers in [0, 1), to break ties.
        uses: Which mechanisms are in use.
        costs: Penalties of servers in remote zones, by zone.
    """
    if not servers:
        return None
    if not uses.load:
        return servers[int(draw() * len(servers))]
    if kind is RequestKind.UPLOAD and not uses.uploads_near:
        kind = RequestKind.ONCE_ONLY
    median_ms = median(
        [item.service_time_ms for item in servers if item.service_time_ms]
    )
    if not uses.pace:
        median_ms = 0.0
    slot_counts = [effective_slots(server, median_ms) for server in servers]
    mean_flows = sum(server.flows for server in servers) / sum(slot_counts)
    reported_flows = _mean_reported_flows(servers)
    best = None
    best_score = float("inf")
    for server, slot_count in zip(servers, slot_counts, strict=True):
        penalized = server.entry.zone != zone or is_slow(
            server, slot_count, now
        )
        cost = costs.get(server.entry.zone, DEFAULT_PENALTY)
        score, penalty = _score(
            server, slot_count, kind, cost, mean_flows, reported_flows
        )
        score += penalty if penalized and uses.zone else 0.0
        score += draw() * 1e-6
        if score < best_score:
            best, best_score = server, score
    return best


def _score(
    server: Server,
    slot_count: float,
    kind: RequestKind,
    cost: RemotePenalty,
    mean_flows: float,
    reported_flows: float,
) -> tuple[float, float]:
    """Returns a server's load score and its penalty if it is remote or slow.

    Args:
        server: The server.
        slot_count: Its effective slots; see ``effective_slots``.
        kind: Kind of the flow's requests.
        cost: Penalty of its zone.
        mean_flows: Open flows per effective slot over all servers.
        reported_flows: Mean number of open flows at servers that have reported
            their load.
    """
    if kind is not RequestKind.IDEMPOTENT:
        upload = kind is RequestKind.UPLOAD
        penalty = UPLOAD_REMOTE_WAIT if upload else cost.wait
        return _expected_wait(server, slot_count, mean_flows), penalty
    unheard = cost.is_significant and server.heard_at == NEVER_HEARD
    flows = max(server.flows, reported_flows) if unheard else server.flows
    # A long distance is penalized among idle servers, too.
    least_flows = 1.0 if cost.is_significant else 0.0
    return (flows + 1) / slot_count, cost.flows * max(mean_flows, least_flows)


def _mean_reported_flows(servers: Sequence[Server]) -> float:
    """Returns the mean of open flows at servers that have reported, or 0."""
    heard = [item.flows for item in servers if item.heard_at > NEVER_HEARD]
    return sum(heard) / len(heard) if heard else 0.0


def is_slow(server: Server, slot_count: float, now: float) -> bool:
    """Tells whether a server is too slow to be preferred in the local zone.

    Args:
        server: The server.
        slot_count: Its effective slots; see ``effective_slots``.
        now: Runtime clock, seconds.
    """
    return (
        now >= server.warm_at
        and slot_count < SLOW_SLOTS_SHARE * server.entry.slots
    )


def _expected_wait(
    server: Server, slot_count: float, mean_flows: float
) -> float:
    queued_wait = max(0.0, server.running + 1 - slot_count) / slot_count
    relative_flows = (
        server.flows / slot_count / mean_flows if mean_flows else 0.0
    )
    running_wait = 0.5 * server.running / slot_count
    return queued_wait + running_wait + FLOWS_WEIGHT * relative_flows
