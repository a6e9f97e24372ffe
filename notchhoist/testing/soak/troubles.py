"""Faults and planned operations that a run injects, by name."""

import random
from collections.abc import Callable
from functools import partial

import attrs

from notchhoist.base import datagrams
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.configuration_troubles import (
    WEIGHT_CHANGES_S,
    change_configuration,
    change_weights,
    drop_route,
)
from notchhoist.testing.soak.daemons import RESTART_DELAY_S, Daemon
from notchhoist.testing.soak.datagram_proxy import PORTS
from notchhoist.testing.soak.endpoints import ServerHost
from notchhoist.testing.soak.fleet import ENTRY_LEASE_S, ZONES, Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share
from notchhoist.testing.soak.store_troubles import (
    connections_reset,
    connections_silent,
    history_forgotten,
    store_gone,
    store_partly_gone,
    store_restored,
    store_slow,
)

HEARTBEAT_S = 1.2
MALFORMED_ENTRIES: tuple[object, ...] = (
    {},
    [],
    "x",
    {"service": 4},
    {"state": "odd"},
)
"""Malformed values that another writer puts into server entries."""

DRAIN_TIME_S = 5.0
"""Time from a server's announced drain until it exits, seconds."""

ROLL_GAP_S = 2.6
"""Pause between two planned stops, seconds; a balancer drains within 1.8 s."""

LOSS_SHARE = 0.1
DELAY_S = 0.04
MALFORMED_DATAGRAMS = (
    b"",
    b"x",
    b"\xff" * 31,
    b"\0" * 64,
    bytes(range(256)) * 5,
)

# Processes.


