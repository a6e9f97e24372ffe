"""Planned changes and deaths in a fake deployment of streams and uploads."""

import random
from collections.abc import Callable

import attrs

from notchhoist import controllers, model
from notchhoist.testing.caller import Mode, Task
from notchhoist.testing.chaos import (
    IDLE_S,
    MEMORY_S,
    PLAN_FLOWS,
    trust_first_start,
)
from notchhoist.testing.deployment import add_server, build_world, server_of
from notchhoist.testing.world import World

SERVICE_S = 0.05
STREAMS = 40
UPLOADS = 20
UPLOADS_EACH = 2
NOTIFICATIONS = 50
UPLOAD_BYTES = 24_000
SETTLED_S = 5.0
LIMIT_S = 150.0
REPLACE_EVERY_S = 4.0
AWAY_S = 2.0


@attrs.define
class Site:
    """A deployment under change.

    Attributes:
        world: The fake network.
        configuration: The document as last published.
    """

    world: World
    configuration: model.Configuration

    @property
    def service(self) -> model.Service:
        """The service as last published."""
        return self.configuration.services[0]

    def publish(self, *servers: model.BackendServer) -> None:
        """Publishes another list of servers as the next revision."""
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
        """Attaches one and detaches another almost at once."""
        self.attach()
        self.world.at(0.01, self.detach)

    def drain(self) -> None:
        """Drains the first backend server."""
        first, *others = self.service.servers
        state = model.ServerState.DRAINING
        self.publish(attrs.evolve(first, state=state), *others)

    def weigh(self) -> None:
        """Gives the first backend server five times its weight."""
        first, *others = self.service.servers
        self.publish(attrs.evolve(first, weight=5.0), *others)

    def replace_balancers(self) -> None:
        """Replaces all balancers, one after another."""
        for place, peer in enumerate(list(self.world.entries)):
            self.replace(peer, place * REPLACE_EVERY_S)

    def restart_agent(self) -> None:
        """Restarts the first agent beside its living backend server."""
        self.replace(self.service.servers[0].agent, 0.0)

    def restart_agents(self) -> None:
        """Restarts all agents, one after another."""
        for place, agent in enumerate(self.service.agents()):
            self.replace(agent, place * REPLACE_EVERY_S)

    def replace(self, peer: model.Endpoint, delay: float = 0.0) -> None:
        """Replaces the node of a host."""
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
        world.at(delay + AWAY_S, come_back)

    def kill_host(self) -> None:
        """The first backend server host dies with all that runs on it."""
        agent = self.service.servers[0].agent
        self.world.kill(agent)
        del self.world.backends[agent]

    def established_at(self, agent: model.Endpoint) -> int:
        """Returns how many streams and uploads a backend server has."""
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
    """Makes a deployment with established streams and uploads.

    Args:
        seed: Seed of everything in the run.
        adapt: Changes each node at its start.

    Returns:
        The site, a few seconds after its callers began.
    """
    world = World(random.Random(seed), adapt=adapt)
    configuration = build_world(
        world,
        (PLAN_FLOWS,),
        memory_s=MEMORY_S,
        idle_s=IDLE_S,
        service_s=SERVICE_S,
    )
    trust_first_start(world)
    world.run(2.0)
    _add_callers(world)
    world.run(SETTLED_S)
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


def flows_of_run() -> int:
    """Returns how many streams and uploads a run has."""
    return STREAMS + UPLOADS * UPLOADS_EACH


def finish(site: Site) -> bool:
    """Lets every caller finish; False at the limit."""
    return site.world.run_until(site.world.callers_done, LIMIT_S)


CHANGES_S = 12.0
CHANGE_GAP_S = 0.8
RESTART_GAP_S = 6.0
FEWEST_ACTIVE = 3


@attrs.define
class Operator:
    """Somebody who changes a site at random, several things at once.

    No two agents are away at the same moment.

    Attributes:
        site: The site.
        rng: Source of the changes.
        done: Names of the changes so far.
        restart_after: No agent is restarted before this time, seconds.
        attached: How many servers have been attached.
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
        if len(servers) <= FEWEST_ACTIVE + 1:
            return
        gone = self.rng.choice(servers)
        self.site.publish(*[item for item in servers if item != gone])

    def drain(self) -> None:
        """Drains a backend server, or ends that."""
        servers = self.site.service.servers
        chosen = self.rng.choice(servers)
        active = [s for s in servers if s.state is model.ServerState.ACTIVE]
        state = model.ServerState.ACTIVE
        if chosen in active:
            if len(active) <= FEWEST_ACTIVE:
                return
            state = model.ServerState.DRAINING
        self._change(chosen, attrs.evolve(chosen, state=state))

    def weigh(self) -> None:
        """Gives a backend server another weight."""
        chosen = self.rng.choice(self.site.service.servers)
        weight = self.rng.uniform(0.5, 5.0)
        self._change(chosen, attrs.evolve(chosen, weight=weight))

    def _change(
        self, old: model.BackendServer, new: model.BackendServer
    ) -> None:
        servers = self.site.service.servers
        self.site.publish(*[new if item == old else item for item in servers])

    def restart_agent(self) -> None:
        """Restarts an agent beside its living backend server."""
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

    def work(self) -> None:
        """Plans changes at random for a while."""
        at = 0.0
        while at < CHANGES_S:
            at += self.rng.expovariate(1.0 / CHANGE_GAP_S)
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
            self.site.world.at(at, self._noted(change))

    def _noted(self, change: Callable[[], None]) -> Callable[[], None]:
        def run() -> None:
            self.done.append(change.__name__)
            change()

        return run


def run_random_changes(
    seed: int, adapt: Callable[[controllers.Node], None] | None = None
) -> Site:
    """Runs a site under random planned changes to its end."""
    site = make_site(seed, adapt)
    Operator(site, random.Random(seed * 7 + 1)).work()
    finish(site)
    return site
