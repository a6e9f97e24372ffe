"""Faults and planned operations that can be injected into a world."""

from collections.abc import Mapping
from functools import partial

import attrs

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.testing.opaque import published
from notchhoist.testing.opaque.hosts import HOST_START_S, Host
from notchhoist.testing.opaque.odd_documents import odd_document
from notchhoist.testing.opaque.store import StoreBackup
from notchhoist.testing.opaque.world import OpaqueWorld

HEARTBEAT_S = 1.2
HEARTBEATS_MISSED = 3
"""Number of missed heartbeats after which a server's entry expires."""

DRAIN_S = 1.8
"""How long a stopping balancer goes on forwarding, seconds."""


def kill(world: OpaqueWorld, host: Host, for_s: float = HOST_START_S) -> None:
    """Kills a host's process, which restarts after a while."""
    world.judge.disturb(world.now)
    host.node = None
    host.frozen = False
    host.generation += 1
    world.later(for_s, lambda: _start_killed(world, host))


def _start_killed(world: OpaqueWorld, host: Host) -> None:
    world.judge.disturb(world.now)
    if host.node is None and host.ip in world.hosts:
        world.start(host)


def crash_server(world: OpaqueWorld, host: Host) -> None:
    """Crashes a backend server; its entry expires later."""
    server = host.server
    if server is None:
        return
    server.alive = False
    expires_in_s = HEARTBEAT_S * HEARTBEATS_MISSED
    key = f"servers/{server.server_id}"
    world.later(expires_in_s, lambda: world.store.remove(key))


def power_off(world: OpaqueWorld, host: Host, for_s: float) -> None:
    """Cuts a host's power; when it returns, everything on it restarts."""
    kill(world, host, for_s + HOST_START_S)
    host.dark = True
    world.later(for_s, lambda: setattr(host, "dark", False))
    if host.server is not None:
        slots = host.server.slots
        crash_server(world, host)
        world.later(for_s, lambda: world.start_server(host, slots))


def stop_balancer(
    world: OpaqueWorld, host: Host, drain_s: float = DRAIN_S
) -> None:
    """Stops a balancer as planned and restarts it."""
    if isinstance(host.node, BalancerNode):
        host.node.stop()
    world.later(drain_s, lambda: _finish_drain(world, host))


def _finish_drain(world: OpaqueWorld, host: Host) -> None:
    host.node = None
    host.generation += 1
    world.later(HOST_START_S, lambda: world.start(host))


def stop_agent(world: OpaqueWorld, host: Host, down_s: float) -> None:
    """Stops an agent as planned; its backend server keeps running."""
    if isinstance(host.node, AgentNode):
        world.perform(host, host.node.stop(world.now))
    host.node = None
    host.generation += 1
    world.later(down_s, lambda: _start_stopped(world, host))


def _start_stopped(world: OpaqueWorld, host: Host) -> None:
    if host.node is None and host.ip in world.hosts:
        world.start(host)


def freeze(world: OpaqueWorld, host: Host, for_s: float) -> None:
    """Freezes a process for a while; what it receives meanwhile waits."""
    world.judge.disturb(world.now)
    host.frozen = True
    world.later(for_s, lambda: _unfreeze(world, host))


def _unfreeze(world: OpaqueWorld, host: Host) -> None:
    world.judge.disturb(world.now)
    host.frozen = False
    waiting = list(host.waiting)
    host.waiting.clear()
    for action in waiting:
        if host.node is not None:
            action()


def retire(world: OpaqueWorld, host: Host, after_s: float = 5.0) -> None:
    """Drains a backend server and then removes its host."""
    server = host.server
    if server is None:
        return
    server.draining = True
    world.announce(host, server)
    world.judge.on_draining(server.server_id, world.now)

    def remove_host() -> None:
        server.alive = False
        world.store.remove(f"servers/{server.server_id}")
        host.node = None
        world.hosts.pop(host.ip, None)

    world.later(after_s, remove_host)


def evacuate(
    world: OpaqueWorld, zone: str, for_s: float, warm: bool = False
) -> None:
    """Evacuates a zone; its servers are cold afterwards unless ``warm``."""
    world.store.put(f"op/evacuate/{zone}", {})
    world.judge.evacuated[zone] = world.now

    def end_evacuation() -> None:
        world.judge.evacuated.pop(zone, None)
        if not warm:
            _mark_cold(world, zone)
        world.store.remove(f"op/evacuate/{zone}")

    world.later(for_s, end_evacuation)


