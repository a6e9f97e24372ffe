"""Tests of opaque services: any UDP datagram, forwarded by its flow alone."""

import random

import attrs

from notchhoist import model
from notchhoist.testing import chaos, deployment
from notchhoist.testing.backend import Reply
from notchhoist.testing.world import World

CALLER = model.Endpoint("172.16.0.1", 4000)


@attrs.define
class Echo:
    """A backend server that returns each datagram with its name as prefix."""

    name: str
    got: list[bytes] = attrs.Factory(list)
    observers: tuple = ()

    def receive(self, datagram, source, now):
        self.got.append(datagram)
        reply = self.name.encode() + b":" + datagram
        return [Reply(source, reply)]

    def next_due(self):
        return None


@attrs.define
class Listener:
    """A caller that records the datagrams that it receives."""

    got: list[bytes] = attrs.Factory(list)

    def receive(self, datagram, now):
        self.got.append(datagram)
        return []

    def is_done(self):
        return True


def make_world():
    world = World(random.Random(6))
    plan = attrs.evolve(chaos.PLAN, kinds=())
    deployment.build_world(world, (plan,))
    chaos.assume_complete_memory(world)
    for peer in list(world.backends):
        world.backends[peer] = Echo(world.hosts[peer].name)
    world.callers[CALLER] = Listener()
    world.run(2.0)
    return world


def send(world, datagram):
    world.spray(chaos.PLAN.name, CALLER, [datagram])
    world.run(0.5)


def test_datagrams_of_a_flow_stay_at_one_server():
    world = make_world()
    for number in range(20):
        send(world, b"\xff%d" % number)
    got = world.callers[CALLER].got
    assert len(got) == 20
    assert len({datagram.split(b":")[0] for datagram in got}) == 1


def test_opaque_flow_survives_an_attached_server():
    world = make_world()
    send(world, b"before")
    plan = attrs.evolve(chaos.PLAN, kinds=(), slots=(3,) * 6)
    server = deployment.server_of(plan, 0, 5)
    deployment.add_server(world, plan.name, server, 20.0, 0.05)
    current = next(iter(world.hosts.values())).node.board.config.store
    service = current.services[plan.name]
    changed = attrs.evolve(service, servers=(*service.servers, server))
    world.publish(
        attrs.evolve(current.document(), revision=2, services=(changed,))
    )
    world.run(2.0)
    for _ in range(10):
        send(world, b"after")
    got = world.callers[CALLER].got
    assert len({datagram.split(b":")[0] for datagram in got}) == 1
