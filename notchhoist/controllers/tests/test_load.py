"""Tests of request placement: load, weights, shed requests, drains."""

import random

import pytest

from notchhoist import model
from notchhoist.testing import baselines, changes, chaos, deployment, rehearsal
from notchhoist.testing.caller import Task
from notchhoist.testing.history import Result


@pytest.fixture(scope="module")
def overload():
    return rehearsal.run_load_test(deployment.HALLBOOK, 1.2, 8.0, seed=1)


def test_overload_breaks_no_guarantee(overload):
    assert overload.overfull_samples == 0
    assert overload.violations == 0


def test_weights_favor_bookings_without_starving_rosters(overload):
    share = {
        kind: overload.answered[kind]
        / (overload.answered[kind] + overload.refused[kind])
        for kind in ("booking", "roster")
    }
    assert share["booking"] > share["roster"] > 0.3


def test_refusals_are_sent_at_once(overload):
    median = overload.refusal_latencies.get_value_at_percentile(50)
    assert median < 100_000


def test_no_booking_is_refused_at_half_load():
    """One server is in slow start and one sheds; the others have free slots."""
    balanced = rehearsal.run_load_test(deployment.HALLBOOK, 0.5, 10.0, seed=2)
    assert balanced.refused["booking"] == 0


def test_random_placement_refuses_bookings_at_half_load():
    unbalanced = rehearsal.run_load_test(
        deployment.HALLBOOK, 0.5, 10.0, 2, baselines.random_placement
    )
    assert unbalanced.refused["booking"] > 0


def test_issue_4_shed_request_runs_at_another_server():
    """A shed request runs at a server that has a free slot.

    Guards against reporting it as "not run" instead.
    """
    site = changes.make_site(seed=3)
    world = site.world
    world.run_until(world.callers_done, 100.0)
    shedding = site.service.servers[0].agent
    backend = world.backends[shedding]
    backend.profile = changes.attrs.evolve(backend.profile, shed_every=1)
    for number in range(30):
        task = Task("checkin", "POST", site.service.name, f"c{number:02}")
        world.add_caller(model.Endpoint(f"172.20.0.{number}", 7), [task])
        world.run(0.2)
    assert world.run_until(world.callers_done, 60.0)
    assert backend.requests_received > 0
    results = {t.result for t in world.history.told if t.kind == "checkin"}
    assert results == {Result.ANSWERED}
    assert world.history.check() == []


def drained_site(seed, start_drain):
    """Starts a drain of the first server; returns the site and its agent."""
    site = changes.make_site(seed)
    agent = site.service.servers[0].agent
    start_drain(site, agent)
    site.world.run(2.0)
    return site, agent


def by_document(site, agent):
    site.drain()


def by_host_list(site, agent):
    site.world.platform.leaving = [site.world.hosts[agent].name]


def by_signal(site, agent):
    node = site.world.hosts[agent].node
    site.world._perform(site.world.hosts[agent], node.stop(site.world.now))


def by_backend(site, agent):
    site.world.backends[agent].draining = True


def by_document_with_a_late_host_list(site, agent):
    site.world.platform.lag_s = 30.0
    name = site.world.hosts[agent].name
    site.world.platform.announce_leaving([name], site.world.now)
    site.drain()


@pytest.mark.parametrize(
    "start_drain",
    [
        by_document,
        by_host_list,
        by_signal,
        by_backend,
        by_document_with_a_late_host_list,
    ],
)
def test_draining_server_gets_no_new_work(start_drain):
    site, agent = drained_site(4, start_drain)
    world = site.world
    world.run(1.5)
    name = world.hosts[agent].name
    until = world.now
    for number in range(60):
        task = Task("checkin", "POST", site.service.name, f"n{number:02}")
        caller = model.Endpoint(f"172.21.0.{number}", 7)
        world.add_caller(caller, [task])
        world.run(0.05)
    assert world.run_until(world.callers_done, 120.0)
    late = [
        item.request
        for item in world.history.started
        if item.server == name
        and item.at > until
        and item.request.startswith("n")
    ]
    assert late == []
    assert dict(world.history.broken) == {}
    told = [t for t in world.history.told if t.request.startswith("n")]
    assert {t.result for t in told} == {Result.ANSWERED}


def slow_world(service_s, deadline_s):
    """Makes a deployment whose servers all have the same service time."""
    world = chaos.World(random.Random(3))
    kinds = tuple(
        changes.attrs.evolve(kind, deadline_s=deadline_s)
        for kind in chaos.PLAN.kinds
    )
    plan = changes.attrs.evolve(chaos.PLAN, kinds=kinds)
    deployment.build_world(world, (plan,), service_s=service_s)
    chaos.assume_complete_memory(world)
    world.run(2.0)
    return world


def test_issue_4_slow_run_continues_if_no_peer_is_faster():
    """A slow run continues if no other server is faster.

    Guards against cancelling it after a third of its deadline, which would
    happen at every server in turn.
    """
    world = slow_world(service_s=3.0, deadline_s=6.0)
    task = Task("roster", "GET", chaos.PLAN.name, "r1")
    world.add_caller(model.Endpoint("172.22.0.1", 7), [task])
    assert world.run_until(world.callers_done, 10.0)
    assert world.history.told[0].result is Result.ANSWERED
    assert len(world.history.started) == 1


def test_repeatable_request_is_retried_if_its_server_hangs():
    world = slow_world(service_s=0.1, deadline_s=6.0)
    for number in range(20):
        task = Task("roster", "GET", chaos.PLAN.name, f"w{number:02}")
        world.add_caller(model.Endpoint(f"172.23.0.{number}", 7), [task])
    assert world.run_until(world.callers_done, 20.0)
    hanging = next(iter(world.backends.values()))
    hanging.slow_factor = 1000.0
    for number in range(20):
        task = Task("roster", "GET", chaos.PLAN.name, f"r{number:02}")
        world.add_caller(model.Endpoint(f"172.22.0.{number}", 7), [task])
    assert world.run_until(world.callers_done, 20.0)
    assert {t.result for t in world.history.told} == {Result.ANSWERED}


def test_planned_stop_waits_for_running_requests():
    world = chaos.World(random.Random(3))
    deployment.build_world(world, (chaos.PLAN,), service_s=1.0)
    chaos.assume_complete_memory(world)
    world.run(2.0)
    task = Task("roster", "GET", chaos.PLAN.name, "r1")
    world.add_caller(model.Endpoint("172.22.0.1", 7), [task])
    assert world.run_until(lambda: bool(world.history.started), 5.0)
    name = world.history.started[0].server
    host = next(h for h in world.hosts.values() if h.name == name)
    host.node.stop(world.now)
    assert not host.node.is_idle()
    assert world.run_until(world.callers_done, 10.0)
    assert host.node.is_idle()
    assert world.history.told[0].result is Result.ANSWERED
