"""Seeded simulations with random faults, which may overlap and repeat.

One service with a few agents and balancers receives bookings while processes
are killed, restarted, paused and isolated, and while the configuration
changes. The history of the run shows whether its guarantees held.
"""

import random
from collections.abc import Callable

import attrs

from notchhoist import controllers, model
from notchhoist.testing.caller import Task
from notchhoist.testing.deployment import (
    FEED_HUB,
    HALLBOOK,
    ServicePlan,
    add_server,
    build_world,
    server_of,
)
from notchhoist.testing.world import World

MEMORY_S = 67.0
DEADLINE_S = 3.0
IDLE_S = 20.0
SERVICE_S = 0.2
FREQUENT_FAULT_GAP_S = 0.8
"""Mean time between frequent faults, seconds."""

OCCASIONAL_FAULT_GAP_S = 6.0
"""Mean time between occasional faults, seconds."""

CALLERS = 16
BOOKINGS = 4
FAULT_PERIOD_S = 25.0
TIME_LIMIT_S = 220.0

PLAN = attrs.evolve(
    HALLBOOK,
    slots=(3, 3, 3, 3, 3),
    kinds=tuple(
        attrs.evolve(kind, deadline_s=DEADLINE_S) for kind in HALLBOOK.kinds
    ),
)

PLAN_FLOWS = attrs.evolve(
    FEED_HUB,
    kinds=(
        *FEED_HUB.kinds,
        model.Kind("bundle", "PUT", "bundle", 10, True, 8.0),
    ),
)

Adapt = Callable[[controllers.Node], None]


