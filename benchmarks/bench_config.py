"""Configuration: propagation time, platform reads and bytes per daemon.

    python benchmarks/bench_config.py [SIZES ...]

Runs 10, 100 and 500 sans-I/O nodes in the simulated network. A line fitted
through these sizes is extrapolated to the target of 4,880 nodes.
"""

import collections
import statistics
import sys

from notchhoist import blackboards
from notchhoist.testing.fleet import make_fleet

DEFAULT_SIZES = (10, 100, 500)
TARGET = 4880
CHANGES = 5
IDLE_S = 20.0
LIMIT_S = 10.0
CHANGES_A_DAY = 2500
DAY_S = 86_400


def bytes_per_daemon(fleet, before, seconds):
    """Returns the bytes sent per second, averaged over all daemons."""
    sent = collections.Counter(fleet.world.bytes_by_type)
    sent.subtract(before)
    return sum(sent.values()) / seconds / len(fleet.world.hosts)


def measure(size):
    """Prints and returns the figures of one network size."""
    fleet = make_fleet(size, seed=3)
    world = fleet.world
    at_start = fleet.propagation_time(LIMIT_S)
    world.run(5.0)
    before = collections.Counter(world.bytes_by_type)
    reads = world.platform.reads
    world.run(IDLE_S)
    idle = bytes_per_daemon(fleet, before, IDLE_S)
    idle_reads = (world.platform.reads - reads) / IDLE_S
    times = []
    before = collections.Counter(world.bytes_by_type)
    began = world.now
    for number in range(CHANGES):
        fleet.publish_weight(2.0 + number)
        times.append(fleet.propagation_time(LIMIT_S))
        world.run(2.0)
    busy_s = world.now - began
    change_bytes = (bytes_per_daemon(fleet, before, busy_s) - idle) * busy_s
    change_bytes /= CHANGES
    records = sum(
        len(host.node.board.config.store.services)
        for host in world.hosts.values()
        if isinstance(host.node.board, blackboards.BalancerBoard)
    )
    print(
        f"  {len(world.hosts):4} nodes: start {at_start:.2f} s, "
        f"change {max(times):.2f} s at worst, "
        f"{idle_reads:.1f} platform reads a second, "
        f"{idle:.0f} bytes a second a daemon, "
        f"{change_bytes:.0f} bytes a change a daemon, "
        f"{records} records at balancers"
    )
    return len(world.hosts), max(times), idle_reads, idle, change_bytes


def main():
    """Prints the figures of every size and their extrapolation."""
    sizes = [int(text) for text in sys.argv[1:]] or DEFAULT_SIZES
    rows = [measure(size) for size in sizes]
    if len(rows) < 2:
        return
    names = (
        "worst change, s",
        "platform reads a second",
        "bytes a second a daemon",
        "bytes a change a daemon",
    )
    nodes = [row[0] for row in rows]
    for place, name in enumerate(names, start=1):
        values = [row[place] for row in rows]
        slope, base = statistics.linear_regression(nodes, values)
        print(
            f"  {name}: slope {slope:.5f} a node, "
            f"at {TARGET} nodes {base + slope * TARGET:.1f}"
        )


if __name__ == "__main__":
    main()
