"""Random long runs with hundreds of configuration changes.

Balancers are cut off from the store and from each other, killed and frozen.
Routes are added, removed and added again.

python -m notchhoist.testing.opaque.changes --seed 1 --count 20
"""

import random
import sys
from collections.abc import Callable
from functools import partial
from typing import Annotated

import attrs
import cappa

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.testing.opaque import published, troubles
from notchhoist.testing.opaque.config_judge import ConfigurationJudge
from notchhoist.testing.opaque.hosts import HOST_START_S, Host
from notchhoist.testing.opaque.traffic import WHANGANUI, Workload
from notchhoist.testing.opaque.world import OpaqueWorld

ZONES = ("a", "b", "c")
BALANCERS = 6
LOSS_SHARE = 0.01
"""Share of datagrams lost without any trouble, and of store responses that
are sent again."""

CALM_S = 6.0
"""Time without troubles at the start and at the end of a run, seconds."""

CHANGE_INTERVAL_S = (0.1, 0.6)
"""Bounds of the time between two changes, seconds."""

TROUBLE_INTERVAL_S = (0.5, 6.0)
TROUBLE_DURATION_S = (0.5, 12.0)
SPARE_ROUTES = 6
FIRST_SPARE_PORT = 20_000


@attrs.define(eq=False)
class RandomRun:
    """One random run.

    Attributes:
        world: The simulated deployment.
        rng: Source of every random draw about the run.
        judge: Checks the configuration at the balancers.
        last_change_at: No change is made after this time, seconds.
        version: Newest version of the configuration.
        spare_routes: Numbers of the optional routes that exist now.
        timeout_ms: Timeout of the optional routes, which changes.
    """

    world: OpaqueWorld
    rng: random.Random
    judge: ConfigurationJudge
    last_change_at: float
    version: int = 0
    spare_routes: set[int] = attrs.Factory(set)
    timeout_ms: int = 1000

    def balancers(self) -> list[Host]:
        """Returns the hosts that run balancers."""
        return [host for host in self.world.hosts.values() if not host.service]

    def publish(self) -> None:
        """Publishes the next configuration; versions rise in random steps."""
        self.version += self.rng.randint(1, 3)
        workloads = [
            *WHANGANUI,
            *(self._spare_route(n) for n in self.spare_routes),
        ]
        document = published.configuration_of(self.version, workloads)
        self.judge.publish(document)

    def _spare_route(self, number: int) -> Workload:
        """Returns an optional route with the current timeout."""
        port = FIRST_SPARE_PORT + number
        return attrs.evolve(
            WHANGANUI[0],
            name=f"spare-{number}",
            port=port,
            deadline_s=self.timeout_ms / 1000,
        )

    def change(self) -> None:
        """Makes one change and schedules the next one."""
        if self.world.now > self.last_change_at:
            return
        if self.rng.random() < 0.2:
            self.timeout_ms = self.rng.choice([1000, 2000])
        else:
            self.spare_routes ^= {self.rng.randrange(SPARE_ROUTES)}
        self.publish()
        self.world.later(self.rng.uniform(*CHANGE_INTERVAL_S), self.change)

    def trouble(self) -> None:
        """Injects one trouble and schedules the next one."""
        if self.world.now > self.last_change_at - CALM_S:
            return
        for_s = self.rng.uniform(*TROUBLE_DURATION_S)
        host = self.rng.choice(self.balancers())
        kinds: list[Callable[[Host, float], None]] = [
            *(self.cut_store, self.cut_readers, self.cut_peers),
            *(self.kill, self.freeze, self.compact_store),
        ]
        self.rng.choice(kinds)(host, for_s)
        self.world.later(self.rng.uniform(*TROUBLE_INTERVAL_S), self.trouble)

    # Troubles.

    def cut_store(self, host: Host, for_s: float) -> None:
        """Cuts a balancer off from the store."""
        self.judge.disturb(host.ip, for_s)
        troubles.cut(self.world, host.ip, host.ip, for_s)

    def cut_readers(self, _: Host, for_s: float) -> None:
        """Cuts the balancers that read the store off from it."""
        for host in self.readers():
            self.cut_store(host, for_s)

    def readers(self) -> list[Host]:
        """Returns the balancers that read the store now."""
        return [
            host
            for host in self.balancers()
            if isinstance(host.node, BalancerNode)
            and host.node.synchronizer.membership.is_reader(self.world.now)
        ]

    def cut_peers(self, host: Host, for_s: float) -> None:
        """Cuts a balancer off from all others, but not from the store."""
        for other in self.balancers():
            if other is not host:
                troubles.cut(self.world, host.ip, other.ip, for_s)
        self.judge.disturb(host.ip, for_s)

    def kill(self, host: Host, for_s: float) -> None:
        """Kills a balancer."""
        self.judge.disturb(host.ip, for_s + HOST_START_S)
        troubles.kill(self.world, host, for_s)

    def freeze(self, host: Host, for_s: float) -> None:
        """Freezes a balancer, unless it is down or frozen already."""
        if host.node is None or host.frozen:
            return
        self.judge.disturb(host.ip, for_s)
        troubles.freeze(self.world, host, for_s)

    def compact_store(self, _: Host, __: float) -> None:
        """Compacts the store's history."""
        self.world.store.compact()


