"""No living flow is reset in random orders of kills, losses and changes.

Guards against processes that have just started and take what they do not know
for known, and against searches that end after the evidence has lapsed.

Run by hand with many seeds::

    python -m notchhoist.flows.tests.test_fleet_histories FIRST COUNT
"""

import random
import sys

import pytest

from notchhoist.flows.tests.fleet import SERVICES, Fleet
from notchhoist.flows.tests.network import BALANCERS, HOSTS

HISTORIES_PER_TEST = 25
OLD, NEW = ((service, 1) for service in SERVICES)

STEPS = {
    "kill agents": 5.0,
    "kill balancers": 2.0,
    "kill all": 4.0,
    "power": 2.0,
    "power of one": 1.0,
    "replace": 0.5,
    "store": 1.5,
    "cut from store": 0.7,
    "cut": 2.0,
    "route": 2.5,
}
"""Steps of a history with their weights."""


def apply_step(world, step, rng, cold_s):
    """Applies a step, with what it needs drawn at random."""
    match step:
        case "kill agents":
            hosts = rng.sample(HOSTS, rng.choice([1, 1, 2, 3]))
            world.kill_agents(hosts, rng.choice([0.2, 0.2, 0.6, 1.5, 2.5]))
        case "kill balancers":
            world.kill_balancers(rng.sample(BALANCERS, rng.choice([1, 2])))
        case "kill all":
            world.kill_agents(HOSTS, 0.2)
            world.run(rng.choice([0.2, 0.2, 0.6]))
            world.kill_balancers(BALANCERS)
        case "power":
            world.lose_power(cold_s)
        case "power of one":
            world.lose_power_of(rng.choice(HOSTS), cold_s)
        case "replace":
            world.replace_server(rng.choice(HOSTS), cold_s)
        case "store":
            world.silence_store(rng.choice([0.5, 1.0, 3.0]), rng.random() < 0.5)
        case "cut from store":
            world.cut_from_store(rng.choice(BALANCERS), rng.choice([0.5, 3.0]))
        case "cut":
            ends = [rng.choice(HOSTS), rng.choice(BALANCERS)]
            rng.shuffle(ends)
            world.cut_link(*ends, rng.choice([0.5, 1.0, 2.0]))
        case "route":
            world.configure(*rng.choice([(OLD,), (NEW,), (OLD, NEW)]))


def play(seed):
    """Plays the history of a seed; returns the simulation at its end."""
    rng = random.Random(seed)
    routes_change = rng.random() < 0.5
    last = SERVICES[routes_change]
    services = (SERVICES[0], SERVICES[0], last)
    world = Fleet(seed, services, loss=rng.choice([0.0, 0.0, 0.02]))
    cold_s = rng.choice([2.0, 2.0, 4.0])
    weights = {**STEPS, "route": STEPS["route"] * routes_change}
    if rng.random() < 0.7:
        world.lose_power(cold_s)
        world.run(rng.choice([0.0, 0.1, 0.3]))
    open_some(world, rng.randint(1, 3))
    for _ in range(rng.randint(2, 7)):
        [step] = rng.choices(list(weights), list(weights.values()))
        apply_step(world, step, rng, cold_s)
        if rng.random() < 0.4:
            open_some(world, rng.randint(1, 2))
        if rng.random() < 0.6:
            world.ask_some(rng.choice([1, 3]))
        world.run(rng.choice([0.0, 0.05, 0.1, 0.3, 0.6, 1.0, 1.5, 2.5]))
    use_flows(world, rng)
    return world


def open_some(world, count):
    for _ in range(count):
        world.open()


def use_flows(world, rng):
    """Uses flows while promises begin to hold, and all of them later."""
    for _ in range(3):
        world.ask_some(3)
        world.run(rng.choice([0.6, 1.1, 1.6, 2.2]))
    world.run(4.2)
    for port in sorted(world.callers):
        world.ask(port, 3)
    world.run(5.0)


@pytest.mark.parametrize("first", range(0, 250, HISTORIES_PER_TEST))
def test_no_living_flow_is_reset_once_promises_hold(first):
    broken = {
        seed: play(seed).broken
        for seed in range(first, first + HISTORIES_PER_TEST)
    }
    assert not any(broken.values()), broken


def test_flows_of_lost_servers_are_reset():
    """Code that resets no flow at all would pass the test above."""
    assert all(play(seed).resets for seed in range(4))


def main(first, count):
    """Plays histories; prints what they broke."""
    found = 0
    for seed in range(first, first + count):
        broken = play(seed).broken
        found += bool(broken)
        if broken:
            print(seed, broken, flush=True)
    print(f"{found} of {count} histories from {first} broke a promise")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
