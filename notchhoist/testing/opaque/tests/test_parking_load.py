"""A backlog at cold servers of unequal speed: what waits loses nothing."""

from functools import partial

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.records import Count
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.tests.hard_load import (
    latency_s,
    make_world,
    play,
)

SECONDS = 6.0
OFF_AT_S = 1.5
DARK_S = 1.0
SLOWNESS = 1.7


def _slow_down(world):
    """Makes every third server slow."""
    for host in [h for h in world.hosts.values() if h.service][::3]:
        host.server.slowness = SLOWNESS


def _power_off(world):
    for host in list(world.hosts.values()):
        troubles.power_off(world, host, DARK_S)
    world.later(DARK_S + 0.01, partial(_slow_down, world))


def _play(uses):
    world = make_world(0.25, 1, uses, _power_off, OFF_AT_S)
    play(world, SECONDS)
    tallies = world.judge.tallies.values()
    asked = sum(tally.asked for tally in tallies)
    unserved = sum(tally.failed + tally.refused for tally in tallies)
    p90 = latency_s(world, "listing", 90)
    print(f"asked {asked}, unserved {unserved}, listings p90 {p90:.2f} s")
    return world, unserved


def test_what_waits_at_balancers_is_served_as_what_waits_at_servers():
    world, unserved = _play(ALL)
    _, unserved_before = _play(ALL.without(["parking"]))
    nodes = [host.node for host in world.hosts.values()]
    balancers = [node for node in nodes if isinstance(node, BalancerNode)]
    counters = [node.board.records.counters for node in balancers]
    assert sum(item[Count.PARKED] for item in counters) > 100
    assert not any(node.board.parked for node in balancers)
    assert not world.judge.broken
    assert unserved <= unserved_before
