"""Flow placement when delays between zones are close to the service time."""

import random

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import WARM_UP_S
from notchhoist.testing.opaque.tests.hard_load import ZONES, latency_s, simulate
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.opaque.world import OpaqueWorld

FAR_S, SHORT_WORK_MS = 0.0049, 15
NEAR_S, USUAL_WORK_MS = 0.0015, 50
SECONDS = 2.5
WITHOUT_DISTANCES = ALL.without(["distances"])
EQUAL_COUNTS = dict.fromkeys(ZONES, 4)


def make_world(
    cross_s=FAR_S,
    work_ms=SHORT_WORK_MS,
    kind="unsafe",
    long_flows=False,
    servers=None,
    uses=ALL,
    load=0.4,
    seed=7,
):
    """Makes one-slot servers in four zones; ``servers`` has counts by zone."""
    servers = servers or EQUAL_COUNTS
    per_s = load * sum(servers.values()) / (work_ms / 1000)
    workload = Workload(
        *("order", kind, "yard", 8443, per_s, work_ms, 60, 2000),
        *(0.303, 1.8, 2, 1.0, 0.1, long_flows),
    )
    world = OpaqueWorld(random.Random(seed), ZONES, (workload,), uses=uses)
    world.network.cross_zone_s = cross_s
    world.publish(1)
    for zone in ZONES * 2:
        world.add_host(zone)
    for zone, count in servers.items():
        for _ in range(count):
            world.add_host(zone, "yard", slots=1)
    return world


def outcome(**fields):
    """Returns the world, bytes between zones and the median latency."""
    world = simulate(make_world(**fields), SECONDS)
    assert not world.judge.broken
    return world, world.network.zone_bytes, latency_s(world, "order", 50)


def test_single_requests_stay_in_the_local_zone_and_are_faster():
    _, bytes_before, before_s = outcome(uses=WITHOUT_DISTANCES)
    world, zone_bytes, median_s = outcome()
    assert zone_bytes < 0.3 * bytes_before
    assert median_s < 0.8 * before_s
    assert world.judge.worth(world.workloads) > 0.99


def local_share(world):
    """Returns the share of open flows whose server is in the caller's zone."""
    local = [
        world.zone_of_caller[caller[0]] == server.zone
        for server in (host.server for host in world.hosts.values())
        if server is not None and server.alive
        for (caller, _), held in server.flows.items()
        if held.ended_at == float("inf")
    ]
    return sum(local) / len(local)


def local_share_after_power_off(kind, uses, seed):
    """Cuts the power of every second server, so that callers reopen flows."""
    world = make_world(
        kind=kind, long_flows=True, load=0.3, uses=uses, seed=seed
    )
    hosts = [host for host in world.hosts.values() if host.service]
    for host in hosts[::2]:
        world.later(
            WARM_UP_S + 3.0, lambda h=host: troubles.power_off(world, h, 0.4)
        )
    simulate(world, 5.0)
    assert not world.judge.broken
    return local_share(world)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_reopened_long_flows_stay_in_the_local_zone(kind):
    before, now = (
        [local_share_after_power_off(kind, uses, seed) for seed in (1, 3)]
        for uses in (WITHOUT_DISTANCES, ALL)
    )
    assert sum(now) > sum(before) + 0.05


@pytest.mark.parametrize("long_flows", [False, True])
def test_short_distances_do_not_change_decisions(long_flows):
    """Bytes, medians and counts are exactly equal."""
    played = []
    for uses in (WITHOUT_DISTANCES, ALL):
        world, *figures = outcome(
            cross_s=NEAR_S,
            work_ms=USUAL_WORK_MS,
            long_flows=long_flows,
            uses=uses,
        )
        tally = world.judge.tallies["order"]
        played.append([*figures, tally.asked, tally.in_time])
    assert played[0] == played[1]


@pytest.mark.parametrize("long_flows", [False, True])
def test_a_zone_with_too_few_servers_sends_flows_to_other_zones(long_flows):
    """One zone has 1/4 of the callers and 1/16 of the servers."""
    servers = EQUAL_COUNTS | {ZONES[0]: 1, ZONES[1]: 7}
    world, *_ = outcome(servers=servers, long_flows=long_flows)
    assert world.judge.worth(world.workloads) > 0.98


def test_agent_restarts_and_packet_loss_in_the_local_zone_cost_little():
    world = make_world()
    world.network.loss = 0.01
    local = [host for host in world.hosts.values() if host.zone == ZONES[0]]
    for host in local:
        if host.service:
            world.later(WARM_UP_S + 2.0, lambda h=host: troubles.kill(world, h))
    simulate(world, SECONDS)
    assert not world.judge.broken
    assert world.judge.worth(world.workloads) > 0.9
