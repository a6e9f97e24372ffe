"""Random long days with hundreds of changes of the configuration.

Balancers are cut off from the store and from each other, killed and frozen;
routes come, go and come back.

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
from notchhoist.testing.opaque.hosts import START_S, Host
from notchhoist.testing.opaque.traffic import WHANGANUI, Workload
from notchhoist.testing.opaque.world import OpaqueWorld

ZONES = ("a", "b", "c")
BALANCERS = 6
LOSS = 0.01
"""Share of datagrams that are lost in calm, and of answers sent again."""

CALM_S = 6.0
"""Time until the first trouble, and after the last one, seconds."""

GAPS_S = (0.1, 0.6)
"""Bounds of the time between two changes, seconds."""

TROUBLE_GAPS_S = (0.5, 6.0)
TROUBLE_LASTS_S = (0.5, 12.0)
SPARE_ROUTES = 6
FIRST_SPARE_PORT = 20_000


@attrs.define(eq=False)
class Day:
    """One random day.

    Attributes:
        world: The world.
        rng: Source of every draw about the day.
        judge: Looks at the balancers.
        ends_at: When the last change is made, seconds.
        version: Newest version.
        spare: Routes that come and go, those that are there.
        timeout_ms: A figure that changes.
    """

    world: OpaqueWorld
    rng: random.Random
    judge: ConfigurationJudge
    ends_at: float
    version: int = 0
    spare: set[int] = attrs.Factory(set)
    timeout_ms: int = 1000

    def balancers(self) -> list[Host]:
        """Returns the hosts of balancers."""
        return [host for host in self.world.hosts.values() if not host.service]

    def publish(self) -> None:
        """Publishes the next configuration; versions rise in uneven steps."""
        self.version += self.rng.randint(1, 3)
        workloads = [*WHANGANUI, *(self._spare_route(n) for n in self.spare)]
        document = published.configuration_of(self.version, workloads)
        self.judge.publish(document)

    def _spare_route(self, number: int) -> Workload:
        """Returns a route whose figures change from day to day."""
        port = FIRST_SPARE_PORT + number
        return attrs.evolve(
            WHANGANUI[0],
            name=f"spare-{number}",
            port=port,
            deadline_s=self.timeout_ms / 1000,
        )

    def change(self) -> None:
        """Changes something, and comes back for the next change."""
        if self.world.now > self.ends_at:
            return
        if self.rng.random() < 0.2:
            self.timeout_ms = self.rng.choice([1000, 2000])
        else:
            self.spare ^= {self.rng.randrange(SPARE_ROUTES)}
        self.publish()
        self.world.later(self.rng.uniform(*GAPS_S), self.change)

    def trouble(self) -> None:
        """Brings one trouble about, and comes back for the next one."""
        if self.world.now > self.ends_at - CALM_S:
            return
        for_s = self.rng.uniform(*TROUBLE_LASTS_S)
        host = self.rng.choice(self.balancers())
        kinds: list[Callable[[Host, float], None]] = [
            *(self.cut_store, self.cut_readers, self.cut_hosts),
            *(self.kill, self.freeze, self.forget),
        ]
        self.rng.choice(kinds)(host, for_s)
        self.world.later(self.rng.uniform(*TROUBLE_GAPS_S), self.trouble)

    # Troubles.

    def cut_store(self, host: Host, for_s: float) -> None:
        """Cuts a balancer off from the store."""
        self.judge.disturb(host.ip, for_s)
        troubles.cut(self.world, host.ip, host.ip, for_s)

    def cut_readers(self, _: Host, for_s: float) -> None:
        """Cuts those off from the store that read it now."""
        for host in self.readers():
            self.cut_store(host, for_s)

    def readers(self) -> list[Host]:
        """Returns the balancers that read the store."""
        return [
            host
            for host in self.balancers()
            if isinstance(host.node, BalancerNode)
            and host.node.synchronizer.membership.is_reader(self.world.now)
        ]

    def cut_hosts(self, host: Host, for_s: float) -> None:
        """Cuts a balancer off from all others; it reaches the store."""
        for other in self.balancers():
            if other is not host:
                troubles.cut(self.world, host.ip, other.ip, for_s)
        self.judge.disturb(host.ip, for_s)

    def kill(self, host: Host, for_s: float) -> None:
        """Kills a process."""
        self.judge.disturb(host.ip, for_s + START_S)
        troubles.kill(self.world, host, for_s)

    def freeze(self, host: Host, for_s: float) -> None:
        """Lets a process stand still."""
        if host.node is None or host.frozen:
            return
        self.judge.disturb(host.ip, for_s)
        troubles.freeze(self.world, host, for_s)

    def forget(self, _: Host, __: float) -> None:
        """Lets the store forget its history."""
        self.world.store.compact()


def make_day(seed: int, seconds: float) -> Day:
    """Makes a day without troubles; ``Day.trouble`` begins them.

    Args:
        seed: Seed of every draw.
        seconds: Time until the last change, seconds.
    """
    world = OpaqueWorld(random.Random(seed), ZONES, WHANGANUI)
    world.network.loss = LOSS
    world.store.resent_share = LOSS
    day = Day(world, random.Random(seed), ConfigurationJudge(world), seconds)
    day.publish()
    for number in range(BALANCERS):
        host = world.add_host(ZONES[number % len(ZONES)])
        day.judge.disturb(host.ip)
    for zone in ZONES:
        world.add_host(zone, WHANGANUI[0].service)
    day.judge.start()
    world.later(CALM_S, day.change)
    return day


def play(seed: int, seconds: float) -> Day:
    """Plays a day with troubles of all kinds.

    Args:
        seed: Seed of every draw.
        seconds: Time until the last change, seconds.
    """
    day = make_day(seed, seconds)
    day.world.later(CALM_S, day.trouble)
    day.world.run_until(seconds + CALM_S)
    return day


def play_without_readers(
    seed: int, seconds: float, resent_share: float = LOSS
) -> Day:
    """Plays a day on which the readers are cut off from the store for long.

    Args:
        seed: Seed of every draw.
        seconds: Time until the last change, seconds.
        resent_share: Share of the store's answers that are sent again.
    """
    day = make_day(seed, seconds)
    day.world.store.resent_share = resent_share
    cut = partial(day.cut_readers, day.balancers()[0], seconds)
    day.world.later(CALM_S, cut)
    day.world.run_until(seconds + CALM_S)
    return day


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
    """Entry point; status 1 where something broke that must hold."""
    command = cappa.parse(Command)
    player = play_without_readers if command.readers else play
    broken = 0
    for seed in range(command.seed, command.seed + command.count):
        day = player(seed, command.seconds)
        faults = list(day.judge.broken.values())
        broken += bool(faults)
        print(
            f"{seed}: {len(day.judge.published)} changes, oldest in calm"
            f" {day.judge.oldest_s:.3f} s, {day.world.store.calls} calls,"
            f" {len(faults)} faults"
        )
        for fault in faults[:8]:
            print(f"  {fault}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
