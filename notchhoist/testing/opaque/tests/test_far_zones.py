"""Zones that are as far apart as a request takes: where flows are placed."""

import random

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import LEAD_S
from notchhoist.testing.opaque.tests.hard_load import ZONES, latency_s, play
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.opaque.world import OpaqueWorld

FAR_S, SHORT_WORK_MS = 0.0049, 15
NEAR_S, USUAL_WORK_MS = 0.0015, 50
SECONDS = 2.5
BEFORE = ALL.without(["distances"])
EVEN = dict.fromkeys(ZONES, 4)


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
    """Makes one-slot servers in four zones, by how many there are in each."""
    servers = servers or EVEN
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
    world = play(make_world(**fields), SECONDS)
    assert not world.judge.broken
    return world, world.network.zone_bytes, latency_s(world, "order", 50)


def test_single_requests_stay_near_and_are_quicker():
    _, bytes_before, before_s = outcome(uses=BEFORE)
    world, zone_bytes, median_s = outcome()
    assert zone_bytes < 0.3 * bytes_before
    assert median_s < 0.8 * before_s
    assert world.judge.worth(world.workloads) > 0.99


def near_share(world):
    """Returns the share of open flows that are near their callers."""
    near = [
        world.zone_of_caller[caller[0]] == server.zone
        for server in (host.server for host in world.hosts.values())
        if server is not None and server.alive
        for (caller, _), held in server.flows.items()
        if held.ended_at == float("inf")
    ]
    return sum(near) / len(near)


def play_new_flows(kind, uses, seed):
    """Lets every second server lose its power, so that flows open anew."""
    world = make_world(
        kind=kind, long_flows=True, load=0.3, uses=uses, seed=seed
    )
    hosts = [host for host in world.hosts.values() if host.service]
    for host in hosts[::2]:
        world.later(
            LEAD_S + 3.0, lambda h=host: troubles.power_off(world, h, 0.4)
        )
    play(world, 5.0)
    assert not world.judge.broken
    return near_share(world)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_long_flows_that_are_opened_anew_stay_near(kind):
    before, now = (
        [play_new_flows(kind, uses, seed) for seed in (1, 3)]
        for uses in (BEFORE, ALL)
    )
    assert sum(now) > sum(before) + 0.05


@pytest.mark.parametrize("long_flows", [False, True])
def test_short_distances_are_decided_as_before(long_flows):
    """Bytes, medians and counts are the same to the last one."""
    played = []
    for uses in (BEFORE, ALL):
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
def test_a_zone_with_too_few_servers_hands_flows_over(long_flows):
    """One zone has a quarter of the callers and a sixteenth of the servers."""
    servers = EVEN | {ZONES[0]: 1, ZONES[1]: 7}
    world, *_ = outcome(servers=servers, long_flows=long_flows)
    assert world.judge.worth(world.workloads) > 0.98


def test_near_agents_that_restart_and_words_that_are_lost_cost_little():
    world = make_world()
    world.network.loss = 0.01
    near = [host for host in world.hosts.values() if host.zone == ZONES[0]]
    for host in near:
        if host.service:
            world.later(LEAD_S + 2.0, lambda h=host: troubles.kill(world, h))
    play(world, SECONDS)
    assert not world.judge.broken
    assert world.judge.worth(world.workloads) > 0.9
