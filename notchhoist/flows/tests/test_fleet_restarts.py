"""No flow of a living server is reset after many processes were killed at once.

Guards against processes that have just started and take what they do not know
for known: balancers and agents are killed in several orders after flows were
opened, and callers use their flows once everything is in touch again.
"""

import pytest

from notchhoist.flows.decisions.completeness import CONTACT_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.history import Simulation
from notchhoist.flows.tests.network import BALANCERS, HOSTS

COLD_S = 2.0
"""Slow start of a server, seconds."""

AGENT_START_S = 0.2
"""Time from the kill of an agent to its start, seconds."""


def kill_agents(world):
    for ip in HOSTS:
        world.stop_agent(ip, AGENT_START_S, planned=False)


def kill_balancers(world):
    for ip in BALANCERS:
        world.restart_balancer(ip)


def kill_all(world):
    kill_agents(world)
    world.run(AGENT_START_S)
    kill_balancers(world)


def lose_power(world):
    for ip in HOSTS:
        world.power_off(ip)
    world.run(1.2)
    for ip in HOSTS:
        world.hosts[ip].powered_off = False
        world.start_server(ip, cold_s=COLD_S)
        world.start_agent(ip)
    kill_balancers(world)


def open_flows(world, count=3):
    for _ in range(count):
        world.open()


def lost_flows(world):
    """Uses all flows once promises hold; returns those that were reset."""
    world.run(CONTACT_S + 0.5)
    for port in world.callers:
        world.ask(port, copies=3)
    world.run(3.0)
    assert not world.wrong
    return [port for port, caller in world.callers.items() if caller.dead]


ORDERS_AFTER_POWER_LOSS = {
    "all": [(0.0, kill_all)],
    "agents": [(0.0, kill_agents)],
    "balancers": [(0.0, kill_balancers)],
    "agents, then balancers": [(0.0, kill_agents), (0.6, kill_balancers)],
    "balancers, then agents": [(0.0, kill_balancers), (0.6, kill_agents)],
    "all twice": [(0.0, kill_all), (0.4, kill_all)],
    "all, and again when warm": [(0.0, kill_all), (COLD_S, kill_all)],
}


@pytest.mark.parametrize("order", ORDERS_AFTER_POWER_LOSS)
def test_flows_of_restarted_servers_outlive_further_kills(order):
    world = Simulation(seed=1)
    lose_power(world)
    open_flows(world)
    for delay_s, kill in ORDERS_AFTER_POWER_LOSS[order]:
        world.run(delay_s)
        kill(world)
    assert not lost_flows(world)


def test_search_that_outlasts_a_presumption_resets_no_living_flow():
    """An agent's answer is believed too long if another one is waited for."""
    world = Simulation(seed=1)
    lose_power(world)
    open_flows(world, 1)
    kill_all(world)
    world.run(CONTACT_S - 1.5)
    [port] = world.callers
    other = next(
        host.ip for host in world.hosts.values() if port not in host.server.open
    )
    world.stop_agent(other, 2.0, planned=False)
    world.ask(port, copies=3)
    world.run(5.0)
    assert not world.wrong
    assert not world.callers[port].dead


def test_flows_outlive_a_kill_while_the_store_shows_slow_starts_of_old():
    """The store came back from a copy that is older than the servers are."""
    world = Simulation(seed=1)
    open_flows(world)
    for host in world.hosts.values():
        host.cold_until = world.now + COLD_S
    kill_all(world)
    assert not lost_flows(world)


def test_flows_lost_with_the_power_are_reset():
    world = Simulation(seed=1)
    open_flows(world)
    lose_power(world)
    world.run(0.1)
    for port in world.callers:
        world.ask(port)
    world.run(1.0)
    assert all(caller.dead for caller in world.callers.values())


def kill_in_turn(world):
    for ip in BALANCERS * 2:
        world.restart_balancer(ip)
        world.run(0.5)


OLD, NEW = (crafting.SERVICE, 1), ("tidepool", 1)
CHANGES = {
    "another service": [(NEW,)],
    "another service and back": [(NEW,), (OLD,)],
    "a split": [(OLD, NEW)],
    "a split that lost a service": [(OLD, NEW), (NEW,)],
    "a split with another weight": [(OLD, NEW), ((OLD[0], 0), NEW)],
}
KILLS = {
    "balancers": [kill_balancers],
    "balancers twice": [kill_balancers, kill_balancers],
    "balancers in turn": [kill_in_turn],
    "all": [kill_all],
    "agents, then balancers": [kill_agents, kill_balancers],
    "balancers, then agents": [kill_balancers, kill_agents],
}


@pytest.mark.parametrize("kill", KILLS)
@pytest.mark.parametrize("change", CHANGES)
def test_flows_of_a_changed_route_outlive_kills(change, kill):
    """Guards against routes whose former services no process remembers."""
    world = Simulation(seed=1)
    world.reassign_host(HOSTS[-1], service=NEW[0])
    world.run(1.0)
    open_flows(world)
    for targets in CHANGES[change]:
        world.configure(*targets)
        world.run(0.5)
        open_flows(world, 2)
    for kill_some in KILLS[kill]:
        kill_some(world)
        world.run(0.6)
    assert not lost_flows(world)