@attrs.define
class Chaos:
    """A simulation with random faults.

    Attributes:
        world: The simulated network.
        configuration: The last published configuration.
        rng: Source of the random choice and timing of faults.
        gap_s: Mean time between faults, seconds.
        added: Number of backend servers attached so far.
        faults: Names of the faults injected so far.
    """

    world: World
    configuration: model.Configuration
    rng: random.Random
    gap_s: float = FREQUENT_FAULT_GAP_S
    added: int = 0
    faults: list[str] = attrs.Factory(list)

    def service(self) -> model.Service:
        """Returns the service as last published."""
        return self.configuration.services[0]

    def agents(self) -> list[model.Endpoint]:
        """Returns the agents of the last published configuration."""
        return list(self.service().agents())

    def publish(self, service: model.Service) -> None:
        """Publishes a changed service as the next revision.

        Does nothing while the platform is down.
        """
        if self.world.platform.down:
            return
        self.configuration = attrs.evolve(
            self.configuration,
            revision=self.configuration.revision + 1,
            services=(service,),
        )
        self.world.publish(self.configuration)

    def kill_agent(self) -> None:
        """Kills an agent and restarts it a little later."""
        self._restart_later(self.rng.choice(self.agents()), 0.2, 4.0)

    def kill_balancer(self) -> None:
        """Kills a balancer and restarts it a little later."""
        self._restart_later(self.rng.choice(self.world.entries), 0.2, 3.0)

    def _restart_later(
        self, peer: model.Endpoint, least: float, most: float
    ) -> None:
        self.world.kill(peer)
        delay = self.rng.uniform(least, most)
        self.world.at(delay, lambda: self.restart(peer))

    def restart(self, peer: model.Endpoint) -> None:
        """Restarts a node that was killed; a running one is left alone."""
        host = self.world.hosts[peer]
        if host.node is None:
            self.world.start(peer)

    def kill_host(self) -> None:
        """Kills a host with its agent and backend server and restarts both.

        The backend server restarts at once, the agent a little later.
        """
        peer = self.rng.choice(self.agents())
        profile = self.world.backends[peer].profile
        self.world.add_backend(peer, profile)
        self._restart_later(peer, 1.0, 5.0)

    def pause_agent(self) -> None:
        """Pauses an agent for a short or very long time."""
        seconds = self.rng.choice((0.3, 0.9, 2.0, 5.0, 40.0))
        self._pause(self.rng.choice(self.agents()), seconds)

    def pause_balancer(self) -> None:
        """Pauses a balancer for a short or very long time."""
        seconds = self.rng.choice((0.3, 0.9, 3.0, 90.0))
        self._pause(self.rng.choice(self.world.entries), seconds)

    def _pause(self, peer: model.Endpoint, seconds: float) -> None:
        host = self.world.hosts[peer]
        if host.node is not None and not host.paused:
            self.world.pause(peer, seconds)

    def cut_agents(self) -> None:
        """Cuts some agents off from the others for a while."""
        agents = self.agents()
        self.rng.shuffle(agents)
        size = self.rng.randint(1, len(agents) // 2)
        self.world.cut(agents[:size], agents[size:])
        self.world.at(self.rng.uniform(0.5, 6.0), self.world.heal)

    def cut_balancer(self) -> None:
        """Cuts a balancer off from two agents for a while."""
        agents = self.rng.sample(self.agents(), 2)
        self.world.cut([self.rng.choice(self.world.entries)], agents)
        self.world.at(self.rng.uniform(0.5, 6.0), self.world.heal)

    def attach_server(self) -> None:
        """Attaches a new backend server to the service."""
        place = len(PLAN.slots) + self.added
        self.added += 1
        server = server_of(_plan_with_server(place), 0, place)
        add_server(self.world, PLAN.name, server, IDLE_S, SERVICE_S)
        service = self.service()
        self.publish(attrs.evolve(service, servers=(*service.servers, server)))

    def detach_server(self) -> None:
        """Detaches a backend server while enough are left."""
        service = self.service()
        if len(service.servers) <= len(PLAN.slots) - 1:
            return
        removed = self.rng.choice(service.servers)
        remaining = tuple(item for item in service.servers if item != removed)
        self.publish(attrs.evolve(service, servers=remaining))

    def drain_server(self) -> None:
        """Drains a backend server, or reactivates a draining one."""
        service = self.service()
        chosen = self.rng.choice(service.servers)
        states = {
            model.ServerState.ACTIVE: model.ServerState.DRAINING,
            model.ServerState.DRAINING: model.ServerState.ACTIVE,
        }
        servers = tuple(
            attrs.evolve(item, state=states[item.state])
            if item == chosen
            else item
            for item in service.servers
        )
        self.publish(attrs.evolve(service, servers=servers))

    def platform_outage(self) -> None:
        """Makes the platform fail or serve a stale document for a while."""
        state = self.world.platform
        if self.rng.random() < 0.5:
            state.down = True
        else:
            state.stale = state.document

        def end() -> None:
            state.down = False
            state.stale = None

        self.world.at(self.rng.uniform(1.0, 10.0), end)

    def faulty_things(self) -> list[Callable[[], None]]:
        """Returns a function for each fault that can be injected."""
        return [
            self.kill_agent,
            self.kill_balancer,
            self.kill_host,
            self.pause_agent,
            self.pause_balancer,
            self.cut_agents,
            self.cut_balancer,
            self.attach_server,
            self.detach_server,
            self.drain_server,
            self.platform_outage,
        ]

    def inject_faults(self) -> None:
        """Injects one or two faults and schedules the next ones."""
        candidates = self.faulty_things()
        for fault in self.rng.sample(candidates, self.rng.choice((1, 1, 2))):
            self.faults.append(fault.__name__)
            fault()
        if self.world.now < FAULT_PERIOD_S:
            gap = self.rng.expovariate(1.0 / self.gap_s)
            self.world.at(gap, self.inject_faults)

    def recover(self) -> None:
        """Ends lasting faults, so that callers can finish.

        Links and the platform are restored and killed nodes restarted. Pauses
        and changes of the configuration stay as they are.
        """
        self.world.heal()
        self.world.platform.down = False
        self.world.platform.stale = None
        for peer in self.world.hosts:
            self.restart(peer)

    def let_callers_finish(self) -> bool:
        """Runs until every caller is done; returns False at the time limit."""
        self.world.run(FAULT_PERIOD_S + 5.0)
        self.recover()
        return self.world.run_until(self.world.callers_done, TIME_LIMIT_S)


def _plan_with_server(place: int) -> ServicePlan:
    return attrs.evolve(PLAN, slots=(3,) * (place + 1))


def assume_complete_memory(world: World) -> None:
    """Marks the memory of all agents as complete.

    Witnesses and home agents that started recently do not answer until their
    records span the memory lifetime. In a fleet that has never run before there
    is nothing that they could miss; without this function, each simulation
    would begin by waiting for a whole memory lifetime.
    """
    for host in world.hosts.values():
        if isinstance(host.node, controllers.AgentNode):
            host.node.board.witness.started_at = -1e6
            host.node.board.sets_known = True
            host.node.board.tenure.since = -1e6


def make_chaos(
    seed: int, adapt: Adapt | None = None, gap_s: float = FREQUENT_FAULT_GAP_S
) -> Chaos:
    """Creates a simulation with random faults.

    Args:
        seed: Seed of all randomness in the run.
        adapt: Modifies each node at its start.
        gap_s: Mean time between faults, seconds.

    Returns:
        The simulation, before its first fault.
    """
    world = World(
        random.Random(seed),
        loss=0.01,
        duplication=0.05,
        max_late_s=3.0,
        adapt=adapt,
    )
    configuration = build_world(
        world, (PLAN,), memory_s=MEMORY_S, idle_s=IDLE_S, service_s=SERVICE_S
    )
    rng = random.Random(seed + 1_000_003)
    chaos = Chaos(world, configuration, rng, gap_s)
    assume_complete_memory(world)
    return chaos


def add_bookings(chaos: Chaos) -> None:
    """Adds callers that send bookings while faults are injected."""
    for number in range(CALLERS):
        tasks = [
            Task(
                "booking",
                "POST",
                PLAN.name,
                f"b{number:02}{turn}",
                tagged=number % 2 == 1,
                pause_s=chaos.rng.uniform(0.0, FAULT_PERIOD_S / BOOKINGS),
            )
            for turn in range(BOOKINGS)
        ]
        endpoint = model.Endpoint(f"172.16.0.{number + 1}", 4000)
        chaos.world.add_caller(endpoint, tasks)


def run_chaos(
    seed: int, adapt: Adapt | None = None, gap_s: float = FREQUENT_FAULT_GAP_S
) -> Chaos:
    """Runs a simulation of bookings with random faults to its end."""
    chaos = make_chaos(seed, adapt, gap_s)
    chaos.world.run(2.0)
    add_bookings(chaos)
    chaos.world.at(0.1, chaos.inject_faults)
    chaos.let_callers_finish()
    return chaos
