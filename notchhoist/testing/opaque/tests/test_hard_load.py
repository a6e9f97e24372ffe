"""Queueing of many short requests at one-slot servers."""

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.records import Count
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import WARM_UP_S
from notchhoist.testing.opaque.tests.hard_load import (
    latency_s,
    make_long_flow_world,
    make_world,
    queued_share,
    simulate,
)

HALF_LOAD = 0.5
SECONDS = 4.0
REPORTED_LOAD = ALL.without(["if_free"])
BASELINE = ALL.without(["if_free", "load"])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_requests_are_queued_at_half_load(seed):
    """Guards against placement by load reports alone.

    60% of the requests were queued then, as a balancer's state of a server was
    four times as old as a request takes.
    """
    world = simulate(make_world(HALF_LOAD, seed), SECONDS)
    assert queued_share(world) < 0.1
    assert not world.judge.broken


def test_conditional_offers_beat_load_reports_and_random_choice():
    shares = {}
    for name, uses in {
        "new": ALL,
        "reports": REPORTED_LOAD,
        "random": BASELINE,
    }.items():
        world = simulate(make_world(HALF_LOAD, uses=uses), SECONDS)
        shares[name] = queued_share(world), latency_s(world, "listing", 90)
    assert shares["new"] < min(shares["reports"], shares["random"])
    assert shares["new"][1] < min(shares["reports"][1], shares["random"][1])


def _kill_balancers(world):
    for host in [h for h in world.hosts.values() if not h.service][::2]:
        troubles.kill(world, host)


def _kill_agents(world):
    for host in [h for h in world.hosts.values() if h.service][::2]:
        troubles.kill(world, host)


@pytest.mark.parametrize("trouble", [_kill_balancers, _kill_agents])
def test_restarts_with_messages_in_transit_break_nothing(trouble):
    world = simulate(make_world(HALF_LOAD, trouble=trouble), SECONDS)
    assert not world.judge.broken
    assert world.judge.worth(world.workloads) > 0.9


def _queries_after_power_off(uses):
    """Cuts the power of all hosts; returns queries and flows found nowhere."""
    world = make_long_flow_world(uses=uses)
    off_at = WARM_UP_S + 2.0
    for host in list(world.hosts.values()):
        world.later(off_at, lambda h=host: troubles.power_off(world, h, 1.0))
    simulate(world, SECONDS)
    assert not world.judge.broken
    counters = [
        host.node.board.records.counters
        for host in world.hosts.values()
        if not host.service
    ]
    names = (Count.QUESTIONS, Count.FOUND_NOWHERE)
    return [sum(item[name] for item in counters) for name in names]


def test_flows_lost_in_a_power_loss_cost_few_queries():
    """Guards against a second round of queries.

    It took place because agents could not report the flows absent, so each was
    tried.
    """
    queries, absent = _queries_after_power_off(ALL)
    queries_before, absent_before = _queries_after_power_off(
        ALL.without(["anew"])
    )
    assert absent >= 0.9 * absent_before > 0
    assert queries < 0.7 * queries_before
