"""Random days on which the store comes back from copies, again and again.

Operators and backend servers go on writing; what the store loses they write
again within two seconds. At the end every balancer must know what it holds.

python -m notchhoist.testing.opaque.restores --seed 1 --count 100
"""

import random
import sys
from collections.abc import Callable, Iterator
from functools import partial
from typing import Annotated

import attrs
import cappa

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import (
    LEAD_S,
    make_world,
    start_traffic,
)
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.world import OpaqueWorld

SECONDS = 24.0
ACTIONS = (6, 22)
"""How many things are done in a day."""

COPY_AGE_S = (0.05, 5.0)
AWAY_S = (0.05, 2.5)
CALM_S = (0.3, 9.0)
"""From one restore to the next copy, seconds."""

RETRY_S = 0.1
WRITTEN_AGAIN_S = 1.0
LAPSE_S = troubles.HEARTBEAT_S * troubles.HEARTBEATS_MISSED
SERVERS_LEFT = 2
"""Servers of a service that never leave."""


@attrs.define(eq=False)
class Day:
    """One random day.

    Attributes:
        world: The world.
        rng: Source of every draw about the day.
        version: Newest configuration that was published.
        evacuated: Zones that are evacuated.
    """

    world: OpaqueWorld
    rng: random.Random
    version: int = 1
    evacuated: set[str] = attrs.Factory(set)

    def plan(self) -> None:
        """Draws what is done, and when the store comes back."""
        actions = [self.publish, self.leave, self.evacuate, self.add_server]
        actions += [self.kill_balancer, self.kill_agent]
        for _ in range(self.rng.randint(*ACTIONS)):
            at = self.rng.uniform(4.0, SECONDS - 2.0)
            action = self.rng.choice(actions)
            self.world.later(at, partial(self.once_up, action))
        at = self.rng.uniform(4.0, 8.0)
        while at < SECONDS - 4.0:
            age, away = (self.rng.uniform(*r) for r in (COPY_AGE_S, AWAY_S))
            self.world.later(at, partial(self.restore, age, away))
            at += age + away + self.rng.uniform(*CALM_S)

    def once_up(self, action: Callable[[], None]) -> None:
        """Does something as soon as the store takes it."""
        if self.world.store.down:
            self.world.later(RETRY_S, partial(self.once_up, action))
        else:
            action()

    # What operators and backend servers do.

    def publish(self) -> None:
        """Publishes the next configuration."""
        self.version += 1
        self.world.publish(self.version)

    def leave(self) -> None:
        """Lets a backend server leave, if its service can spare one."""
        ready: dict[str, list[Host]] = {}
        for host in self.world.hosts.values():
            server = host.server
            if server is not None and server.alive and not server.draining:
                ready.setdefault(server.service, []).append(host)
        spare = [
            host
            for hosts in ready.values()
            if len(hosts) > SERVERS_LEFT
            for host in hosts
        ]
        if spare:
            troubles.retire(self.world, self.rng.choice(spare))

    def evacuate(self) -> None:
        """Has a zone evacuated for some seconds."""
        zone = self.rng.choice(list(self.world.zones))
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        self.world.judge.evacuated[zone] = self.world.now
        self.world.store.put(f"op/evacuate/{zone}", {})
        take_back = partial(self.once_up, partial(self._take_back, zone))
        self.world.later(self.rng.uniform(1.0, 8.0), take_back)

    def _take_back(self, zone: str) -> None:
        self.evacuated.discard(zone)
        self.world.judge.evacuated.pop(zone, None)
        self.world.store.remove(f"op/evacuate/{zone}")

    def add_server(self) -> None:
        """Adds a backend server."""
        like = self.rng.choice([h for h in self._hosts() if h.service])
        self.world.add_host(like.zone, like.service)

    def kill_balancer(self) -> None:
        """Kills a balancer, which starts again."""
        entries = [host for host in self._hosts() if not host.service]
        troubles.kill(self.world, self.rng.choice(entries))

    def kill_agent(self) -> None:
        """Kills an agent beside its living server."""
        agents = [host for host in self._hosts() if host.service]
        troubles.kill(self.world, self.rng.choice(agents))

    def _hosts(self) -> list[Host]:
        return list(self.world.hosts.values())

    # The store.

    def restore(self, age: float, away: float) -> None:
        """Brings the store back from a copy that is taken now.

        Args:
            age: How old the copy is when the store goes away, seconds.
            away: For how long it is away, seconds.
        """
        world = self.world
        copy = world.store.copy()

        def go_away() -> None:
            world.judge.disturb(world.now)
            world.store.down = self.rng.choice(["silent", "reset", "busy"])

        def come_back() -> None:
            world.judge.disturb(world.now)
            world.store.down = ""
            world.store.restore(copy)
            troubles.write_entries_again(world)
            self._write_again()

        world.later(age, go_away)
        world.later(age + away, come_back)

    def _write_again(self) -> None:
        """Lets the operator write again what was lost, and entries lapse."""
        for action in (self._publish_again, self._evacuate_again):
            delay = self.rng.uniform(0.0, WRITTEN_AGAIN_S)
            self.world.later(delay, partial(self.once_up, action))
        for key in list(self.world.store.items):
            if key.startswith("servers/") and key not in self._alive():
                self.world.later(LAPSE_S, partial(self._lapse, key))

    def _publish_again(self) -> None:
        held = self.world.store.value("op/config")
        if held is None or held["version"] != self.version:
            self.world.publish(self.version)

    def _evacuate_again(self) -> None:
        for zone in self.world.zones:
            key = f"op/evacuate/{zone}"
            there = self.world.store.value(key) is not None
            if there and zone not in self.evacuated:
                self.world.store.remove(key)
            elif not there and zone in self.evacuated:
                self.world.store.put(key, {})

    def _lapse(self, key: str) -> None:
        if key not in self._alive():
            self.world.store.remove(key)

    def _alive(self) -> set[str]:
        servers = [host.server for host in self._hosts()]
        return {
            f"servers/{server.server_id}"
            for server in servers
            if server is not None and server.alive
        }

    # What must hold in the end.

    def faults(self) -> Iterator[str]:
        """Yields what was broken, and what a balancer does not know."""
        yield from self.world.judge.broken
        for host in self._hosts():
            if isinstance(host.node, BalancerNode):
                yield from self._ignorance(host.name, host.node)

    def _ignorance(self, name: str, node: BalancerNode) -> Iterator[str]:
        store, view = self.world.store, node.board.view
        version = view.table.version if view.table else 0
        if version != self.version:
            yield f"{name}: version {version} of {self.version}"
        if set(view.evacuated) != self.evacuated:
            yield f"{name}: {set(view.evacuated)} of {self.evacuated} evacuated"
        ids = {
            key.removeprefix("servers/")
            for key in store.items
            if key.startswith("servers/")
        }
        if set(view.servers) != ids:
            yield f"{name}: other servers: {set(view.servers) ^ ids}"
        for server_id in ids & set(view.servers):
            held = store.value(f"servers/{server_id}") or {}
            leaving = held.get("state") == "draining"
            if view.servers[server_id].draining != leaving:
                yield f"{name}: {server_id} leaves: {leaving}"


