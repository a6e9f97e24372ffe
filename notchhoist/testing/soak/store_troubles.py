"""Troubles of the platform's store."""

import random
from functools import partial

from notchhoist.testing.opaque.store import StoreBackup
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.fleet import ENTRY_LEASE_S, Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share
from notchhoist.testing.soak.stream_proxy import SLOWING_STATES, StreamState

OUTAGE_S = (0.2, 2.0)
"""Range of the outage before a store is restored from a backup, seconds."""

REPEAT_DELAY_S = (0.1, 1.8)
"""Range of the delay until a server repeats its lost entry, seconds."""


def _set_store_paths(
    fleet: Fleet, daemons: list[Daemon], state: StreamState
) -> Heal:
    for daemon in daemons:
        fleet.streams[daemon.name].state = state

    def heal() -> None:
        for daemon in daemons:
            fleet.streams[daemon.name].state = StreamState.WELL

    return heal


def store_gone(fleet: Fleet, rng: random.Random) -> Heal:
    """Makes the store unreachable for all balancers; some entries expire."""
    state = rng.choice((StreamState.RESET, StreamState.SILENT))
    server_hosts = (
        sample_share(rng, fleet.endpoints.server_hosts, 0.3)
        if rng.random() < 0.5
        else []
    )
    for server_host in server_hosts:
        if server_host.server is not None:
            fleet.store.remove(f"servers/{server_host.server.server_id}")
    heal_paths = _set_store_paths(fleet, fleet.balancers, state)

    def heal() -> None:
        heal_paths()
        for server_host in server_hosts:
            delay = rng.uniform(0.1, 1.8)
            fleet.loop.call_later(delay, partial(fleet.announce, server_host))

    return heal


def store_partly_gone(fleet: Fleet, rng: random.Random) -> Heal:
    """Disturbs the path to the store for half of the balancers."""
    state = rng.choice(SLOWING_STATES)
    return _set_store_paths(
        fleet, sample_share(rng, fleet.balancers, 0.5), state
    )


def damaged_answers(fleet: Fleet, rng: random.Random) -> Heal:
    """Cuts off or damages the store's answers to half of the balancers."""
    state = rng.choice((StreamState.CUT_OFF, StreamState.DAMAGED))
    return _set_store_paths(
        fleet, sample_share(rng, fleet.balancers, 0.5), state
    )


def store_slow(fleet: Fleet, _: random.Random) -> Heal:
    """Delays every response of the store."""
    return _set_store_paths(fleet, fleet.balancers, StreamState.SLOW)


def connections_silent(fleet: Fleet, _: random.Random) -> Heal:
    """Stalls every open connection to the store; new ones work."""
    for stream in fleet.streams.values():
        stream.stall_open()
    return heal_nothing


def connections_reset(fleet: Fleet, _: random.Random) -> Heal:
    """Resets every open connection to the store; new ones work."""
    for stream in fleet.streams.values():
        stream.reset_open()
    return heal_nothing


def history_forgotten(fleet: Fleet, _: random.Random) -> Heal:
    """Compacts the store, which discards its history of changes."""
    fleet.store.compact()
    return heal_nothing


def store_restored(fleet: Fleet, rng: random.Random) -> Heal:
    """Restores the store from a backup taken when the trouble began."""
    backup = fleet.store.backup()
    outage_s = rng.uniform(*OUTAGE_S)
    state = rng.choice((StreamState.RESET, StreamState.SILENT))

    def heal() -> None:
        heal_paths = _set_store_paths(fleet, fleet.balancers, state)
        fleet.active_faults.add("restore")

        def come_back() -> None:
            fleet.store.restore(backup)
            _repeat_lost_writes(fleet, backup, rng)
            for stream in fleet.streams.values():
                stream.reset_open()
            heal_paths()
            fleet.active_faults.discard("restore")

        fleet.loop.call_later(outage_s, come_back)

    return heal


def _repeat_lost_writes(
    fleet: Fleet, backup: StoreBackup, rng: random.Random
) -> None:
    """Makes all writers repeat what the backup lacks.

    Entries of the backup whose owner has gone are removed: an ended evacuation
    at once, a server's entry when its lease expires.
    """
    fleet.write_configuration()
    for zone in fleet.judge.evacuated:
        fleet.store.put(f"op/evacuate/{zone}", {})
    alive = set()
    for server_host in fleet.endpoints.server_hosts:
        server = server_host.server
        if server is not None and server.alive:
            alive.add(f"servers/{server.server_id}")
            delay = rng.uniform(*REPEAT_DELAY_S)
            fleet.loop.call_later(delay, partial(fleet.announce, server_host))
    for key in backup.items:
        zone = key.removeprefix("op/evacuate/")
        if zone != key and zone not in fleet.judge.evacuated:
            fleet.store.remove(key)
        elif key.startswith("servers/") and key not in alive:
            remove = partial(fleet.store.remove, key)
            fleet.loop.call_later(ENTRY_LEASE_S, remove)
