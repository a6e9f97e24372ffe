"""Large simulated fleets for measuring control traffic.

The fleet serves no callers. Its nodes relay the configuration and report
loads, and the messages and bytes between them are counted.
"""

import random

import attrs

from notchhoist import model
from notchhoist.testing.deployment import agent_maker, balancer_maker
from notchhoist.testing.world import World

ZONES = tuple(f"zone-{number}" for number in range(8))
SERVERS_PER_SERVICE = 10
AGENTS_PER_BALANCER = 7.4
"""Ratio of a fleet of 4,300 backend servers and 580 balancers."""

KIND = model.Kind("booking", "POST", "booking", 40, False, 8.0)


@attrs.define
class Fleet:
    """A fleet of nodes in a simulated network.

    Attributes:
        world: The simulated network.
        configuration: The last published configuration.
    """

    world: World
    configuration: model.Configuration

    def publish_weight(self, weight: float) -> None:
        """Publishes a new weight for the first backend server."""
        first, *others = self.configuration.services
        server, *servers = first.servers
        server = attrs.evolve(server, weight=weight)
        service = attrs.evolve(first, servers=(server, *servers))
        self.configuration = attrs.evolve(
            self.configuration,
            revision=self.configuration.revision + 1,
            services=(service, *others),
        )
        self.world.publish(self.configuration)

    def affected_nodes(self) -> list[model.Endpoint]:
        """Returns the nodes that must receive the newest revision.

        These are all balancers and the agents of the first service.
        """
        balancers = [host.peer for host in self.configuration.balancers]
        return balancers + list(self.configuration.services[0].agents())

    def count_outdated(self) -> int:
        """Returns how many affected nodes lack the newest revision."""
        newest = self.configuration.revision
        return sum(
            node is None or node.board.config.store.revision < newest
            for node in (
                self.world.hosts[peer].node for peer in self.affected_nodes()
            )
        )

    def propagation_time(self, limit: float, step: float = 0.05) -> float:
        """Runs until the newest revision is in force on all affected nodes.

        Args:
            limit: Time limit, seconds.
            step: Interval between checks, seconds.

        Returns:
            The time that it took, seconds, or infinity at the limit.
        """
        began = self.world.now
        while self.world.now - began < limit:
            if not self.count_outdated():
                return self.world.now - began
            self.world.run(step)
        return float("inf")


def make_fleet(nodes: int, seed: int) -> Fleet:
    """Creates a fleet of about a given number of nodes.

    Args:
        nodes: Number of balancers and agents together.
        seed: Seed of all randomness.

    Returns:
        The fleet, just started.
    """
    balancers = max(2, round(nodes / (1 + AGENTS_PER_BALANCER)))
    agents = max(2, nodes - balancers)
    world = World(random.Random(seed), count_bytes=True)
    hosts = tuple(_balancer(number) for number in range(balancers))
    services: list[model.Service] = []
    for first in range(0, agents, SERVERS_PER_SERVICE):
        count = min(SERVERS_PER_SERVICE, agents - first)
        services.append(_service(len(services), count))
    configuration = model.Configuration(1, tuple(services), hosts)
    world.publish(configuration)
    for host in hosts:
        world.add_host(host.name, host.peer, balancer_maker(host))
    seeds = tuple(host.peer for host in hosts[:2])
    for service in services:
        for server in service.servers:
            make = agent_maker(service.name, server, 60.0, seeds)
            world.add_host(server.name, server.agent, make)
    return Fleet(world, configuration)


def _balancer(number: int) -> model.BalancerHost:
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    zone = ZONES[number % len(ZONES)]
    return model.BalancerHost(
        f"entry-{number}", zone, model.Endpoint(host, 7000)
    )


def _service(number: int, count: int) -> model.Service:
    prefix = f"10.{1 + number // 250}.{number % 250}"
    servers = tuple(
        model.BackendServer(
            name=f"s{number}-{place}",
            zone=ZONES[place % len(ZONES)],
            agent=model.Endpoint(f"{prefix}.{place + 1}", 7000),
            address=model.Endpoint(f"{prefix}.{place + 1}", 5683),
        )
        for place in range(count)
    )
    address = model.Endpoint(f"10.200.{number // 250}.{number % 250}", 5683)
    return model.Service(
        name=f"service-{number}",
        address=address,
        kinds=(KIND,),
        servers=servers,
    )
