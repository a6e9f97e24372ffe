"""Retry amplification while backend servers are slow, by retry budget.

    python benchmarks/bench_retries.py [SECONDS]

Repeats the experiment of "Deep dive: the retry budget (NResilience)" in the
simulated network: all backend servers of a service are eight times slower for
a minute, while idempotent requests arrive at a fraction of the usual capacity.
Amplification is starts per arrival, in the worst second and over the whole run.
The budget is kept only if its benefit outweighs its cost.
The old rule ended every execution after a third of the deadline.
"""

import collections
import random
import sys

import attrs

from notchhoist.testing import chaos, deployment, rehearsal
from notchhoist.testing.baselines import (
    BudgetedDispatcher,
    EarlyTimeoutDispatcher,
    with_retry_budget,
)
from notchhoist.testing.world import World

DEFAULT_SECONDS = 60.0
SLOW_FACTOR = 8.0
LOADS = (0.1, 0.2, 0.5)
SERVICE_S = 0.4
QUIET_S = 10.0
AFTER_S = 20.0
ROSTER = attrs.evolve(
    deployment.HALLBOOK,
    kinds=(attrs.evolve(deployment.HALLBOOK.kinds[1], deadline_s=6.0),),
)


PAPER_FLOOR = 3.0
TIGHT_FLOOR = 0.1
UNBOUNDED = 1e9


VERSIONS = {
    "ours": None,
    "paper budget": with_retry_budget(BudgetedDispatcher, PAPER_FLOOR),
    "tight budget": with_retry_budget(BudgetedDispatcher, TIGHT_FLOOR),
    "old rule": with_retry_budget(EarlyTimeoutDispatcher, UNBOUNDED),
    "old, paper": with_retry_budget(EarlyTimeoutDispatcher, PAPER_FLOOR),
    "old, tight": with_retry_budget(EarlyTimeoutDispatcher, TIGHT_FLOOR),
}


def run_experiment(seed, adapt, load, slow_s):
    """Runs the experiment; returns the world and when it became slow."""
    world = World(random.Random(seed), adapt=adapt)
    deployment.build_world(world, (ROSTER,), service_s=SERVICE_S)
    chaos.assume_complete_memory(world)
    world.run(2.0)
    duration = QUIET_S + slow_s + AFTER_S
    rehearsal.schedule_arrivals(world, ROSTER, load, duration)
    began = world.now + QUIET_S

    def set_factor(factor):
        for backend in world.backends.values():
            backend.slow_factor = factor

    world.at(QUIET_S, lambda: set_factor(SLOW_FACTOR))
    world.at(QUIET_S + slow_s, lambda: set_factor(1.0))
    world.run(duration)
    world.run_until(world.callers_done, 70.0)
    return world, began


def print_figures(name, adapt, load, slow_s):
    """Prints the figures of one version."""
    world, began = run_experiment(5, adapt, load, slow_s)
    starts = collections.Counter(int(s.at) for s in world.history.started)
    slow = range(int(began), int(began + slow_s) + 1)
    rate = load * sum(ROSTER.slots) / SERVICE_S
    peak = max(starts[second] for second in slow) / rate
    starts_by_request = collections.Counter(
        s.request for s in world.history.started
    )
    repeated = sum(count - 1 for count in starts_by_request.values()) / len(
        starts_by_request
    )
    results = collections.Counter(t.result.value for t in world.history.told)
    answered = results["answered"] / sum(results.values())
    print(
        f"  {name:12} worst second {peak:.2f}x of arrivals, "
        f"extra starts {repeated:.1%}, answered {answered:.1%}, "
        f"{dict(sorted(results.items()))}"
    )


def main():
    """Prints the figures of every version at every load."""
    slow_s = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS
    for load in LOADS:
        print(f"eight times slower for {slow_s:.0f} s at {load} of capacity")
        for name, adapt in VERSIONS.items():
            print_figures(name, adapt, load, slow_s)


if __name__ == "__main__":
    main()
