"""The outcome of a run, as text."""

from notchhoist.testing.opaque.world import OpaqueWorld

_ROW = "{:<16}{:>7}{:>8}{:>6}{:>8}{:>7}{:>9}{:>9}"


def outcome_text(world: OpaqueWorld) -> str:
    """Returns a table of the requests by kind, and totals of a run."""
    judge = world.judge
    lines = [
        _ROW.format(
            "kind", "asked", "in time", "late", "refused", "failed", "p50 ms",
            "p99 ms",
        )
    ]  # fmt: skip
    for name, tally in judge.tallies.items():
        p50, p99 = (
            tally.latency.get_value_at_percentile(share) / 1000
            for share in (50, 99)
        )
        lines.append(
            _ROW.format(
                name,
                tally.asked,
                tally.in_time,
                tally.late,
                tally.refused,
                tally.failed,
                f"{p50:.1f}",
                f"{p99:.1f}",
            )
        )
    lines.append(f"worth {judge.worth(world.workloads):.3f}")
    for service in judge.arrivals:
        ratio = judge.imbalance(service)
        lines.append(f"{service}: busiest/mean {ratio:.2f}")
    resets = ", ".join(f"{why} {n}" for why, n in judge.resets.items())
    lines.append(f"resets of open flows: {resets or 'none'}")
    lines.append(f"MB between zones {world.network.zone_bytes / 1e6:.2f}")
    lines.append(f"calls to the store {world.store.calls}")
    lines.extend(f"BROKEN {item}" for item in judge.broken[:20])
    lines.append(f"broken {len(judge.broken)}")
    return "\n".join(lines)
