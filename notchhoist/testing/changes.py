"""Planned changes and host failures while streams and uploads are open."""

import random
from collections.abc import Callable

import attrs

from notchhoist import controllers, model
from notchhoist.testing.caller import Mode, Task
from notchhoist.testing.chaos import (
    IDLE_S,
    MEMORY_S,
    PLAN_FLOWS,
    assume_complete_memory,
)
from notchhoist.testing.deployment import add_server, build_world, server_of
from notchhoist.testing.world import World

SERVICE_S = 0.05
STREAMS = 40
UPLOADS = 20
UPLOADS_EACH = 2
NOTIFICATIONS = 50
UPLOAD_BYTES = 24_000
WARM_UP_S = 5.0
TIME_LIMIT_S = 150.0
REPLACE_EVERY_S = 4.0
RESTART_DELAY_S = 2.0


@attrs.define
class Site:
    """A simulated deployment whose configuration changes.

    Attributes:
        world: The simulated network.
        configuration: The last published configuration.
    """

    world: World
    configuration: model.Configuration

    @property
    def service(self) -> model.Service:
        """The service in the last published configuration."""
        return self.configuration.services[0]

    def publish(self, *servers: model.BackendServer) -> None:
        """Publishes a new list of backend servers as the next revision."""
        service = attrs.evolve(self.service, servers=servers)
        self.configuration = attrs.evolve(
            self.configuration,
            revision=self.configuration.revision + 1,
            services=(service,),
        )
        self.world.publish(self.configuration)

    def attach(self) -> None:
        """Attaches one more backend server."""
        place = len(PLAN_FLOWS.slots)
        plan = attrs.evolve(PLAN_FLOWS, slots=(4,) * (place + 1))
        server = server_of(plan, 0, place)
        add_server(self.world, plan.name, server, IDLE_S, SERVICE_S)
        self.publish(*self.service.servers, server)

    def detach(self) -> None:
        """Detaches the first backend server."""
        self.publish(*self.service.servers[1:])

    def attach_and_detach(self) -> None:
        """Attaches a backend server and detaches another 10 ms later."""
        self.attach()
        self.world.at(0.01, self.detach)

    def drain(self) -> None:
        """Drains the first backend server."""
        first, *others = self.service.servers
        state = model.ServerState.DRAINING
        self.publish(attrs.evolve(first, state=state), *others)

    def weigh(self) -> None:
        """Sets the weight of the first backend server to 5."""
        first, *others = self.service.servers
        self.publish(attrs.evolve(first, weight=5.0), *others)

    def replace_balancers(self) -> None:
        """Replaces all balancers, one after another."""
        for place, peer in enumerate(list(self.world.entries)):
            self.replace(peer, place * REPLACE_EVERY_S)

    def restart_agent(self) -> None:
        """Restarts the first agent while its backend server keeps running."""
        self.replace(self.service.servers[0].agent, 0.0)

    def restart_agents(self) -> None:
        """Restarts all agents, one after another."""
        for place, agent in enumerate(self.service.agents()):
            self.replace(agent, place * REPLACE_EVERY_S)

    def replace(self, peer: model.Endpoint, delay: float = 0.0) -> None:
        """Kills the node of a host after a delay and restarts it later.

        A balancer receives no datagrams of callers in between.
        """
        world = self.world
        is_entry = peer in world.entries

        def leave() -> None:
            world.kill(peer)
            if is_entry:
                world.entries.remove(peer)

        def come_back() -> None:
            world.start(peer)
            if is_entry:
                world.entries.append(peer)

        world.at(delay, leave)
        world.at(delay + RESTART_DELAY_S, come_back)

    def kill_host(self) -> None:
        """Kills the first agent and its backend server for good."""
        agent = self.service.servers[0].agent
        self.world.kill(agent)
        del self.world.backends[agent]

    def established_at(self, agent: model.Endpoint) -> int:
        """Returns how many streams and uploads a backend server has open."""
        backend = self.world.backends[agent]
        return len(backend.observers) + len(backend.uploads)


PLANNED: dict[str, Callable[[Site], None]] = {
    "attach": Site.attach,
    "detach": Site.detach,
    "attach and detach": Site.attach_and_detach,
    "drain": Site.drain,
    "weight": Site.weigh,
    "balancers replaced": Site.replace_balancers,
    "agent restarted": Site.restart_agent,
    "agents restarted": Site.restart_agents,
}


def make_site(
    seed: int, adapt: Callable[[controllers.Node], None] | None = None
) -> Site:
    """Creates a deployment with open streams and uploads.

    Args:
        seed: Seed of all randomness in the run.
        adapt: Modifies each node at its start.

    Returns:
        The deployment, ``WARM_UP_S`` seconds after its callers began.
    """
    world = World(random.Random(seed), adapt=adapt)
    configuration = build_world(
        world,
        (PLAN_FLOWS,),
        memory_s=MEMORY_S,
        idle_s=IDLE_S,
        service_s=SERVICE_S,
    )
    assume_complete_memory(world)
    world.run(2.0)
    _add_callers(world)
    world.run(WARM_UP_S)
    return Site(world, configuration)


