"""Troubles of the platform's store."""

import random
from functools import partial

from notchhoist.testing.opaque.store import StoreCopy
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.fleet import LAPSE_S, Fleet
from notchhoist.testing.soak.healing import Heal, nothing, some
from notchhoist.testing.soak.stream_proxy import StreamState

RESTORE_S = (0.2, 2.0)
"""Range of the outage before a store is restored from a backup, seconds."""

WRITTEN_AGAIN_S = (0.1, 1.8)
"""Range of the delay until a server repeats its lost entry, seconds."""


def _store(fleet: Fleet, daemons: list[Daemon], state: StreamState) -> Heal:
    for daemon in daemons:
        fleet.streams[daemon.name].state = state

    def heal() -> None:
        for daemon in daemons:
            fleet.streams[daemon.name].state = StreamState.WELL

    return heal


def store_gone(fleet: Fleet, rng: random.Random) -> Heal:
    """Makes the store unreachable for all balancers; some entries expire."""
    state = rng.choice((StreamState.RESET, StreamState.SILENT))
    places = some(rng, fleet.ends.places, 0.3) if rng.random() < 0.5 else []
    for place in places:
        if place.server is not None:
            fleet.store.remove(f"servers/{place.server.server_id}")
    heal_paths = _store(fleet, fleet.balancers, state)

    def heal() -> None:
        heal_paths()
        for place in places:
            delay = rng.uniform(0.1, 1.8)
            fleet.loop.call_later(delay, partial(fleet.announce, place))

    return heal


def store_partly_gone(fleet: Fleet, rng: random.Random) -> Heal:
    """Disturbs the path to the store for half of the balancers."""
    state = rng.choice(list(StreamState)[1:])
    return _store(fleet, some(rng, fleet.balancers, 0.5), state)


def store_slow(fleet: Fleet, _: random.Random) -> Heal:
    """Delays every response of the store."""
    return _store(fleet, fleet.balancers, StreamState.SLOW)


def connections_silent(fleet: Fleet, _: random.Random) -> Heal:
    """Stalls every open connection to the store; new ones work."""
    for stream in fleet.streams.values():
        stream.silence_open()
    return nothing


def connections_reset(fleet: Fleet, _: random.Random) -> Heal:
    """Resets every open connection to the store; new ones work."""
    for stream in fleet.streams.values():
        stream.reset_open()
    return nothing


def history_forgotten(fleet: Fleet, _: random.Random) -> Heal:
    """Compacts the store, which discards its history of changes."""
    fleet.store.compact()
    return nothing


def store_restored(fleet: Fleet, rng: random.Random) -> Heal:
    """Restores the store from a backup taken when the trouble began."""
    copy = fleet.store.copy()
    away_s = rng.uniform(*RESTORE_S)
    state = rng.choice((StreamState.RESET, StreamState.SILENT))

    def heal() -> None:
        heal_paths = _store(fleet, fleet.balancers, state)
        fleet.troubled.add("restore")

        def come_back() -> None:
            fleet.store.restore(copy)
            _write_again(fleet, copy, rng)
            for stream in fleet.streams.values():
                stream.reset_open()
            heal_paths()
            fleet.troubled.discard("restore")

        fleet.loop.call_later(away_s, come_back)

    return heal


def _write_again(fleet: Fleet, copy: StoreCopy, rng: random.Random) -> None:
    """Makes all writers repeat what the backup lacks.

    Entries of the backup whose owner has gone are removed: an ended evacuation
    at once, a server's entry when its lease expires.
    """
    fleet.write_configuration()
    for zone in fleet.judge.evacuated:
        fleet.store.put(f"op/evacuate/{zone}", {})
    alive = set()
    for place in fleet.ends.places:
        server = place.server
        if server is not None and server.alive:
            alive.add(f"servers/{server.server_id}")
            delay = rng.uniform(*WRITTEN_AGAIN_S)
            fleet.loop.call_later(delay, partial(fleet.announce, place))
    for key in copy.items:
        zone = key.removeprefix("op/evacuate/")
        if zone != key and zone not in fleet.judge.evacuated:
            fleet.store.remove(key)
        elif key.startswith("servers/") and key not in alive:
            remove = partial(fleet.store.remove, key)
            fleet.loop.call_later(LAPSE_S, remove)