def kill_balancers(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills half of the balancers."""
    return _kill(fleet, sample_share(rng, fleet.balancers, 0.5), rng)


def kill_agents(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills a third of the agents; their backend servers keep running."""
    return _kill(fleet, sample_share(rng, fleet.agents, 0.34), rng)


def kill_all(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills every daemon at once."""
    return _kill(fleet, fleet.daemons, rng)


def _kill(fleet: Fleet, daemons: list[Daemon], rng: random.Random) -> Heal:
    now = fleet.loop.clock()
    down_s = rng.choice((RESTART_DELAY_S, 1.0))
    for daemon in daemons:
        daemon.kill(now, down_s)
    return heal_nothing


def pause_some(fleet: Fleet, rng: random.Random) -> Heal:
    """Suspends a quarter of the daemons until healed."""
    daemons = sample_share(rng, fleet.daemons, 0.25)
    for daemon in daemons:
        daemon.pause()

    def heal() -> None:
        for daemon in daemons:
            daemon.resume()

    return heal


def roll_balancers(fleet: Fleet, rng: random.Random) -> Heal:
    """Performs a rolling restart of the balancers."""
    order = rng.sample(fleet.balancers, len(fleet.balancers))
    for number, daemon in enumerate(order):

        def stop(daemon: Daemon = daemon) -> None:
            daemon.stop(fleet.loop.clock())

        fleet.loop.call_later(number * ROLL_GAP_S, stop)
    ends_at = fleet.loop.clock() + len(order) * ROLL_GAP_S
    fleet.planned_until = max(fleet.planned_until, ends_at)
    return heal_nothing


def reload_all(fleet: Fleet, _: random.Random) -> Heal:
    """Makes every daemon reload its settings."""
    for daemon in fleet.daemons:
        daemon.reload(fleet.loop.clock())
    return heal_nothing


# Paths between daemons.


def _links(
    fleet: Fleet, daemons: list[Daemon], both_ways: bool
) -> list[tuple[str, str]]:
    """Returns the links from some daemons to all others, or both ways."""
    chosen = {daemon.advertised_ip for daemon in daemons}
    others = [
        item.advertised_ip
        for item in fleet.daemons
        if item.advertised_ip not in chosen
    ]
    links = [(one, other) for one in chosen for other in others]
    return (
        links + [(other, one) for one, other in links] if both_ways else links
    )


def _cut_links(fleet: Fleet, links: list[tuple[str, str]]) -> Heal:
    for source, target in links:
        fleet.proxy.link(source, target).cut = True

    def heal() -> None:
        for source, target in links:
            fleet.proxy.link(source, target).cut = False

    return heal


def cut_off(fleet: Fleet, rng: random.Random) -> Heal:
    """Isolates a fifth of the daemons from all others."""
    return _cut_links(
        fleet, _links(fleet, sample_share(rng, fleet.daemons, 0.2), True)
    )


def cut_one_way(fleet: Fleet, rng: random.Random) -> Heal:
    """Drops all datagrams that a fifth of the daemons send to the others."""
    return _cut_links(
        fleet, _links(fleet, sample_share(rng, fleet.daemons, 0.2), False)
    )


def split(fleet: Fleet, rng: random.Random) -> Heal:
    """Partitions the fleet into halves."""
    return _cut_links(
        fleet, _links(fleet, sample_share(rng, fleet.daemons, 0.5), True)
    )


def lossy(fleet: Fleet, rng: random.Random) -> Heal:
    """Drops and delays datagrams between two halves of the daemons."""
    links = _links(fleet, sample_share(rng, fleet.daemons, 0.5), True)
    for source, target in links:
        state = fleet.proxy.link(source, target)
        state.loss, state.delay_s = LOSS_SHARE, DELAY_S

    def heal() -> None:
        for source, target in links:
            state = fleet.proxy.link(source, target)
            state.loss = state.delay_s = 0.0

    return heal


def garbage(fleet: Fleet, rng: random.Random) -> Heal:
    """Sends malformed datagrams to every UDP port of every daemon."""
    sock = datagrams.open_socket((fleet.block.store_ip(), 0))
    for daemon in fleet.daemons:
        for port in (*PORTS, addresses.PACKETS_PORT):
            for data in (*MALFORMED_DATAGRAMS, rng.randbytes(200)):
                datagrams.send(sock, data, (daemon.bound_ip, port))
    sock.close()
    return heal_nothing


# Backend servers.


def crash_servers(fleet: Fleet, rng: random.Random) -> Heal:
    """Crashes a quarter of the backend servers; new ones replace them."""
    for server_host in sample_share(rng, fleet.endpoints.server_hosts, 0.25):
        _crash(fleet, server_host, rng.uniform(0.2, 2.0))
    return heal_nothing


def _crash(fleet: Fleet, server_host: ServerHost, down_s: float) -> None:
    server = server_host.server
    if server is None or not server.alive:
        return
    fleet.endpoints.crash_server(server_host)
    key = f"servers/{server.server_id}"
    fleet.loop.call_later(ENTRY_LEASE_S, lambda: fleet.store.remove(key))
    fleet.loop.call_later(down_s, lambda: _restart(fleet, server_host))


def _restart(fleet: Fleet, server_host: ServerHost) -> None:
    if server_host.server is None or not server_host.server.alive:
        fleet.start_server(server_host)


def power_off(fleet: Fleet, rng: random.Random) -> Heal:
    """Powers off every host; all daemons and servers start again."""
    down_s = rng.uniform(0.5, 1.5)
    for server_host in fleet.endpoints.server_hosts:
        _crash(fleet, server_host, down_s)
    now = fleet.loop.clock()
    for daemon in fleet.daemons:
        daemon.kill(now, down_s)
    return heal_nothing


def replace_servers(fleet: Fleet, rng: random.Random) -> Heal:
    """Drains a quarter of the backend servers; new ones replace them."""
    for server_host in sample_share(rng, fleet.endpoints.server_hosts, 0.25):
        server = server_host.server
        if server is None or not server.alive or server.draining:
            continue
        server.draining = True
        server_host.draining_since = fleet.loop.clock()
        fleet.judge.on_draining(server.server_id, server_host.draining_since)
        fleet.announce(server_host)
        fleet.loop.call_later(
            DRAIN_TIME_S, partial(_exit_drained, fleet, server_host)
        )
    return heal_nothing


def _exit_drained(fleet: Fleet, server_host: ServerHost) -> None:
    server = server_host.server
    if server is None or not server.alive or not server.draining:
        return
    fleet.endpoints.crash_server(server_host)
    fleet.store.remove(f"servers/{server.server_id}")
    fleet.loop.call_later(0.3, lambda: _restart(fleet, server_host))


# Zones, restarts under the same id, and other writers.


def evacuate_zone(fleet: Fleet, rng: random.Random) -> Heal:
    """Evacuates a zone until healed; it returns without slow start."""
    zone = rng.choice(ZONES)
    fleet.store.put(f"op/evacuate/{zone}", {})
    fleet.judge.evacuated[zone] = fleet.loop.clock()

    def heal() -> None:
        fleet.judge.evacuated.pop(zone, None)
        fleet.store.remove(f"op/evacuate/{zone}")

    return heal


def restart_servers(fleet: Fleet, rng: random.Random) -> Heal:
    """Crashes a third of the servers; they restart under the same ids."""
    for server_host in sample_share(rng, fleet.endpoints.server_hosts, 0.34):
        server = server_host.server
        if server is None or not server.alive:
            continue
        fleet.endpoints.crash_server(server_host)
        fleet.loop.call_later(
            rng.uniform(0.2, 1.0),
            partial(fleet.start_server, server_host, server.server_id),
        )
    return heal_nothing


def strange_entries(fleet: Fleet, rng: random.Random) -> Heal:
    """Overwrites server entries until the servers' next heartbeat."""
    for server_host in sample_share(rng, fleet.endpoints.server_hosts, 0.34):
        if server_host.server is None:
            continue
        key = f"servers/{server_host.server.server_id}"
        fleet.store.put(key, rng.choice(MALFORMED_ENTRIES))
        fleet.loop.call_later(HEARTBEAT_S, partial(fleet.announce, server_host))
    return heal_nothing


@attrs.frozen
class Trouble:
    """One kind of fault or planned operation.

    Attributes:
        begin: Starts it and returns the function that heals it.
        planned: Whether it is a planned operation: time bounds still hold.
        lasts: Whether it lasts until it is healed.
        takes_s: Minimum time that it takes, healed or not, seconds.
    """

    begin: Callable[[Fleet, random.Random], Heal]
    planned: bool = False
    lasts: bool = False
    takes_s: float = 0.0


TROUBLES = {
    "kill-balancers": Trouble(kill_balancers),
    "kill-agents": Trouble(kill_agents),
    "kill-all": Trouble(kill_all),
    "pause-some": Trouble(pause_some, lasts=True),
    "roll-balancers": Trouble(
        roll_balancers, planned=True, takes_s=3 * ROLL_GAP_S
    ),
    "reload-all": Trouble(reload_all, planned=True),
    "cut-off": Trouble(cut_off, lasts=True),
    "cut-one-way": Trouble(cut_one_way, lasts=True),
    "split": Trouble(split, lasts=True),
    "lossy": Trouble(lossy, lasts=True),
    "garbage": Trouble(garbage, planned=True),
    "store-gone": Trouble(store_gone, lasts=True),
    "store-partly-gone": Trouble(store_partly_gone, lasts=True),
    "store-slow": Trouble(store_slow, lasts=True),
    "connections-silent": Trouble(connections_silent),
    "connections-reset": Trouble(connections_reset),
    "history-forgotten": Trouble(history_forgotten),
    "crash-servers": Trouble(crash_servers),
    "power-off": Trouble(power_off),
    "replace-servers": Trouble(
        replace_servers, planned=True, takes_s=DRAIN_TIME_S
    ),
    "change-configuration": Trouble(change_configuration, planned=True),
    "drop-route": Trouble(drop_route, planned=True, lasts=True),
}
LATER_TROUBLES = {
    "evacuate-zone": Trouble(evacuate_zone, planned=True, lasts=True),
    "restart-servers": Trouble(restart_servers),
    "strange-entries": Trouble(strange_entries, planned=True),
}
"""Drawn only by seeds from ``plan.LATER_SEEDS`` on, so that the plans of lower
seeds do not change."""

NEWEST_TROUBLES = {"store-restored": Trouble(store_restored, lasts=True)}
"""Likewise, for seeds from ``plan.NEWEST_SEEDS`` on."""

SPLIT_TROUBLES = {
    "change-weights": Trouble(
        change_weights,
        planned=True,
        lasts=True,
        takes_s=WEIGHT_CHANGES_S + ROLL_GAP_S,
    )
}
"""Likewise, for seeds from ``plan.SPLIT_SEEDS`` on."""

ALL_TROUBLES = TROUBLES | LATER_TROUBLES | NEWEST_TROUBLES | SPLIT_TROUBLES
