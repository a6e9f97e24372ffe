"""Tests of at-most-once execution and of the outcome "not run" under faults."""

import random

import pytest

from notchhoist import model
from notchhoist.testing import baselines, chaos
from notchhoist.testing.caller import Task
from notchhoist.testing.deployment import build_world
from notchhoist.testing.history import Result
from notchhoist.testing.world import World

CALLER = model.Endpoint("172.16.0.1", 4000)
BOOKING = Task("booking", "POST", chaos.PLAN.name, "b1")
LONG_PAUSE_S = 90.0


def make_world(seed=1, adapt=None):
    world = World(random.Random(seed), adapt=adapt)
    build_world(world, (chaos.PLAN,), memory_s=chaos.MEMORY_S, service_s=1.0)
    chaos.assume_complete_memory(world)
    world.run(2.0)
    return world


def run_until_started(world):
    world.add_caller(CALLER, [BOOKING])
    assert world.run_until(lambda: bool(world.history.started), 5.0)


def executing_agent(world):
    name = world.history.started[0].server
    return next(h.peer for h in world.hosts.values() if h.name == name)


def owner_of_flow(world):
    return next(
        peer
        for peer, host in world.hosts.items()
        if host.node and CALLER in getattr(host.node.board, "flows", {})
    )


def finish(world):
    assert world.run_until(world.callers_done, 120.0)
    assert world.history.check() == []
    return world.history.told[0].result


def test_answered_once_without_faults():
    world = make_world()
    run_until_started(world)
    assert finish(world) is Result.ANSWERED


def test_agent_killed_during_the_run():
    world = make_world()
    run_until_started(world)
    world.kill(executing_agent(world))
    assert finish(world) is Result.UNKNOWN
    assert len(world.history.started) == 1


def test_agent_killed_during_the_run_breaks_the_baseline():
    world = make_world(adapt=baselines.without_witnesses)
    run_until_started(world)
    world.kill(executing_agent(world))
    world.run_until(world.callers_done, 120.0)
    promises = [item.promise for item in world.history.check()]
    assert promises == ["at most once"]


def test_agent_killed_before_the_run():
    world = make_world()
    caller = world.add_caller(CALLER, [BOOKING])
    assert world.run_until(lambda: caller.current is not None, 1.0)
    for peer in world.agents_of(published_service(world)):
        if peer in world.hosts and not world.history.started:
            world.kill(peer)
            world.at(1.0, lambda peer=peer: world.start(peer))
            break
    assert finish(world) in (Result.ANSWERED, Result.UNKNOWN, Result.NOT_RUN)


def published_service(world):
    balancer = world.hosts[world.entries[0]].node
    return balancer.board.config.store.services[chaos.PLAN.name]


def test_agent_killed_after_the_answer_and_a_late_retransmission():
    world = make_world()
    run_until_started(world)
    datagram = world.callers[CALLER].datagram
    assert finish(world) is Result.ANSWERED
    world.kill(executing_agent(world))
    world.run(3.0)
    for _ in range(5):
        world.spray(chaos.PLAN.name, CALLER, [datagram])
        world.run(1.0)
    assert world.history.check() == []
    assert len(world.history.started) == 1


def test_balancers_killed_during_a_request():
    world = make_world()
    run_until_started(world)
    world.kill(world.entries.pop())
    world.kill(world.entries.pop())
    assert finish(world) is Result.ANSWERED


def test_resumed_balancer_drops_stale_datagrams():
    world = make_world()
    entry = pause_balancer_with_backlog(world)
    assert finish(world) is Result.ANSWERED
    world.run(LONG_PAUSE_S)
    assert not world.hosts[entry].paused
    assert world.history.check() == []


def test_resumed_balancer_with_backlog_runs_a_request_twice():
    """Shows why a resumed balancer has to drop stale datagrams.

    If it processes its socket backlog, the request runs a second time.
    """
    world = make_world()
    entry = pause_balancer_with_backlog(world)
    world.hosts[entry].handles_stale_backlog = True
    assert world.run_until(world.callers_done, 30.0)
    world.run(LONG_PAUSE_S)
    assert [item.promise for item in world.history.check()] == ["at most once"]


