"""What can be done to a world: kills, power, freezes, cuts, planned stops."""

from functools import partial

import attrs

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.testing.opaque.hosts import START_S, Host
from notchhoist.testing.opaque.store import StoreCopy
from notchhoist.testing.opaque.world import OpaqueWorld

HEARTBEAT_S = 1.2
HEARTBEATS_MISSED = 3
"""An entry lapses after so many heartbeats that a server did not send."""

LEAVE_S = 1.8
"""How long a balancer forwards after it was told to stop, seconds."""


def kill(world: OpaqueWorld, host: Host, for_s: float = START_S) -> None:
    """Kills a process; it starts again."""
    world.judge.disturb(world.now)
    host.node = None
    host.frozen = False
    host.generation += 1
    world.later(for_s, lambda: _revive(world, host))


def _revive(world: OpaqueWorld, host: Host) -> None:
    world.judge.disturb(world.now)
    if host.node is None and host.ip in world.hosts:
        world.start(host)


def crash_server(world: OpaqueWorld, host: Host) -> None:
    """Ends a backend server without a word; its entry lapses later."""
    server = host.server
    if server is None:
        return
    server.alive = False
    lapse_s = HEARTBEAT_S * HEARTBEATS_MISSED
    key = f"servers/{server.server_id}"
    world.later(lapse_s, lambda: world.store.remove(key))


def power_off(world: OpaqueWorld, host: Host, for_s: float) -> None:
    """Takes the power from a host; everything on it starts anew."""
    kill(world, host, for_s + START_S)
    host.dark = True
    world.later(for_s, lambda: setattr(host, "dark", False))
    if host.server is not None:
        slots = host.server.slots
        crash_server(world, host)
        world.later(for_s, lambda: world.start_server(host, slots))


def stop_balancer(
    world: OpaqueWorld, host: Host, leave_s: float = LEAVE_S
) -> None:
    """Stops a balancer as planned; it starts again."""
    if isinstance(host.node, BalancerNode):
        host.node.stop()
    world.later(leave_s, lambda: _restart(world, host))


def _restart(world: OpaqueWorld, host: Host) -> None:
    host.node = None
    host.generation += 1
    world.later(START_S, lambda: world.start(host))


def stop_agent(world: OpaqueWorld, host: Host, away_s: float) -> None:
    """Stops an agent as planned; its backend server lives on."""
    if isinstance(host.node, AgentNode):
        world.perform(host, host.node.stop(world.now))
    host.node = None
    host.generation += 1
    world.later(away_s, lambda: _start_again(world, host))


def _start_again(world: OpaqueWorld, host: Host) -> None:
    if host.node is None and host.ip in world.hosts:
        world.start(host)


def freeze(world: OpaqueWorld, host: Host, for_s: float) -> None:
    """Lets a process stand still for a while."""
    world.judge.disturb(world.now)
    host.frozen = True
    world.later(for_s, lambda: _wake(world, host))


def _wake(world: OpaqueWorld, host: Host) -> None:
    world.judge.disturb(world.now)
    host.frozen = False
    waiting = list(host.waiting)
    host.waiting.clear()
    for action in waiting:
        if host.node is not None:
            action()


def retire(world: OpaqueWorld, host: Host, after_s: float = 5.0) -> None:
    """Drains a backend server and takes its host away."""
    server = host.server
    if server is None:
        return
    server.draining = True
    world.announce(host, server)
    world.judge.on_leaving(server.server_id, world.now)

    def leave() -> None:
        server.alive = False
        world.store.remove(f"servers/{server.server_id}")
        host.node = None
        world.hosts.pop(host.ip, None)

    world.later(after_s, leave)


def evacuate(
    world: OpaqueWorld, zone: str, for_s: float, warm: bool = False
) -> None:
    """Has a zone evacuated for a while; it comes back cold unless warm."""
    world.store.put(f"op/evacuate/{zone}", {})
    world.judge.evacuated[zone] = world.now

    def take_back() -> None:
        world.judge.evacuated.pop(zone, None)
        if not warm:
            _chill(world, zone)
        world.store.remove(f"op/evacuate/{zone}")

    world.later(for_s, take_back)


def _chill(world: OpaqueWorld, zone: str) -> None:
    """Makes a zone's servers cold; their entries say so a heartbeat later."""
    for host in world.hosts.values():
        server = host.server
        if server is None or host.zone != zone or not server.alive:
            continue
        server.returned_at = world.now
        delay = world.rng.uniform(0.0, HEARTBEAT_S)
        world.later(delay, partial(_announce_again, world, host))


def _announce_again(world: OpaqueWorld, host: Host) -> None:
    if host.server is not None and host.server.alive:
        world.announce(host, host.server)


def restart_server(world: OpaqueWorld, host: Host, down_s: float) -> None:
    """Ends a backend server; it starts again under its id, knowing nothing."""
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
    """Lets another writer overwrite a server's entry until it writes again."""
    if host.server is None:
        return
    world.store.put(f"servers/{host.server.server_id}", value)
    world.later(HEARTBEAT_S, partial(_announce_again, world, host))


def split_route(
    world: OpaqueWorld, kind: str, *targets: tuple[str, int]
) -> None:
    """Publishes a configuration that splits a route anew.

    Args:
        world: The world.
        kind: Kind of request, by which the route is named.
        targets: Services with their weights; none where it names its own only.
    """
    world.judge.permit(kind, [service for service, _ in targets])
    world.workloads = tuple(
        attrs.evolve(item, split=targets) if item.name == kind else item
        for item in world.workloads
    )
    known = world.store.value("op/config") or {"version": 0}
    world.publish(known["version"] + 1)


def restore_store(
    world: OpaqueWorld, copy: StoreCopy, version: int, away_s: float
) -> None:
    """Takes the store away; it comes back from a copy.

    Args:
        world: The world.
        copy: What it comes back with.
        version: Newest configuration; its operator writes it again.
        away_s: How long it is away, seconds.
    """
    world.judge.disturb(world.now)
    world.store.down = "silent"

    def come_back() -> None:
        world.judge.disturb(world.now)
        world.store.down = ""
        world.store.restore(copy)
        world.publish(version)
        write_entries_again(world)

    world.later(away_s, come_back)


def write_entries_again(world: OpaqueWorld) -> None:
    """Lets servers write what the store has lost, within a heartbeat."""
    for host in list(world.hosts.values()):
        server = host.server
        if server is None or not server.alive:
            continue
        held = world.store.value(f"servers/{server.server_id}")
        if held is None or held["state"] != server.state:
            delay = world.rng.uniform(0.0, HEARTBEAT_S)
            world.later(delay, partial(_announce_again, world, host))


def cut(world: OpaqueWorld, one: str, other: str, for_s: float) -> None:
    """Cuts two IP numbers apart; the same twice cuts it from the store."""
    world.judge.disturb(world.now)
    pair = frozenset((one, other))
    world.network.cuts.add(pair)

    def heal() -> None:
        world.judge.disturb(world.now)
        world.network.cuts.discard(pair)

    world.later(for_s, heal)