def _add_callers(world: World) -> None:
    for number in range(STREAMS):
        task = Task(
            "feed",
            "GET",
            PLAN_FLOWS.name,
            f"s{number:02}",
            Mode.STREAM,
            size=NOTIFICATIONS,
            pause_s=world.rng.uniform(0.0, 2.0),
        )
        world.add_caller(model.Endpoint(f"172.16.0.{number + 1}", 5), [task])
    for number in range(UPLOADS):
        tasks = [
            Task(
                "bundle",
                "PUT",
                PLAN_FLOWS.name,
                f"u{number:02}{turn}",
                Mode.UPLOAD,
                size=UPLOAD_BYTES,
                pause_s=world.rng.uniform(0.0, 1.0),
            )
            for turn in range(UPLOADS_EACH)
        ]
        world.add_caller(model.Endpoint(f"172.17.0.{number + 1}", 5), tasks)


def count_flows() -> int:
    """Returns the number of streams and uploads in a run."""
    return STREAMS + UPLOADS * UPLOADS_EACH


def finish(site: Site) -> bool:
    """Runs until every caller is done; returns False at the time limit."""
    return site.world.run_until(site.world.callers_done, TIME_LIMIT_S)


CHANGE_PERIOD_S = 12.0
MEAN_CHANGE_GAP_S = 0.8
RESTART_GAP_S = 6.0
MIN_ACTIVE_SERVERS = 3


@attrs.define
class Operator:
    """Changes a deployment at random; changes may overlap.

    Agent restarts are so far apart that no two agents are down at once.

    Attributes:
        site: The deployment.
        rng: Source of the random choice and timing of changes.
        done: Names of the changes made so far.
        restart_after: Earliest time of the next agent restart, seconds.
        attached: Number of backend servers attached so far.
    """

    site: Site
    rng: random.Random
    done: list[str] = attrs.Factory(list)
    restart_after: float = 0.0
    attached: int = 0

    def attach(self) -> None:
        """Attaches one more backend server."""
        place = len(PLAN_FLOWS.slots) + self.attached
        self.attached += 1
        plan = attrs.evolve(PLAN_FLOWS, slots=(4,) * (place + 1))
        server = server_of(plan, 0, place)
        add_server(self.site.world, plan.name, server, IDLE_S, SERVICE_S)
        self.site.publish(*self.site.service.servers, server)

    def detach(self) -> None:
        """Detaches a backend server while enough are left."""
        servers = self.site.service.servers
        if len(servers) <= MIN_ACTIVE_SERVERS + 1:
            return
        removed = self.rng.choice(servers)
        self.site.publish(*[item for item in servers if item != removed])

    def drain(self) -> None:
        """Drains a backend server, or reactivates a draining one."""
        servers = self.site.service.servers
        chosen = self.rng.choice(servers)
        active = [s for s in servers if s.state is model.ServerState.ACTIVE]
        state = model.ServerState.ACTIVE
        if chosen in active:
            if len(active) <= MIN_ACTIVE_SERVERS:
                return
            state = model.ServerState.DRAINING
        self._change(chosen, attrs.evolve(chosen, state=state))

    def weigh(self) -> None:
        """Gives a backend server a random weight."""
        chosen = self.rng.choice(self.site.service.servers)
        weight = self.rng.uniform(0.5, 5.0)
        self._change(chosen, attrs.evolve(chosen, weight=weight))

    def _change(
        self, old: model.BackendServer, new: model.BackendServer
    ) -> None:
        servers = self.site.service.servers
        self.site.publish(*[new if item == old else item for item in servers])

    def restart_agent(self) -> None:
        """Restarts an agent while its backend server keeps running."""
        now = self.site.world.now
        if now < self.restart_after:
            return
        self.restart_after = now + RESTART_GAP_S
        self.site.replace(self.rng.choice(self.site.service.agents()))

    def replace_balancer(self) -> None:
        """Replaces a balancer while another is left."""
        entries = self.site.world.entries
        if len(entries) > 1:
            self.site.replace(self.rng.choice(entries))

    def schedule_changes(self) -> None:
        """Schedules random changes over ``CHANGE_PERIOD_S`` seconds."""
        at = 0.0
        while at < CHANGE_PERIOD_S:
            at += self.rng.expovariate(1.0 / MEAN_CHANGE_GAP_S)
            change = self.rng.choice(
                [
                    self.attach,
                    self.detach,
                    self.detach,
                    self.drain,
                    self.weigh,
                    self.restart_agent,
                    self.replace_balancer,
                ]
            )
            self.site.world.at(at, self._recorded(change))

    def _recorded(self, change: Callable[[], None]) -> Callable[[], None]:
        def run() -> None:
            self.done.append(change.__name__)
            change()

        return run


def run_random_changes(
    seed: int, adapt: Callable[[controllers.Node], None] | None = None
) -> Site:
    """Runs a deployment with random planned changes to its end."""
    site = make_site(seed, adapt)
    Operator(site, random.Random(seed * 7 + 1)).schedule_changes()
    finish(site)
    return site
