"""At most once and a truthful "not run", failure by failure."""

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
    chaos.trust_first_start(world)
    world.run(2.0)
    return world


def run_until_started(world):
    world.add_caller(CALLER, [BOOKING])
    assert world.run_until(lambda: bool(world.history.started), 5.0)


def agent_that_runs(world):
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
    world.kill(agent_that_runs(world))
    assert finish(world) is Result.UNKNOWN
    assert len(world.history.started) == 1


def test_agent_killed_during_the_run_breaks_the_naive_version():
    world = make_world(adapt=baselines.without_memory)
    run_until_started(world)
    world.kill(agent_that_runs(world))
    world.run_until(world.callers_done, 120.0)
    promises = [item.promise for item in world.history.check()]
    assert promises == ["at most once"]


def test_agent_killed_before_the_run():
    world = make_world()
    caller = world.add_caller(CALLER, [BOOKING])
    assert world.run_until(lambda: caller.current is not None, 1.0)
    for peer in world.agents_of(world_service(world)):
        if peer in world.hosts and not world.history.started:
            world.kill(peer)
            world.at(1.0, lambda peer=peer: world.start(peer))
            break
    assert finish(world) in (Result.ANSWERED, Result.UNKNOWN, Result.NOT_RUN)


def world_service(world):
    balancer = world.hosts[world.entries[0]].node
    return balancer.board.config.store.services[chaos.PLAN.name]


def test_agent_killed_after_the_answer_and_a_late_copy():
    world = make_world()
    run_until_started(world)
    datagram = world.callers[CALLER].datagram
    assert finish(world) is Result.ANSWERED
    world.kill(agent_that_runs(world))
    world.run(3.0)
    for _ in range(5):
        world.spray(chaos.PLAN.name, CALLER, [datagram])
        world.run(1.0)
    assert world.history.check() == []
    assert len(world.history.started) == 1


def test_balancer_killed_in_mid_request():
    world = make_world()
    run_until_started(world)
    world.kill(world.entries.pop())
    world.kill(world.entries.pop())
    assert finish(world) is Result.ANSWERED


def test_a_balancer_that_wakes_late_does_not_bring_an_old_copy():
    world = make_world()
    late = paused_with_a_copy(world)
    assert finish(world) is Result.ANSWERED
    world.run(LONG_PAUSE_S)
    assert not world.hosts[late].paused
    assert world.history.check() == []


def test_a_balancer_that_reads_its_old_sockets_runs_it_twice():
    """Shown failing: the same run where stale datagrams are kept."""
    world = make_world()
    late = paused_with_a_copy(world)
    world.hosts[late].keeps_backlog = True
    assert world.run_until(world.callers_done, 30.0)
    world.run(LONG_PAUSE_S)
    assert [item.promise for item in world.history.check()] == ["at most once"]


def paused_with_a_copy(world):
    run_until_started(world)
    late = world.entries.pop()
    world.pause(late, LONG_PAUSE_S)
    datagram = world.callers[CALLER].datagram
    host = world.hosts[late]
    event = model.CallerDatagram(chaos.PLAN.name, CALLER, datagram)
    host.backlog.append(event)
    return late


def test_an_agent_that_wakes_late_with_a_grant_does_not_use_it():
    world = make_world()
    owner = freeze_when(world, lambda node: node.board.claims)
    world.run(LONG_PAUSE_S + 5.0)
    assert world.history.check() == []
    assert not world.hosts[owner].paused
    assert len(world.history.started) <= 1


def freeze_when(world, condition):
    """Pauses the first agent for which something holds."""
    world.add_caller(CALLER, [BOOKING])
    until = world.now + 5.0
    while world.now < until:
        world.run(0.0005)
        for peer, host in world.hosts.items():
            if hasattr(host.node, "claims") and condition(host.node):
                world.pause(peer, LONG_PAUSE_S)
                return peer
    raise AssertionError("it never held")


def test_two_witnesses_lost_means_unknown_not_a_second_run():
    world = make_world()
    run_until_started(world)
    agent = agent_that_runs(world)
    identity = next(iter(world.hosts[agent].node.board.by_identity))
    claims = world.hosts[agent].node.claims
    (witnesses,) = claims.witness_sets(identity)
    for peer in {*witnesses, agent}:
        world.kill(peer)
        world.start(peer)
    assert finish(world) is Result.UNKNOWN
    assert len(world.history.started) == 1


def test_agents_replaced_one_after_another_lose_no_memory():
    """Each is whole again before the next, by word of all the others."""
    world = make_world()
    run_until_started(world)
    assert finish(world) is Result.ANSWERED
    datagram = world.callers[CALLER].datagram
    for agent in world_service(world).agents():
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


def test_two_lost_together_do_not_call_themselves_whole():
    world = make_world()
    first, second, *_ = world_service(world).agents()
    for agent in (first, second):
        world.kill(agent)
    for agent in (first, second):
        world.start(agent)
    world.run(10.0)
    for agent in (first, second):
        assert not world.hosts[agent].node.memory.is_complete(world.now)


def test_not_run_is_said_at_once_and_stays_true():
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
def test_a_storm_of_faults_breaks_no_promise(seed):
    run = chaos.run_chaos(seed)
    assert run.world.history.check() == []


def test_a_storm_of_faults_breaks_the_naive_version():
    broken = [
        seed
        for seed in (1, 3, 5)
        if chaos.run_chaos(seed, baselines.without_memory).world.history.check()
    ]
    assert broken