def pause_balancer_with_backlog(world):
    run_until_started(world)
    entry = world.entries.pop()
    world.pause(entry, LONG_PAUSE_S)
    datagram = world.callers[CALLER].datagram
    host = world.hosts[entry]
    event = model.CallerDatagram(chaos.PLAN.name, CALLER, datagram)
    host.backlog.append(event)
    return entry


def test_resumed_agent_does_not_use_an_expired_grant():
    world = make_world()
    owner = pause_when(world, lambda node: node.board.claims)
    world.run(LONG_PAUSE_S + 5.0)
    assert world.history.check() == []
    assert not world.hosts[owner].paused
    assert len(world.history.started) <= 1


def pause_when(world, condition):
    """Pauses the first agent that meets a condition, and returns its peer."""
    world.add_caller(CALLER, [BOOKING])
    until = world.now + 5.0
    while world.now < until:
        world.run(0.0005)
        for peer, host in world.hosts.items():
            if hasattr(host.node, "claims") and condition(host.node):
                world.pause(peer, LONG_PAUSE_S)
                return peer
    raise AssertionError("no agent met the condition")


def test_two_lost_witnesses_give_unknown_but_no_second_run():
    world = make_world()
    run_until_started(world)
    agent = executing_agent(world)
    identity = next(iter(world.hosts[agent].node.board.by_identity))
    claims = world.hosts[agent].node.claims
    (witnesses,) = claims.witness_sets(identity)
    for peer in {*witnesses, agent}:
        world.kill(peer)
        world.start(peer)
    assert finish(world) is Result.UNKNOWN
    assert len(world.history.started) == 1


def test_agents_restarted_in_turn_lose_no_records():
    """Each agent has complete records again before the next one restarts.

    It recovers them from all the other agents.
    """
    world = make_world()
    run_until_started(world)
    assert finish(world) is Result.ANSWERED
    datagram = world.callers[CALLER].datagram
    for agent in published_service(world).agents():
        world.kill(agent)
        world.start(agent)
        world.run(3.0)
    for host in world.hosts.values():
        if hasattr(host.node, "memory"):
            assert host.node.memory.is_complete(world.now)
    for _ in range(5):
        world.spray(chaos.PLAN.name, CALLER, [datagram])
        world.run(1.0)
    assert world.history.check() == []
    assert len(world.history.started) == 1


def test_two_agents_restarted_together_report_incomplete_records():
    world = make_world()
    first, second, *_ = published_service(world).agents()
    for agent in (first, second):
        world.kill(agent)
    for agent in (first, second):
        world.start(agent)
    world.run(10.0)
    for agent in (first, second):
        assert not world.hosts[agent].node.memory.is_complete(world.now)


def test_not_run_is_reported_at_once_and_stays_true():
    world = make_world()
    for peer, backend in world.backends.items():
        backend.draining = True
        world.hosts[peer].node.board.backend_draining_until = 1e9
    world.add_caller(CALLER, [BOOKING])
    assert finish(world) is Result.NOT_RUN
    assert world.history.told[0].latency_s < 1.0
    datagram = world.callers[CALLER].datagram
    for peer, backend in world.backends.items():
        backend.draining = False
        world.hosts[peer].node.board.backend_draining_until = 0.0
    world.spray(chaos.PLAN.name, CALLER, [datagram])
    world.run(5.0)
    assert world.history.started == []


@pytest.mark.parametrize("seed", [4, 11])
def test_frequent_faults_break_no_guarantee(seed):
    run = chaos.run_chaos(seed)
    assert run.world.history.check() == []


def test_frequent_faults_break_the_baseline():
    broken = [
        seed
        for seed in (1, 3, 5)
        if chaos.run_chaos(
            seed, baselines.without_witnesses
        ).world.history.check()
    ]
    assert broken
