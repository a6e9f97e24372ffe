"""Reference deployments in small size, for simulations and processes."""

import attrs

from notchhoist import blackboards, controllers, model
from notchhoist.testing.backend import BackendProfile
from notchhoist.testing.world import MakeNode, World

INCARNATION_SPAN = 1 << 40

WHANGANUI_ZONES = ("war-memorial", "castlecliff", "aramoho", "gonville")
ULAANBAATAR_ZONES = ("hall-a", "hall-b", "hall-c")

HALLBOOK_KINDS = (
    model.Kind("booking", "POST", "booking", 40, False, 8.0),
    model.Kind("roster", "GET", "roster", 10, True, 8.0),
)
SCOREDROP_KINDS = (
    model.Kind("upload", "PUT", "upload", 10, True, 8.0),
    model.Kind("score", "GET", "score", 10, True, 8.0),
)
FEED_HUB_KINDS = (
    model.Kind("feed", "GET", "feed", 10, True, 8.0),
    model.Kind("checkin", "POST", "checkin", 40, False, 8.0),
)
ARCHIVE_KINDS = (
    model.Kind("bundle", "PUT", "bundle", 10, True, 8.0),
    model.Kind("checkin", "POST", "checkin", 40, False, 8.0),
)


@attrs.frozen
class ServicePlan:
    """Name, size and kinds of requests of a service.

    Attributes:
        name: Name of the service.
        zones: Availability zones of its deployment.
        slots: Number of slots of each backend server.
        kinds: Kinds of requests that the service accepts.
    """

    name: str
    zones: tuple[str, ...]
    slots: tuple[int, ...]
    kinds: tuple[model.Kind, ...]


HALLBOOK = ServicePlan(
    "hallbook", WHANGANUI_ZONES, (3, 3, 3, 3, 3, 3, 2), HALLBOOK_KINDS
)
SCOREDROP = ServicePlan(
    "scoredrop", WHANGANUI_ZONES, (3, 3, 3, 3), SCOREDROP_KINDS
)
FEED_HUB = ServicePlan("feed-hub", ULAANBAATAR_ZONES, (4,) * 7, FEED_HUB_KINDS)
ARCHIVE_INTAKE = ServicePlan(
    "archive-intake", ULAANBAATAR_ZONES, (4, 4, 4), ARCHIVE_KINDS
)


def balancer_host(number: int, zones: tuple[str, ...]) -> model.BalancerHost:
    """Returns the balancer host with a number, at a simulated endpoint."""
    return model.BalancerHost(
        name=f"entry-{number}",
        zone=zones[number % len(zones)],
        peer=model.Endpoint(f"10.0.0.{number + 1}", 7000),
    )


def service_of(
    plan: ServicePlan, number: int, memory_s: float
) -> model.Service:
    """Returns a service with all backend servers, at simulated endpoints."""
    servers = tuple(
        server_of(plan, number, place) for place in range(len(plan.slots))
    )
    return model.Service(
        name=plan.name,
        address=model.Endpoint(f"10.9.0.{number + 1}", 5683),
        kinds=plan.kinds,
        servers=servers,
        memory_s=memory_s,
    )


def server_of(
    plan: ServicePlan, number: int, place: int
) -> model.BackendServer:
    """Returns the backend server at an index, at simulated endpoints."""
    host = f"10.{number + 1}.0.{place + 1}"
    slots = plan.slots[place % len(plan.slots)]
    return model.BackendServer(
        name=f"{plan.name}-{place + 1}",
        zone=plan.zones[place % len(plan.zones)],
        agent=model.Endpoint(host, 7000),
        address=model.Endpoint(host, 5683),
        slots=slots,
    )


def balancer_maker(host: model.BalancerHost) -> MakeNode:
    """Returns a factory that creates the node of a balancer host."""
    identity = blackboards.BalancerIdentity(host.name, host.zone, host.peer)

    def make(now: float, seed: int) -> controllers.Node:
        return controllers.make_balancer(identity, now, seed)

    return make


def agent_maker(
    service: str,
    server: model.BackendServer,
    idle_s: float,
    seeds: tuple[model.Endpoint, ...] = (),
) -> MakeNode:
    """Returns a factory that creates the node of an agent.

    Each start gets another incarnation, derived from the seed.
    """

    def make(now: float, seed: int) -> controllers.Node:
        identity = blackboards.AgentIdentity(
            service=service,
            server=server.name,
            zone=server.zone,
            peer=server.agent,
            incarnation=(seed * 2_654_435_761) % INCARNATION_SPAN,
            idle_s=idle_s,
        )
        return controllers.make_agent(identity, now, seed, seeds)

    return make


def add_server(
    world: World,
    service: str,
    server: model.BackendServer,
    idle_s: float,
    service_s: float,
) -> None:
    """Starts an agent and its backend server in a simulated network."""
    seeds = tuple(world.entries[:2])
    make = agent_maker(service, server, idle_s, seeds)
    world.add_host(server.name, server.agent, make)
    world.add_backend(
        server.agent,
        BackendProfile(service, server.name, server.slots, service_s),
    )


def build_world(
    world: World,
    plans: tuple[ServicePlan, ...],
    balancers: int = 3,
    memory_s: float = 16.0,
    idle_s: float = 20.0,
    service_s: float = 0.05,
) -> model.Configuration:
    """Starts deployments in a simulated network and publishes them.

    Args:
        world: The simulated network.
        plans: Services to deploy.
        balancers: Number of balancer hosts.
        memory_s: Memory lifetime of identities of non-repeatable requests,
            seconds.
        idle_s: Idle timeout of flows, seconds.
        service_s: Time to process a request at a backend server, seconds.

    Returns:
        The published configuration.
    """
    hosts = tuple(
        balancer_host(number, plans[0].zones) for number in range(balancers)
    )
    services = tuple(
        service_of(plan, number, memory_s) for number, plan in enumerate(plans)
    )
    configuration = model.Configuration(1, services, hosts)
    world.publish(configuration)
    for host in hosts:
        world.add_host(host.name, host.peer, balancer_maker(host))
        world.entries.append(host.peer)
    for service in services:
        for server in service.servers:
            add_server(world, service.name, server, idle_s, service_s)
    return configuration
