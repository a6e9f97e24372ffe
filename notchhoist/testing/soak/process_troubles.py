"""Troubles of the daemons' processes."""

import random

from notchhoist.testing.soak.daemons import RESTART_DELAY_S, Daemon
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing, sample_share

ROLL_GAP_S = 2.6
"""Pause between two planned stops, seconds; a balancer drains within 1.8 s."""


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
        daemon.reload()
    return heal_nothing
