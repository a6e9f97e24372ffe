"""However a server ends, its flows are reset while they rest.

Out of use, each flow waits for its next request, which the reset then cuts.
"""

import pytest

from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.tests.history import World
from notchhoist.flows.tests.network import HOSTS

HOST = HOSTS[0]
ENDS = {
    "crash": lambda world: world.crash(HOST),
    "drained": lambda world: world.drain(HOST),
    "new id at the host": lambda world: world.flap(HOST, 0.1, same_id=False),
    "new start, same id": lambda world: world.flap(HOST, 0.1, same_id=True),
    "another service": lambda world: world.replace(HOST),
    "dark host": lambda world: world.power_off(HOST),
    "server and agent": lambda world: world.leave(HOST, 60.0),
}
BOUND_S = {"crash": 1.5, "dark host": 3.5, "new start, same id": 1.0}


def rested(end, uses, for_s):
    """Returns which of the flows at a server that ends are reset."""
    world = World(0, uses=uses)
    for _ in range(8):
        world.open()
    ports = sorted(world.hosts[HOST].server.open)
    assert ports
    ENDS[end](world)
    world.run(for_s)
    assert not world.wrong
    return [world.callers[port].dead for port in ports]


@pytest.mark.parametrize("end", ENDS)
def test_flows_that_rest_are_reset(end):
    assert all(rested(end, ALL, BOUND_S.get(end, 9.0)))


@pytest.mark.parametrize("end", ENDS)
def test_out_of_use_they_are_not(end):
    assert not any(rested(end, ALL.without(["resting"]), 9.0))


def test_a_dark_host_is_told_from_an_own_loss_where_nothing_else_rests():
    """A balancer that hears nobody takes the silence for its own."""
    world = World(0)
    world.open()
    world.run(0.5)
    [host] = [item for item in world.hosts.values() if item.server.open]
    world.power_off(host.ip)
    world.run(4.0)
    [caller] = world.callers.values()
    assert caller.dead
