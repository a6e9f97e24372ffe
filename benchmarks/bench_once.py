"""Violations of at-most-once execution under faults, and the cost of claims.

    python benchmarks/bench_once.py [SEEDS]

The baseline "naive" has no witnesses; "one witness" asks only the first. The
storm injects a fault every 0.8 s, the bad day one every 6 s.
"""

import collections
import random
import sys

from notchhoist import model
from notchhoist.testing import baselines, chaos
from notchhoist.testing.caller import Task
from notchhoist.testing.deployment import build_world
from notchhoist.testing.world import World

DEFAULT_SEEDS = 20
REQUESTS = 200
KINDS = ("GrantRequest", "GrantReply")
VERSIONS = {
    "naive": baselines.without_witnesses,
    "one witness": baselines.single_witness,
    "two of three": None,
}


def print_violations(name, adapt, gap_s, seeds):
    """Prints the violations and results of one version under faults."""
    broken = 0
    results = collections.Counter()
    for seed in range(seeds):
        run = chaos.run_chaos(seed, adapt, gap_s)
        broken += bool(run.world.history.check())
        results.update(item.result.value for item in run.world.history.told)
    total = sum(results.values())
    shares = ", ".join(
        f"{result} {count / total:.1%}"
        for result, count in sorted(results.items())
    )
    print(f"  {name:13} broken {broken}/{seeds}: {shares}")


def print_cost(name, adapt, dead):
    """Prints the cost of one version, optionally with one host killed."""
    world = World(random.Random(7), count_bytes=True, adapt=adapt)
    configuration = build_world(
        world, (chaos.PLAN,), memory_s=chaos.MEMORY_S, service_s=0.01
    )
    chaos.assume_complete_memory(world)
    world.run(2.0)
    if dead:
        world.kill(configuration.services[0].servers[0].agent)
        world.run(2.0)
    before = collections.Counter(world.by_type)
    before_bytes = collections.Counter(world.bytes_by_type)
    for number in range(REQUESTS):
        task = Task("booking", "POST", chaos.PLAN.name, f"b{number:03}")
        endpoint = model.Endpoint(f"172.16.{number // 200}.{number % 200}", 9)
        world.add_caller(endpoint, [task])
        world.run(0.1)
    world.run_until(world.callers_done, 70.0)
    told = world.history.told
    messages = sum(world.by_type.get(k, 0) - before[k] for k in KINDS)
    size = sum(world.bytes_by_type.get(k, 0) - before_bytes[k] for k in KINDS)
    refused = sum(item.result.value != "answered" for item in told)
    latencies = sorted(item.latency_s for item in told)
    median = latencies[len(latencies) // 2] * 1000
    print(
        f"  {name:13} {messages / REQUESTS:.2f} messages, "
        f"{size / REQUESTS:.0f} bytes a request, median {median:.1f} ms, "
        f"refused {refused / REQUESTS:.1%}"
    )


def main():
    """Runs every version under faults, then measures its cost."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    for title, gap_s in (
        ("storm", chaos.FREQUENT_FAULT_GAP_S),
        ("bad day", chaos.OCCASIONAL_FAULT_GAP_S),
    ):
        print(f"{title}: {seeds} seeds, a fault every {gap_s} s")
        for name, adapt in VERSIONS.items():
            print_violations(name, adapt, gap_s, seeds)
    for dead in (False, True):
        print("cost, one host dead:" if dead else "cost, all alive:")
        for name, adapt in VERSIONS.items():
            print_cost(name, adapt, dead)


if __name__ == "__main__":
    main()
