"""Random runs in which the store is restored from backups repeatedly.

Operators and backend servers keep writing, and write what a restore lost again
within two seconds. At the end every balancer must know what the store holds.

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
    WARM_UP_S,
    make_world,
    start_traffic,
)
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.world import OpaqueWorld

SECONDS = 24.0
ACTION_COUNT = (6, 22)
"""Bounds of the number of operations in a run."""

BACKUP_AGE_S = (0.05, 5.0)
OUTAGE_S = (0.05, 2.5)
RESTORE_INTERVAL_S = (0.3, 9.0)
"""Bounds of the time from a restore to the next backup, seconds."""

RETRY_S = 0.1
REWRITE_DELAY_S = 1.0
ENTRY_LEASE_S = troubles.HEARTBEAT_S * troubles.HEARTBEATS_MISSED
MIN_SERVERS = 2
"""Number of servers of a service that are never drained."""


@attrs.define(eq=False)
class RandomRun:
    """One random run.

    Attributes:
        world: The simulated deployment.
        rng: Source of every random draw about the run.
        version: Version of the newest published configuration.
        evacuated: Zones that the operator has evacuated.
    """

    world: OpaqueWorld
    rng: random.Random
    version: int = 1
    evacuated: set[str] = attrs.Factory(set)

    def plan(self) -> None:
        """Draws the operations and the outages of the store."""
        actions = [
            self.publish,
            self.drain_server,
            self.evacuate,
            self.add_server,
        ]
        actions += [self.kill_balancer, self.kill_agent]
        for _ in range(self.rng.randint(*ACTION_COUNT)):
            at = self.rng.uniform(4.0, SECONDS - 2.0)
            action = self.rng.choice(actions)
            self.world.later(at, partial(self.when_store_up, action))
        at = self.rng.uniform(4.0, 8.0)
        while at < SECONDS - 4.0:
            backup_age_s, outage_s = (
                self.rng.uniform(*r) for r in (BACKUP_AGE_S, OUTAGE_S)
            )
            self.world.later(at, partial(self.restore, backup_age_s, outage_s))
            at += (
                backup_age_s + outage_s + self.rng.uniform(*RESTORE_INTERVAL_S)
            )

    def when_store_up(self, action: Callable[[], None]) -> None:
        """Runs an operation as soon as the store is up."""
        if self.world.store.down:
            self.world.later(RETRY_S, partial(self.when_store_up, action))
        else:
            action()

    # Operations of operators and backend servers.

    def publish(self) -> None:
        """Publishes the next configuration."""
        self.version += 1
        self.world.publish(self.version)

    def drain_server(self) -> None:
        """Drains a backend server if its service has enough of them."""
        ready: dict[str, list[Host]] = {}
        for host in self.world.hosts.values():
            server = host.server
            if server is not None and server.alive and not server.draining:
                ready.setdefault(server.service, []).append(host)
        candidates = [
            host
            for hosts in ready.values()
            if len(hosts) > MIN_SERVERS
            for host in hosts
        ]
        if candidates:
            troubles.retire(self.world, self.rng.choice(candidates))

    def evacuate(self) -> None:
        """Evacuates a zone for some seconds."""
        zone = self.rng.choice(list(self.world.zones))
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        self.world.judge.evacuated[zone] = self.world.now
        self.world.store.put(f"op/evacuate/{zone}", {})
        end_evacuation = partial(
            self.when_store_up, partial(self._end_evacuation, zone)
        )
        self.world.later(self.rng.uniform(1.0, 8.0), end_evacuation)

    def _end_evacuation(self, zone: str) -> None:
        self.evacuated.discard(zone)
        self.world.judge.evacuated.pop(zone, None)
        self.world.store.remove(f"op/evacuate/{zone}")

    def add_server(self) -> None:
        """Adds a backend server of a random service and zone."""
        template = self.rng.choice([h for h in self._hosts() if h.service])
        self.world.add_host(template.zone, template.service)

    def kill_balancer(self) -> None:
        """Kills a balancer, which restarts later."""
        balancers = [host for host in self._hosts() if not host.service]
        troubles.kill(self.world, self.rng.choice(balancers))

    def kill_agent(self) -> None:
        """Kills an agent; its backend server keeps running."""
        agents = [host for host in self._hosts() if host.service]
        troubles.kill(self.world, self.rng.choice(agents))

    def _hosts(self) -> list[Host]:
        return list(self.world.hosts.values())

    # The store.

    def restore(self, backup_age_s: float, outage_s: float) -> None:
        """Takes a backup now and restores the store from it after an outage.

        Args:
            backup_age_s: Age of the backup when the outage starts, seconds.
            outage_s: Length of the outage, seconds.
        """
        world = self.world
        backup = world.store.backup()

        def begin_outage() -> None:
            world.judge.disturb(world.now)
            world.store.down = self.rng.choice(["silent", "reset", "busy"])

        def end_outage() -> None:
            world.judge.disturb(world.now)
            world.store.down = ""
            world.store.restore(backup)
            troubles.rewrite_entries(world)
            self._rewrite_lost()

        world.later(backup_age_s, begin_outage)
        world.later(backup_age_s + outage_s, end_outage)

    def _rewrite_lost(self) -> None:
        """Lets the operator rewrite what was lost, and dead entries expire."""
        for action in (self._republish, self._rewrite_evacuations):
            delay = self.rng.uniform(0.0, REWRITE_DELAY_S)
            self.world.later(delay, partial(self.when_store_up, action))
        for key in list(self.world.store.items):
            if key.startswith("servers/") and key not in self._live_keys():
                self.world.later(
                    ENTRY_LEASE_S, partial(self._remove_expired, key)
                )

    def _republish(self) -> None:
        stored = self.world.store.value("op/config")
        if stored is None or stored["version"] != self.version:
            self.world.publish(self.version)

    def _rewrite_evacuations(self) -> None:
        for zone in self.world.zones:
            key = f"op/evacuate/{zone}"
            published = self.world.store.value(key) is not None
            if published and zone not in self.evacuated:
                self.world.store.remove(key)
            elif not published and zone in self.evacuated:
                self.world.store.put(key, {})

    def _remove_expired(self, key: str) -> None:
        if key not in self._live_keys():
            self.world.store.remove(key)

    def _live_keys(self) -> set[str]:
        servers = [host.server for host in self._hosts()]
        return {
            f"servers/{server.server_id}"
            for server in servers
            if server is not None and server.alive
        }

    # Checks at the end of the run.

    def faults(self) -> Iterator[str]:
        """Yields broken guarantees and differences of views from the store."""
        yield from self.world.judge.broken
        for host in self._hosts():
            if isinstance(host.node, BalancerNode):
                yield from self._view_faults(host.name, host.node)

    def _view_faults(self, name: str, node: BalancerNode) -> Iterator[str]:
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
            stored = store.value(f"servers/{server_id}") or {}
            draining = stored.get("state") == "draining"
            if view.servers[server_id].draining != draining:
                yield f"{name}: {server_id} leaves: {draining}"


def simulate(seed: int, names_era: bool = True) -> RandomRun:
    """Simulates the run of a seed.

    Args:
        seed: Seed of every random draw.
        names_era: Whether the store's responses name its era, which changes
            with each restore.
    """
    world = make_world(seed)
    world.store.sends_era = names_era
    start_traffic(world, WARM_UP_S + SECONDS)
    run = RandomRun(world, random.Random(seed))
    run.plan()
    longest_deadline_s = max(item.deadline_s for item in world.workloads)
    world.run_until(WARM_UP_S + SECONDS + longest_deadline_s)
    return run


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
    """Entry point; returns 1 if a run broke a guarantee."""
    command = cappa.parse(Command)
    broken = 0
    for seed in range(command.seed, command.seed + command.count):
        run = simulate(seed, not command.unnamed)
        faults = list(run.faults())
        broken += bool(faults)
        worth = run.world.judge.worth(run.world.workloads)
        calls = run.world.store.calls
        print(f"{seed}: worth {worth:.3f}, {calls} calls, {len(faults)} faults")
        for fault in faults[:5]:
            print(f"  {fault}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
