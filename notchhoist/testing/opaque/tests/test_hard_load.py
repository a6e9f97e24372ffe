"""Many short requests on one-slot servers: who waits while others are idle."""

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.records import Count
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import LEAD_S
from notchhoist.testing.opaque.tests.hard_load import (
    held_share,
    latency_s,
    make_feed_world,
    make_world,
    play,
)

HALF = 0.5
SECONDS = 4.0
STANDING = ALL.without(["if_free"])
NAIVE = ALL.without(["if_free", "load"])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_half_load_hardly_anybody_waits(seed):
    """Six in ten waited where balancers went by their own words alone.

    What they knew of a server was four times as old as a request takes.
    """
    world = play(make_world(HALF, seed), SECONDS)
    assert held_share(world) < 0.1
    assert not world.judge.broken


def test_it_is_better_than_words_and_better_than_chance():
    shares = {}
    for name, uses in {"new": ALL, "words": STANDING, "chance": NAIVE}.items():
        world = play(make_world(HALF, uses=uses), SECONDS)
        shares[name] = held_share(world), latency_s(world, "listing", 90)
    assert shares["new"] < min(shares["words"], shares["chance"])
    assert shares["new"][1] < min(shares["words"][1], shares["chance"][1])


def _kill_balancers(world):
    for host in [h for h in world.hosts.values() if not h.service][::2]:
        troubles.kill(world, host)


def _kill_agents(world):
    for host in [h for h in world.hosts.values() if h.service][::2]:
        troubles.kill(world, host)


@pytest.mark.parametrize("trouble", [_kill_balancers, _kill_agents])
def test_restarts_with_words_under_way_lose_nothing(trouble):
    world = play(make_world(HALF, trouble=trouble), SECONDS)
    assert not world.judge.broken
    assert world.judge.worth(world.workloads) > 0.9


def _questions_after_power_off(uses):
    """Plays a loss of power for all; returns questions and what was told."""
    world = make_feed_world(uses=uses)
    off_at = LEAD_S + 2.0
    for host in list(world.hosts.values()):
        world.later(off_at, lambda h=host: troubles.power_off(world, h, 1.0))
    play(world, SECONDS)
    assert not world.judge.broken
    counters = [
        host.node.board.records.counters
        for host in world.hosts.values()
        if not host.service
    ]
    names = (Count.QUESTIONS, Count.FOUND_NOWHERE)
    return [sum(item[name] for item in counters) for name in names]


def test_flows_lost_with_the_power_cost_few_questions():
    """One round instead of two: no agent could tell, so each was tried."""
    asked, told = _questions_after_power_off(ALL)
    asked_before, told_before = _questions_after_power_off(
        ALL.without(["anew"])
    )
    assert told >= 0.9 * told_before > 0
    assert asked < 0.7 * asked_before
