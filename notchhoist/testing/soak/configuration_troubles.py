"""Troubles caused by published configurations."""

import random
from functools import partial

from notchhoist.testing.opaque import odd_documents
from notchhoist.testing.soak.fleet import SERVICES, WORKLOADS, Fleet
from notchhoist.testing.soak.healing import Heal, heal_nothing

WEIGHT_CHANGES = 3
WEIGHT_CHANGE_GAP_S = 0.15
"""Number of weight changes of a split, and the pause between two in seconds."""

WEIGHT_CHANGES_S = WEIGHT_CHANGES * WEIGHT_CHANGE_GAP_S

ODD_VERSIONS = 4
ODD_VERSION_GAP_S = 0.2
"""Number of odd versions in a row, and the pause between two in seconds."""

ODD_VERSIONS_S = ODD_VERSIONS * ODD_VERSION_GAP_S


def change_configuration(fleet: Fleet, _: random.Random) -> Heal:
    """Publishes five versions in quick succession."""
    for number in range(5):
        fleet.loop.call_later(number * 0.1, fleet.publish)
    return heal_nothing


def drop_route(fleet: Fleet, rng: random.Random) -> Heal:
    """Drops a route; its callers send no requests until it is restored."""
    port = rng.choice(WORKLOADS).port
    fleet.drop_route(port)
    return lambda: fleet.restore_route(port)


def change_weights(fleet: Fleet, rng: random.Random) -> Heal:
    """Changes the weights of a split route, then stops a balancer.

    Healing publishes the route with its own service only.
    """
    workload = WORKLOADS[0]
    for number in range(WEIGHT_CHANGES):
        weights = [rng.randint(0, 9) for _ in SERVICES]
        weights[number % len(weights)] += 1
        targets = tuple(zip(SERVICES, weights, strict=True))
        publish_split = partial(fleet.split_route, workload, targets)
        fleet.loop.call_later(number * WEIGHT_CHANGE_GAP_S, publish_split)
    daemon = rng.choice(fleet.balancers)

    def stop() -> None:
        daemon.stop(fleet.loop.clock())

    fleet.loop.call_later(WEIGHT_CHANGES_S, stop)
    return partial(fleet.split_route, workload, ())


def odd_configuration(fleet: Fleet, rng: random.Random) -> Heal:
    """Publishes odd versions, then a good one.

    Flows of a route that an odd version names with another address or service
    may end, so this is no planned work.
    """

    def put_odd() -> None:
        good = fleet.configuration()
        text = odd_documents.odd_configuration(good, rng)
        fleet.store.put_raw("op/config", text)

    for number in range(ODD_VERSIONS):
        fleet.loop.call_later(number * ODD_VERSION_GAP_S, put_odd)
    fleet.loop.call_later(ODD_VERSIONS_S, fleet.publish)
    return heal_nothing
