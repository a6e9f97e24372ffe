"""Simulated deployments with many short requests, shared by tests."""

import random

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.records import Count
from notchhoist.testing.opaque.experiment import WARM_UP_S, start_traffic
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.opaque.world import OpaqueWorld

ZONES = ("a", "b", "c", "d")
SERVERS = 16
BALANCERS = 8
CAPACITY_PER_S = SERVERS / 0.024
"""Requests per second that use every slot: one slot per server, and a mean
service time of 24 ms."""

LISTING = Workload(
    *("listing", "safe", "agenda", 8443, 0.65 * CAPACITY_PER_S, 22, 60, 1000),
    *(0.226, 2.8, 2, 1.0, 0.3),
)
BOOKING = Workload(
    *("booking", "unsafe", "agenda", 8080, 0.35 * CAPACITY_PER_S, 28, 900, 600),
    *(0.228, 3.4, 1, 2.0, 0.6),
)

FEED = Workload(
    *("feed", "safe", "albums", 8443, 190, 52, 60, 1000),
    *(0.486, 2.1, 2, 1.0, 0.5, True),
)
"""Requests on flows that stay open from one request to the next."""


def make_world(load, seed=7, uses=ALL, trouble=None, trouble_at_s=2.0):
    """Makes a service of one-slot servers at a share of its capacity."""
    workloads = tuple(
        Workload(
            *(item.name, item.kind, item.service, item.port),
            item.per_s * load,
            *(
                item.work_ms,
                item.request_bytes,
                item.answer_bytes,
                item.objective_s,
            ),
            *(item.deadline_s, item.priority, item.worth, item.late_worth),
        )
        for item in (LISTING, BOOKING)
    )
    world = OpaqueWorld(random.Random(seed), ZONES, workloads, uses=uses)
    world.publish(1)
    for number in range(BALANCERS):
        world.add_host(ZONES[number % len(ZONES)])
    for number in range(SERVERS):
        world.add_host(ZONES[number % len(ZONES)], "agenda", slots=1)
    if trouble is not None:
        world.later(WARM_UP_S + trouble_at_s, lambda: trouble(world))
    return world


def make_long_flow_world(seed=7, uses=ALL):
    """Makes a service whose callers keep their flows open."""
    world = OpaqueWorld(random.Random(seed), ZONES, (FEED,), uses=uses)
    world.publish(1)
    for number in range(BALANCERS):
        world.add_host(ZONES[number % len(ZONES)])
    for number in range(SERVERS):
        world.add_host(ZONES[number % len(ZONES)], "albums", slots=2)
    return world


def simulate(world, seconds):
    """Runs the callers for a time, then waits for their last requests."""
    start_traffic(world, WARM_UP_S + seconds)
    world.run_until(WARM_UP_S + seconds + 4.0)
    return world


def agents(world):
    return [
        host.node
        for host in world.hosts.values()
        if isinstance(host.node, AgentNode)
    ]


def queued_share(world):
    """Returns the share of requests that were queued for a slot."""
    queued = sum(
        node.board.records.counters[Count.HELD] for node in agents(world)
    )
    return queued / sum(tally.asked for tally in world.judge.tallies.values())


def latency_s(world, kind, percentile):
    histogram = world.judge.tallies[kind].latency
    return histogram.get_value_at_percentile(percentile) / 1e6
