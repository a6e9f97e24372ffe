"""Scenarios by name, for experiments and tests."""

from collections.abc import Callable
from functools import partial

from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.world import OpaqueWorld

SPACING_S = 1.3
AGENTS_SPACING_S = 1.6
ODD_ITEMS = 40
ODD_SPACING_S = 0.1
LONG_AGENT_START_S = 4.4
"""Time from an agent's stop to its start on a host with little CPU, seconds.

It is longer than balancers wait for an agent that has announced itself."""


def _balancer_hosts(world: OpaqueWorld) -> list[Host]:
    return [host for host in world.hosts.values() if not host.service]


def _server_hosts(world: OpaqueWorld) -> list[Host]:
    return [host for host in world.hosts.values() if host.service]


def quiet(_: OpaqueWorld) -> None:
    """Injects nothing."""


def roll_balancers(world: OpaqueWorld) -> None:
    """Stops and restarts the balancers one by one, as planned."""
    for number, host in enumerate(_balancer_hosts(world)):
        world.later(
            number * SPACING_S * 2, partial(troubles.stop_balancer, world, host)
        )


def roll_agents(world: OpaqueWorld) -> None:
    """Stops the agents one by one, as planned; they are slow to start."""
    for number, host in enumerate(_server_hosts(world)):
        world.later(
            number * AGENTS_SPACING_S,
            partial(troubles.stop_agent, world, host, LONG_AGENT_START_S),
        )


def release(world: OpaqueWorld) -> None:
    """Replaces half of the backend servers; each new one starts first."""
    for number, host in enumerate(_server_hosts(world)[::2]):

        def replace(host: Host = host) -> None:
            slots = host.server.slots if host.server else 3
            world.add_host(host.zone, host.service, slots)
            troubles.retire(world, host)

        world.later(number * SPACING_S, replace)


def kill_balancers(world: OpaqueWorld) -> None:
    """Kills half of the balancers at once."""
    for host in _balancer_hosts(world)[::2]:
        troubles.kill(world, host)


def kill_agents(world: OpaqueWorld) -> None:
    """Kills half of the agents at once."""
    for host in _server_hosts(world)[::2]:
        troubles.kill(world, host)


def kill_all(world: OpaqueWorld) -> None:
    """Kills every balancer and agent at once; backend servers keep running."""
    for host in list(world.hosts.values()):
        troubles.kill(world, host, 0.8)


def power_off(world: OpaqueWorld) -> None:
    """Cuts the power of every host at once."""
    for host in list(world.hosts.values()):
        troubles.power_off(world, host, 1.2)


def lose_host(world: OpaqueWorld) -> None:
    """Cuts the power of one backend server's host for 30 s."""
    troubles.power_off(world, _server_hosts(world)[0], 30.0)


def crash_servers(world: OpaqueWorld) -> None:
    """Crashes two backend servers for good; their agents keep running."""
    for host in _server_hosts(world)[:2]:
        world.judge.disturb(world.now)
        troubles.crash_server(world, host)


def slow_server(world: OpaqueWorld) -> None:
    """Makes one backend server four times as slow for six seconds."""
    server = _server_hosts(world)[0].server
    if server is not None:
        server.slowness = 4.0
        world.later(6.0, lambda: setattr(server, "slowness", 1.0))


def store_silent(world: OpaqueWorld) -> None:
    """Stops the store's responses while backend servers are replaced."""
    world.judge.disturb(world.now)
    world.store.down = "silent"
    release(world)
    world.later(4.0, lambda: setattr(world.store, "down", ""))


def store_from_a_copy(world: OpaqueWorld) -> None:
    """Restores the store from a backup; later, undisturbed, servers drain.

    Three configurations are published after the backup, and only the newest is
    written again. The store's revisions therefore pass those that balancers
    know just as the servers announce that they drain.
    """
    backup = world.store.backup()
    for version in (2, 3, 4):
        world.later(0.2 * version, partial(world.publish, version))
    restore = partial(troubles.restore_store, world, backup, 4, 1.5)
    world.later(1.0, restore)
    for host in _server_hosts(world)[:2]:
        world.later(7.0, partial(troubles.retire, world, host))


def cut_host(world: OpaqueWorld) -> None:
    """Cuts the network between one backend server's host and all balancers."""
    host = _server_hosts(world)[0]
    for balancer in _balancer_hosts(world):
        troubles.cut(world, host.ip, balancer.ip, 5.0)


def freeze_agents(world: OpaqueWorld) -> None:
    """Freezes two agents for three seconds."""
    for host in _server_hosts(world)[:2]:
        troubles.freeze(world, host, 3.0)