def _mark_cold(world: OpaqueWorld, zone: str) -> None:
    """Makes a zone's servers cold; each announces it within a heartbeat."""
    for host in world.hosts.values():
        server = host.server
        if server is None or host.zone != zone or not server.alive:
            continue
        server.returned_at = world.now
        delay = world.rng.uniform(0.0, HEARTBEAT_S)
        world.later(delay, partial(_announce, world, host))


def _announce(world: OpaqueWorld, host: Host) -> None:
    if host.server is not None and host.server.alive:
        world.announce(host, host.server)


def restart_server(world: OpaqueWorld, host: Host, down_s: float) -> None:
    """Stops a backend server and restarts it under its id, without state."""
    server = host.server
    if server is None:
        return
    world.judge.disturb(world.now)
    server.alive = False

    def start() -> None:
        if host.ip in world.hosts:
            world.judge.disturb(world.now)
            world.start_server(host, server.slots, server.server_id)

    world.later(down_s, start)


def overwrite_entry(world: OpaqueWorld, host: Host, value: object) -> None:
    """Overwrites a server's entry until its next heartbeat."""
    if host.server is None:
        return
    world.store.put(f"servers/{host.server.server_id}", value)
    world.later(HEARTBEAT_S, partial(_announce, world, host))


def put_odd(
    world: OpaqueWorld, key: str, good: Mapping[str, object], for_s: float
) -> None:
    """Writes an odd document under a key and removes it later."""
    world.store.put_raw(key, odd_document(good, world.rng))
    world.later(for_s, lambda: world.store.remove(key))


def overwrite_oddly(world: OpaqueWorld, host: Host) -> None:
    """Overwrites a server's entry with an odd one until its next heartbeat."""
    server = host.server
    if server is None or not server.alive:
        return
    world.judge.disturb(world.now)
    good = published.entry_of(host, server, world.now)
    key = f"servers/{server.server_id}"
    world.store.put_raw(key, odd_document(good, world.rng))

    def put_right() -> None:
        world.judge.disturb(world.now)
        _announce(world, host)

    world.later(HEARTBEAT_S, put_right)


def damage_messages(world: OpaqueWorld, share: float, for_s: float) -> None:
    """Lets damaged copies follow a share of the control messages."""
    world.judge.disturb(world.now)
    world.network.damaged = share

    def heal() -> None:
        world.judge.disturb(world.now)
        world.network.damaged = 0.0

    world.later(for_s, heal)


def split_route(
    world: OpaqueWorld, kind: str, *targets: tuple[str, int]
) -> None:
    """Publishes a configuration with new targets for a route.

    Args:
        world: The world.
        kind: Kind of request, which is also the name of the route.
        targets: Services with their weights; none for the kind's own service.
    """
    world.judge.permit(kind, [service for service, _ in targets])
    world.workloads = tuple(
        attrs.evolve(item, split=targets) if item.name == kind else item
        for item in world.workloads
    )
    current = world.store.value("op/config") or {"version": 0}
    world.publish(current["version"] + 1)


def restore_store(
    world: OpaqueWorld, backup: StoreBackup, version: int, outage_s: float
) -> None:
    """Makes the store unavailable, then restores it from a backup.

    Args:
        world: The world.
        backup: Contents that the store is restored to.
        version: Version of the newest configuration, which the operator
            publishes again.
        outage_s: Length of the outage, seconds.
    """
    world.judge.disturb(world.now)
    world.store.down = "silent"

    def end_outage() -> None:
        world.judge.disturb(world.now)
        world.store.down = ""
        world.store.restore(backup)
        world.publish(version)
        rewrite_entries(world)

    world.later(outage_s, end_outage)


def rewrite_entries(world: OpaqueWorld) -> None:
    """Lets servers rewrite lost or outdated entries within a heartbeat."""
    for host in list(world.hosts.values()):
        server = host.server
        if server is None or not server.alive:
            continue
        stored = world.store.value(f"servers/{server.server_id}")
        if stored is None or stored.get("state") != server.state:
            delay = world.rng.uniform(0.0, HEARTBEAT_S)
            world.later(delay, partial(_announce, world, host))


def cut(world: OpaqueWorld, one: str, other: str, for_s: float) -> None:
    """Cuts the network between two hosts.

    Args:
        world: The world.
        one: IP address of a host.
        other: IP address of the other host; the same address again cuts the
            host off from the store.
        for_s: Duration, seconds.
    """
    world.judge.disturb(world.now)
    pair = frozenset((one, other))
    world.network.cuts.add(pair)

    def heal() -> None:
        world.judge.disturb(world.now)
        world.network.cuts.discard(pair)

    world.later(for_s, heal)
