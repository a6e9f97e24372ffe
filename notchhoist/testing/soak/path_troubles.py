"""Troubles of the paths between daemons."""

import random

from notchhoist.base import datagrams
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.datagram_proxy import PORTS
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share

LOSS_SHARE = 0.1
DELAY_S = 0.04
MALFORMED_DATAGRAMS = (
    b"",
    b"x",
    b"\xff" * 31,
    b"\0" * 64,
    bytes(range(256)) * 5,
)

DAMAGED_SHARE = 0.2
"""Share of the control messages that a damaged copy follows."""


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


def damaged_messages(fleet: Fleet, rng: random.Random) -> Heal:
    """Adds copies of control messages that are damaged, double or late."""
    fleet.proxy.damaged = rng.choice((0.02, DAMAGED_SHARE))

    def heal() -> None:
        fleet.proxy.damaged = 0.0

    return heal
