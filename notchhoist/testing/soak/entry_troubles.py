"""Troubles caused by odd items that other writers put into the store."""

import random
from functools import partial

from notchhoist.testing.opaque import published
from notchhoist.testing.opaque.odd_documents import odd_document, odd_name
from notchhoist.testing.soak.endpoints import ServerHost
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share
from notchhoist.testing.soak.server_troubles import HEARTBEAT_S

ODD_ENTRIES = 6
ODD_ENTRY_GAP_S = 0.08
"""Number of odd items in a row, and the pause between two in seconds."""


def _put_odd_entry(
    fleet: Fleet, key: str, good: dict[str, object], rng: random.Random
) -> None:
    fleet.store.put_raw(key, odd_document(good, rng))


def odd_new_entries(fleet: Fleet, rng: random.Random) -> Heal:
    """Adds odd entries of servers that do not exist, and changes some."""
    entry: dict[str, object] = {
        "service": "hallbook",
        "address": f"{fleet.block.store_ip()}:{published.SERVER_PORT}",
        "zone": "aramoho",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 1,
        "born": 1,
    }
    token = rng.getrandbits(32)
    keys = [f"servers/odd-{token:x}-{item}" for item in range(ODD_ENTRIES)]
    keys.append(f"servers/{odd_name(rng)}")
    for number, key in enumerate([*keys, *rng.sample(keys, 3)]):
        put = partial(_put_odd_entry, fleet, key, entry, rng)
        fleet.loop.call_later(number * ODD_ENTRY_GAP_S, put)

    def heal() -> None:
        for key in keys:
            delay = rng.uniform(0.0, 0.5) + len(keys) * 2 * ODD_ENTRY_GAP_S
            fleet.loop.call_later(delay, partial(fleet.store.remove, key))

    return heal


def odd_live_entries(fleet: Fleet, rng: random.Random) -> Heal:
    """Overwrites entries of live servers until their next heartbeats."""
    for server_host in sample_share(rng, fleet.endpoints.server_hosts, 0.34):
        _overwrite(fleet, server_host, rng)
        fleet.loop.call_later(HEARTBEAT_S, partial(fleet.announce, server_host))
    return heal_nothing


def _overwrite(
    fleet: Fleet, server_host: ServerHost, rng: random.Random
) -> None:
    server = server_host.server
    if server is None or not server.alive:
        return
    now = fleet.loop.clock()
    good = published.entry_of(server_host, server, now)
    key = f"servers/{server.server_id}"
    for number in range(2):
        put = partial(_put_odd_entry, fleet, key, good, rng)
        fleet.loop.call_later(number * ODD_ENTRY_GAP_S, put)


def odd_evacuations(fleet: Fleet, rng: random.Random) -> Heal:
    """Evacuates zones with odd names, which do not exist."""
    keys = [f"op/evacuate/{odd_name(rng)}" for _ in range(ODD_ENTRIES)]
    for key in keys:
        good: dict[str, object] = {"zone": key}
        fleet.store.put_raw(key, odd_document(good, rng))

    def heal() -> None:
        for key in keys:
            fleet.store.remove(key)

    return heal
