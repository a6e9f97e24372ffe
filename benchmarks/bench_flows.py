"""Broken flows by planned change, compared with two baselines.

python benchmarks/bench_flows.py [SEEDS]
"""

import collections
import sys

from notchhoist.testing import baselines, changes

DEFAULT_SEEDS = 3
RANDOM_SEEDS = 20
VERSIONS = {
    "ours": None,
    "plain rendezvous": baselines.plain_rendezvous,
    "modulo table": baselines.modulo_table,
}


def measure(change, adapt, seeds):
    """Returns broken flows by cause over all seeds."""
    broken = collections.Counter()
    for seed in range(seeds):
        site = changes.make_site(seed, adapt)
        change(site)
        changes.finish(site)
        broken.update(site.world.history.broken)
    return broken


def print_overlapping_changes(seeds):
    """Prints for how many seeds random overlapping changes break a flow."""
    for version, adapt in VERSIONS.items():
        broken = collections.Counter()
        bad = 0
        for seed in range(seeds):
            site = changes.run_random_changes(seed, adapt)
            bad += bool(site.world.history.broken)
            broken.update(site.world.history.broken)
        print(
            f"  many at once       {version:16} {bad}/{seeds} seeds, "
            f"{sum(broken.values()) / changes.count_flows() / seeds:6.2%} "
            f"{dict(sorted(broken.items()))}"
        )


def main():
    """Prints a row for each change."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    total = changes.count_flows() * seeds
    print(f"{total} streams and uploads each, broken in percent by cause")
    for name, change in [
        ("no change", lambda site: None),
        *changes.PLANNED.items(),
        ("host killed", changes.Site.kill_host),
    ]:
        for version, adapt in VERSIONS.items():
            broken = measure(change, adapt, seeds)
            share = sum(broken.values()) / total
            causes = dict(sorted(broken.items()))
            print(f"  {name:18} {version:16} {share:6.2%} {causes}")
    print_overlapping_changes(RANDOM_SEEDS)


if __name__ == "__main__":
    main()