def evacuate(world: OpaqueWorld) -> None:
    """Evacuates a zone, which returns cold; its callers use other zones."""
    troubles.evacuate(world, world.zones[0], 5.0)


def evacuate_twice(world: OpaqueWorld) -> None:
    """Evacuates a zone twice in a row; its servers stay warm."""
    troubles.evacuate(world, world.zones[0], 2.0, warm=True)
    second = partial(troubles.evacuate, world, world.zones[0], 4.0, warm=True)
    world.later(2.4, second)


def evacuate_unheard(world: OpaqueWorld) -> None:
    """Evacuates a zone while the store serves only half of the balancers."""
    world.judge.disturb(world.now)
    world.store.down = "many"
    world.store.down_for = frozenset(
        item.ip for item in _balancer_hosts(world)[::2]
    )
    troubles.evacuate(world, world.zones[1], 8.0)
    world.later(6.0, lambda: setattr(world.store, "down", ""))


def evacuate_and_kill(world: OpaqueWorld) -> None:
    """Evacuates a zone and kills balancers and agents meanwhile."""
    troubles.evacuate(world, world.zones[0], 8.0)
    world.later(1.0, lambda: kill_balancers(world))
    world.later(4.0, lambda: kill_agents(world))


def reborn_servers(world: OpaqueWorld) -> None:
    """Restarts every second backend server under its id, one by one."""
    for number, host in enumerate(_server_hosts(world)[::2]):
        world.later(
            number * 0.4, partial(troubles.restart_server, world, host, 0.8)
        )


def strange_entries(world: OpaqueWorld) -> None:
    """Lets another writer overwrite entries with malformed values."""
    values: list[object] = [
        {},
        [],
        "x" * 5000,
        {"service": 4},
        {"service": "nobody", "state": "resting"},
    ]
    for number, host in enumerate(_server_hosts(world)):
        value = values[number % len(values)]
        world.later(
            number * 0.5, partial(troubles.overwrite_entry, world, host, value)
        )
    world.store.put("servers/i-strange/../x", {"born": "never"})


def odd_entries(world: OpaqueWorld) -> None:
    """Lets another writer add odd items and overwrite entries of servers."""
    entry = {
        "service": "hallbook",
        "address": "10.200.0.1:8080",
        "zone": world.zones[0],
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 1,
        "born": 1,
    }
    for number in range(ODD_ITEMS):
        for key in (f"servers/odd-{number}", f"op/evacuate/odd-{number}"):
            put = partial(troubles.put_odd, world, key, entry, 2.0)
            world.later(number * ODD_SPACING_S, put)
    for number, host in enumerate(_server_hosts(world)):
        overwrite = partial(troubles.overwrite_oddly, world, host)
        world.later(number * 0.5, overwrite)


def damaged_messages(world: OpaqueWorld) -> None:
    """Lets a damaged copy follow half of the control messages for 3 s."""
    troubles.damage_messages(world, 0.5, 3.0)


def change_weights(world: OpaqueWorld) -> None:
    """Changes the weights of a split route while balancers stop one by one."""
    weights = [(9, 1), (1, 9), (0, 1), (1, 0), (5, 5)]
    for number, (first, second) in enumerate(weights):
        targets = (("hallbook", first), ("scoredrop", second))
        change = partial(troubles.split_route, world, "roster-feed", *targets)
        world.later(0.5 * number, change)
    world.later(3.0, partial(troubles.split_route, world, "roster-feed"))
    world.later(1.0, partial(roll_balancers, world))


SCENARIOS: dict[str, Callable[[OpaqueWorld], None]] = {
    "quiet": quiet,
    "roll-balancers": roll_balancers,
    "roll-agents": roll_agents,
    "release": release,
    "kill-balancers": kill_balancers,
    "kill-agents": kill_agents,
    "kill-all": kill_all,
    "power-off": power_off,
    "lose-host": lose_host,
    "crash-servers": crash_servers,
    "slow-server": slow_server,
    "store-silent": store_silent,
    "store-from-a-copy": store_from_a_copy,
    "cut-host": cut_host,
    "freeze-agents": freeze_agents,
    "evacuate": evacuate,
    "evacuate-twice": evacuate_twice,
    "evacuate-unheard": evacuate_unheard,
    "evacuate-and-kill": evacuate_and_kill,
    "reborn-servers": reborn_servers,
    "strange-entries": strange_entries,
    "change-weights": change_weights,
    "odd-entries": odd_entries,
    "damaged-messages": damaged_messages,
}