def make_run(seed: int, seconds: float) -> RandomRun:
    """Makes a run without troubles; ``RandomRun.trouble`` starts them.

    Args:
        seed: Seed of every random draw.
        seconds: Time until the last change, seconds.
    """
    world = OpaqueWorld(random.Random(seed), ZONES, WHANGANUI)
    world.network.loss = LOSS_SHARE
    world.store.resent_share = LOSS_SHARE
    run = RandomRun(
        world, random.Random(seed), ConfigurationJudge(world), seconds
    )
    run.publish()
    for number in range(BALANCERS):
        host = world.add_host(ZONES[number % len(ZONES)])
        run.judge.disturb(host.ip)
    for zone in ZONES:
        world.add_host(zone, WHANGANUI[0].service)
    run.judge.start()
    world.later(CALM_S, run.change)
    return run


def simulate(seed: int, seconds: float) -> RandomRun:
    """Simulates a run with troubles of all kinds.

    Args:
        seed: Seed of every random draw.
        seconds: Time until the last change, seconds.
    """
    run = make_run(seed, seconds)
    run.world.later(CALM_S, run.trouble)
    run.world.run_until(seconds + CALM_S)
    return run


def simulate_without_readers(
    seed: int, seconds: float, resent_share: float = LOSS_SHARE
) -> RandomRun:
    """Simulates a run whose readers are cut off from the store until its end.

    Args:
        seed: Seed of every random draw.
        seconds: Time until the last change, seconds.
        resent_share: Share of the store's responses that are sent again.
    """
    run = make_run(seed, seconds)
    run.world.store.resent_share = resent_share
    cut = partial(run.cut_readers, run.balancers()[0], seconds)
    run.world.later(CALM_S, cut)
    run.world.run_until(seconds + CALM_S)
    return run


@cappa.command(name="changes", description="Plays long days of changes.")
@attrs.define
class Command:
    """The command line.

    Attributes:
        seed: The first seed.
        count: How many seeds are played.
        seconds: Length of a day, seconds.
        readers: Only the readers are cut off from the store, all day.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    count: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 110.0
    readers: Annotated[bool, cappa.Arg(long=True)] = False


def main() -> int:
    """Entry point; returns 1 if a run broke a guarantee."""
    command = cappa.parse(Command)
    simulation = simulate_without_readers if command.readers else simulate
    broken = 0
    for seed in range(command.seed, command.seed + command.count):
        run = simulation(seed, command.seconds)
        faults = list(run.judge.broken.values())
        broken += bool(faults)
        print(
            f"{seed}: {len(run.judge.published)} changes, oldest in calm"
            f" {run.judge.max_lag_s:.3f} s, {run.world.store.calls} calls,"
            f" {len(faults)} faults"
        )
        for fault in faults[:8]:
            print(f"  {fault}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
