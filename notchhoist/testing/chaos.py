"""Seeded runs with faults of every kind, together and twice.

One service with a few agents and balancers gets bookings while processes die,
start anew, pause, are cut off, and the configuration changes. What the run
did to the promises is in its history.
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
STORM_GAP_S = 0.8
"""Mean time between faults in a storm, seconds."""

MILD_GAP_S = 6.0
"""Mean time between faults on a bad day, seconds."""

CALLERS = 16
BOOKINGS = 4
FAULTY_S = 25.0
LIMIT_S = 220.0

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
    """A run under faults.

    Attributes:
        world: The fake network.
        configuration: The document as the operator last published it.
        rng: Source of the faults.
        gap_s: Mean time between faults, seconds.
        added: How many servers have been attached so far.
        faults: Names of the faults so far.
    """

    world: World
    configuration: model.Configuration
    rng: random.Random
    gap_s: float = STORM_GAP_S
    added: int = 0
    faults: list[str] = attrs.Factory(list)

    def service(self) -> model.Service:
        """Returns the service as last published."""
        return self.configuration.services[0]

    def agents(self) -> list[model.Endpoint]:
        """Returns the published agents."""
        return list(self.service().agents())

    def publish(self, service: model.Service) -> None:
        """Publishes a changed service as the next revision."""
        if self.world.platform.down:
            return
        self.configuration = attrs.evolve(
            self.configuration,
            revision=self.configuration.revision + 1,
            services=(service,),
        )
        self.world.publish(self.configuration)

    def kill_agent(self) -> None:
        """An agent dies; it starts anew a little later."""
        self._restart_later(self.rng.choice(self.agents()), 0.2, 4.0)

    def kill_balancer(self) -> None:
        """A balancer dies; it starts anew a little later."""
        self._restart_later(self.rng.choice(self.world.entries), 0.2, 3.0)

    def _restart_later(
        self, peer: model.Endpoint, least: float, most: float
    ) -> None:
        self.world.kill(peer)
        delay = self.rng.uniform(least, most)
        self.world.at(delay, lambda: self.restart(peer))

    def restart(self, peer: model.Endpoint) -> None:
        """Starts a dead node anew; a living one stays as it is."""
        host = self.world.hosts[peer]
        if host.node is None:
            self.world.start(peer)

    def kill_host(self) -> None:
        """A backend server host dies with all that runs on it."""
        peer = self.rng.choice(self.agents())
        profile = self.world.backends[peer].profile
        self.world.add_backend(peer, profile)
        self._restart_later(peer, 1.0, 5.0)

    def pause_agent(self) -> None:
        """An agent is stopped and wakes up, perhaps very late."""
        seconds = self.rng.choice((0.3, 0.9, 2.0, 5.0, 40.0))
        self._pause(self.rng.choice(self.agents()), seconds)

    def pause_balancer(self) -> None:
        """A balancer is stopped and wakes up, perhaps very late."""
        seconds = self.rng.choice((0.3, 0.9, 3.0, 90.0))
        self._pause(self.rng.choice(self.world.entries), seconds)

    def _pause(self, peer: model.Endpoint, seconds: float) -> None:
        host = self.world.hosts[peer]
        if host.node is not None and not host.paused:
            self.world.pause(peer, seconds)

    def cut_agents(self) -> None:
        """Some agents are cut off from the others for a while."""
        agents = self.agents()
        self.rng.shuffle(agents)
        size = self.rng.randint(1, len(agents) // 2)
        self.world.cut(agents[:size], agents[size:])
        self.world.at(self.rng.uniform(0.5, 6.0), self.world.heal)

    def cut_balancer(self) -> None:
        """A balancer is cut off from some agents for a while."""
        agents = self.rng.sample(self.agents(), 2)
        self.world.cut([self.rng.choice(self.world.entries)], agents)
        self.world.at(self.rng.uniform(0.5, 6.0), self.world.heal)

    def attach_server(self) -> None:
        """The operator attaches a backend server."""
        place = len(PLAN.slots) + self.added
        self.added += 1
        server = server_of(_wide(place), 0, place)
        add_server(self.world, PLAN.name, server, IDLE_S, SERVICE_S)
        service = self.service()
        self.publish(attrs.evolve(service, servers=(*service.servers, server)))

    def detach_server(self) -> None:
        """The operator detaches a backend server."""
        service = self.service()
        if len(service.servers) <= len(PLAN.slots) - 1:
            return
        gone = self.rng.choice(service.servers)
        left = tuple(item for item in service.servers if item != gone)
        self.publish(attrs.evolve(service, servers=left))

    def drain_server(self) -> None:
        """The operator drains a backend server, or ends that."""
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
        """The platform is down, or serves an old document, for a while."""
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
        """Returns every fault there is."""
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

    def strike(self) -> None:
        """Lets one thing go wrong, or two together, and plans the next."""
        things = self.faulty_things()
        for thing in self.rng.sample(things, self.rng.choice((1, 1, 2))):
            self.faults.append(thing.__name__)
            thing()
        if self.world.now < FAULTY_S:
            gap = self.rng.expovariate(1.0 / self.gap_s)
            self.world.at(gap, self.strike)

    def recover(self) -> None:
        """Ends every fault, so that callers can finish."""
        self.world.heal()
        self.world.platform.down = False
        self.world.platform.stale = None
        for peer in self.world.hosts:
            self.restart(peer)

    def let_callers_finish(self) -> bool:
        """Runs until every caller is done; False at the limit."""
        self.world.run(FAULTY_S + 5.0)
        self.recover()
        return self.world.run_until(self.world.callers_done, LIMIT_S)


def _wide(place: int) -> ServicePlan:
    return attrs.evolve(PLAN, slots=(3,) * (place + 1))


def trust_first_start(world: World) -> None:
    """Lets witnesses and homes of a first start speak at once.

    A fleet that has never run has nothing to remember; without this every
    run would begin with a whole lifetime of waiting.
    """
    for host in world.hosts.values():
        if isinstance(host.node, controllers.AgentNode):
            host.node.board.witness.started_at = -1e6
            host.node.board.sets_known = True
            host.node.board.tenure.since = -1e6


def make_chaos(
    seed: int, adapt: Adapt | None = None, gap_s: float = STORM_GAP_S
) -> Chaos:
    """Makes a run under faults.

    Args:
        seed: Seed of everything in the run.
        adapt: Changes each node at its start.
        gap_s: Mean time between faults, seconds.

    Returns:
        The run, before its first fault.
    """
    world = World(
        random.Random(seed),
        loss=0.01,
        duplication=0.05,
        late_s=3.0,
        adapt=adapt,
    )
    configuration = build_world(
        world, (PLAN,), memory_s=MEMORY_S, idle_s=IDLE_S, service_s=SERVICE_S
    )
    rng = random.Random(seed + 1_000_003)
    chaos = Chaos(world, configuration, rng, gap_s)
    trust_first_start(world)
    return chaos


def add_bookings(chaos: Chaos) -> None:
    """Adds callers that book during the faults."""
    for number in range(CALLERS):
        tasks = [
            Task(
                "booking",
                "POST",
                PLAN.name,
                f"b{number:02}{turn}",
                tagged=number % 2 == 1,
                pause_s=chaos.rng.uniform(0.0, FAULTY_S / BOOKINGS),
            )
            for turn in range(BOOKINGS)
        ]
        endpoint = model.Endpoint(f"172.16.0.{number + 1}", 4000)
        chaos.world.add_caller(endpoint, tasks)


def run_chaos(
    seed: int, adapt: Adapt | None = None, gap_s: float = STORM_GAP_S
) -> Chaos:
    """Runs bookings under faults to the end and returns the run."""
    chaos = make_chaos(seed, adapt, gap_s)
    chaos.world.run(2.0)
    add_bookings(chaos)
    chaos.world.at(0.1, chaos.strike)
    chaos.let_callers_finish()
    return chaos
