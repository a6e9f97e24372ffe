"""Imbalance and goodput under load, compared with two load-blind policies.

    python benchmarks/bench_balance.py [SECONDS]

One server starts cold and one sheds every fifth request. Load reports are at
most 250 ms old. The load-blind policies place each request at random or in
round-robin order, with the same queues, limits and refusals.
"""

import sys

from notchhoist.testing import baselines, deployment, rehearsal

DEFAULT_SECONDS = 20
LOADS = (0.5, 0.9, 1.2)
SEED = 1
VERSIONS = {
    "ours": None,
    "random": baselines.random_placement,
    "round robin": baselines.round_robin,
}
PLANS = (
    deployment.HALLBOOK,
    deployment.SCOREDROP,
    deployment.FEED_HUB,
    deployment.ARCHIVE_INTAKE,
)


def print_row(plan, load, name, adapt, seconds):
    """Prints the figures of one load test."""
    figures = rehearsal.run_load_test(plan, load, seconds, SEED, adapt)
    kinds = "; ".join(
        f"{kind} {figures.answered[kind]} answered, "
        f"{figures.refused[kind]} refused, {figures.unknown[kind]} unknown, "
        f"p50 {figures.latency_ms(kind, 50):.0f} "
        f"p99 {figures.latency_ms(kind, 99):.0f} ms"
        for kind in rehearsal.kind_names(plan)
    )
    refusal = figures.refusal_latencies.get_value_at_percentile(50) / 1000
    print(
        f"  {load:.1f} {name:12} imbalance {figures.imbalance:.2f}; {kinds}; "
        f"refusal p50 {refusal:.0f} ms; over slots {figures.overfull_samples}, "
        f"violations {figures.violations}"
    )


def main():
    """Runs every load test."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS
    for plan in PLANS:
        print(f"{plan.name}: {sum(plan.slots)} slots")
        for load in LOADS:
            for name, adapt in VERSIONS.items():
                print_row(plan, load, name, adapt, seconds)


if __name__ == "__main__":
    main()