def play(seed: int, names_era: bool = True) -> Day:
    """Plays the day of a seed.

    Args:
        seed: Seed of every draw.
        names_era: The store's answers say that it came back from a copy.
    """
    world = make_world(seed)
    world.store.names_era = names_era
    start_traffic(world, LEAD_S + SECONDS)
    day = Day(world, random.Random(seed))
    day.plan()
    longest = max(item.deadline_s for item in world.workloads)
    world.run_until(LEAD_S + SECONDS + longest)
    return day


@cappa.command(name="restores", description="Plays days with restores.")
@attrs.define
class Command:
    """The command line.

    Attributes:
        seed: The first seed.
        count: How many seeds are played.
        unnamed: The store does not say that it came back from a copy.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    count: Annotated[int, cappa.Arg(long=True)] = 1
    unnamed: Annotated[bool, cappa.Arg(long=True)] = False


def main() -> int:
    """Entry point; status 1 where something broke that must hold."""
    command = cappa.parse(Command)
    broken = 0
    for seed in range(command.seed, command.seed + command.count):
        day = play(seed, not command.unnamed)
        faults = list(day.faults())
        broken += bool(faults)
        worth = day.world.judge.worth(day.world.workloads)
        calls = day.world.store.calls
        print(f"{seed}: worth {worth:.3f}, {calls} calls, {len(faults)} faults")
        for fault in faults[:5]:
            print(f"  {fault}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
