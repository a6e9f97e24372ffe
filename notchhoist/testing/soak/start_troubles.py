"""Troubles of the starts of processes: addresses, settings, signals."""

import random
import signal
import socket
from functools import partial

from notchhoist.base import datagrams
from notchhoist.daemon.flow_metrics import METRICS_PORT
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.daemons import RESTART_DELAY_S, Daemon
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share

BIND_RETRY_S = 0.01
DOWN_S = 0.4
"""Time for which a daemon stays down before its address is held, seconds."""

HELD_S = (0.2, 3.0)
HELD_MAX_S = DOWN_S + HELD_S[1]

HALF_WRITTEN_S = (0.05, 2.0)
HALF_WRITTEN_MAX_S = RESTART_DELAY_S + HALF_WRITTEN_S[1]
"""Longest time from a kill until the settings file is whole, seconds."""

REWRITES = 4
REWRITE_GAP_S = 0.3
REWRITING_S = REWRITES * REWRITE_GAP_S

STARTS = (1, 4)
SIGNALS_PER_START = (1, 5)
SIGNAL_AT_S = 0.3
SIGNALS_S = STARTS[1] * (SIGNAL_AT_S + 2 * RESTART_DELAY_S)
"""Longest time of a series of starts with signals, seconds."""


def addresses_held(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills daemons; another socket holds an address when they start again."""
    now = fleet.loop.clock()
    for daemon in sample_share(rng, fleet.daemons, 0.25):
        daemon.kill(now, DOWN_S)
        held_s = DOWN_S + rng.uniform(*HELD_S)
        bind = rng.choice(_binders(daemon))
        _hold(fleet, bind, now + held_s)
        fleet.add_fault(held_s)
    return heal_nothing


def _binders(daemon: Daemon) -> list[partial[socket.socket]]:
    """Returns functions each of which binds one of a daemon's addresses."""
    packets = (
        addresses.OUTBOUND_PORT if daemon.service else addresses.PACKETS_PORT
    )
    udp = (packets, addresses.PEER_PORTS[0], addresses.PEER_PORTS[0] + 1)
    tcp = (addresses.READY_PORT, METRICS_PORT)
    return [
        partial(datagrams.open_socket, (daemon.bound_ip, port)) for port in udp
    ] + [partial(_listen, (daemon.bound_ip, port)) for port in tcp]


def _listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen()
    except OSError:
        sock.close()
        raise
    return sock


def _hold(fleet: Fleet, bind: partial[socket.socket], until: float) -> None:
    """Binds an address as soon as it is free and holds it until a time."""
    if fleet.loop.clock() >= until:
        return
    try:
        sock = bind()
    except OSError:
        again = partial(_hold, fleet, bind, until)
        fleet.loop.call_later(BIND_RETRY_S, again)
        return
    fleet.loop.call_at(until, sock.close)


def settings_half_written(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills daemons whose settings file is incomplete at their next start."""
    now = fleet.loop.clock()
    for daemon in sample_share(rng, fleet.daemons, 0.25):
        whole = daemon.settings_text
        cut = rng.choice((0, 1, 100, len(whole) // 2, len(whole) - 1))
        daemon.settings_path.write_text(whole[:cut])
        if rng.random() < 0.25:
            daemon.settings_path.unlink()
        daemon.kill(now)
        written_s = RESTART_DELAY_S + rng.uniform(*HALF_WRITTEN_S)
        fleet.loop.call_later(written_s, daemon.write_settings)
        fleet.add_fault(written_s)
    return heal_nothing


def settings_rewritten(fleet: Fleet, rng: random.Random) -> Heal:
    """Rewrites settings files in steps, with signals at some of them."""
    for daemon in sample_share(rng, fleet.daemons, 0.5):
        for number in range(REWRITES):
            step = partial(_rewrite_partly, daemon, rng)
            fleet.loop.call_later(number * REWRITE_GAP_S, step)
        finish = partial(_finish_rewrite, daemon, rng)
        fleet.loop.call_later(REWRITING_S, finish)
    return heal_nothing


def _rewrite_partly(daemon: Daemon, rng: random.Random) -> None:
    whole = daemon.settings_text
    daemon.settings_path.write_text(whole[: rng.randrange(len(whole))])
    if rng.random() < 0.5:
        daemon.reload()


def _finish_rewrite(daemon: Daemon, rng: random.Random) -> None:
    daemon.write_settings()
    if rng.random() < 0.5:
        daemon.reload()


def signals_at_start(fleet: Fleet, rng: random.Random) -> Heal:
    """Kills daemons and sends them signals at their next starts."""
    now = fleet.loop.clock()
    kinds = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGKILL)
    for daemon in sample_share(rng, fleet.daemons, 0.34):
        for _ in range(rng.randint(*STARTS)):
            daemon.signals_at_starts.append(
                [
                    (rng.uniform(0.0, SIGNAL_AT_S), rng.choice(kinds))
                    for _ in range(rng.randint(*SIGNALS_PER_START))
                ]
            )
        daemon.kill(now)
    fleet.add_fault(SIGNALS_S)
    return heal_nothing
