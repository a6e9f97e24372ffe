"""Troubles of the backend servers and their zones."""

import random
from functools import partial

from notchhoist.testing.soak.endpoints import ServerHost
from notchhoist.testing.soak.fleet import ENTRY_LEASE_S, ZONES, Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share

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
