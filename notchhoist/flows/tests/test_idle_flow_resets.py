"""Idle flows of a server are reset soon after it exits, whatever the cause.

With the mechanism ``resting`` disabled, such a flow is reset only when its next
request arrives, and that request is lost.
"""

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.tests.history import Simulation
from notchhoist.flows.tests.network import HOSTS

HOST = HOSTS[0]
SERVER_EXITS = {
    "crash": lambda world: world.crash(HOST),
    "drained": lambda world: world.drain(HOST),
    "new id at the host": lambda world: world.restart_server(
        HOST, 0.1, same_id=False
    ),
    "new start, same id": lambda world: world.restart_server(
        HOST, 0.1, same_id=True
    ),
    "another service": lambda world: world.reassign_host(HOST),
    "dark host": lambda world: world.power_off(HOST),
    "server and agent": lambda world: world.stop_server_and_agent(HOST, 60.0),
}
RESET_WITHIN_S = {"crash": 1.5, "dark host": 3.5, "new start, same id": 1.0}


def reset_flows(end, uses, for_s):
    """Stops a server and returns for each of its flows whether it was reset."""
    world = Simulation(0, uses=uses)
    for _ in range(8):
        world.open()
    ports = sorted(world.hosts[HOST].server.open)
    assert ports
    SERVER_EXITS[end](world)
    world.run(for_s)
    assert not world.wrong
    return [world.callers[port].dead for port in ports]


@pytest.mark.parametrize("end", SERVER_EXITS)
def test_idle_flows_are_reset(end):
    assert all(reset_flows(end, ALL, RESET_WITHIN_S.get(end, 9.0)))


@pytest.mark.parametrize("end", SERVER_EXITS)
def test_idle_flows_are_kept_with_the_mechanism_disabled(end):
    assert not any(reset_flows(end, ALL.without(["resting"]), 9.0))


def test_host_without_power_is_told_from_isolation_without_other_flows():
    """A balancer that receives nothing at all considers itself isolated."""
    world = Simulation(0)
    world.open()
    world.run(0.5)
    [host] = [item for item in world.hosts.values() if item.server.open]
    world.power_off(host.ip)
    world.run(4.0)
    [caller] = world.callers.values()
    assert caller.dead
