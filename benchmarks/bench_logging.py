"""Cost of a log line.

    python benchmarks/bench_logging.py

Prints the processor time and bytes of a line as the daemons write it, compared
with the time a balancer takes to place a flow without logging, and the cost of
the permitted number of lines per second. Lines are written to a file, so that
the time in the kernel is included.
"""

import os
import statistics
import tempfile
import time

from notchhoist.daemon.flow_journal import MAX_LINES_PER_SECOND, FlowJournal
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.records import Decision
from notchhoist.flows.tests import crafting

LINES = 5_000
ROUNDS = 7


def measure_line(fd):
    """Returns the processor time and the size of a line."""
    now = [0.0]

    def clock():
        now[0] += 1.0 / MAX_LINES_PER_SECOND
        return now[0]

    journal = FlowJournal(
        "h", clock, time.time, lambda line: os.write(fd, line)
    )
    fields = {
        "service": "hallbook",
        "flows": 12,
        "running": 3,
        "pace_ms": 48,
        "load_age_s": 0.214,
        "choices": 7,
        "again": 0,
        "flow": "100.64.0.12:41028-198.18.0.1:8443",
    }
    began = time.process_time()
    for _ in range(LINES):
        journal.log("place", outcome="i-32dcf0cd35", **fields)
    took = time.process_time() - began
    return took / LINES, os.fstat(fd).st_size / LINES


def measure_placement():
    """Returns the processor time to place a flow and record the decision."""
    node = make_balancer("a", crafting.CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(crafting.entry(n), 1) for n in range(1, 8)]
    node.fleet.on_listing(entries, 1, 0.0)
    syns = [
        crafting.request(flags=crafting.SYN, port=1000 + n)
        for n in range(LINES)
    ]
    began = time.process_time()
    for number, syn in enumerate(syns):
        node.on_caller(syn, number * 0.001)
        node.board.openings.clear()
    assert isinstance(node.board.records.decisions[0], Decision)
    return (time.process_time() - began) / LINES


def main():
    lines, flows = [], []
    for _ in range(ROUNDS):
        with tempfile.TemporaryFile() as file:
            lines.append(measure_line(file.fileno()))
        flows.append(measure_placement())
    line_s = statistics.median(item[0] for item in lines)
    size = statistics.median(item[1] for item in lines)
    flow_s = statistics.median(flows)
    print(f"a line: {line_s * 1e6:.1f} us, {size:.0f} bytes")
    ratio = line_s / flow_s
    print(f"a flow placed: {flow_s * 1e6:.1f} us; line / flow {ratio:.2f}")
    print(
        f"{MAX_LINES_PER_SECOND} lines a second: "
        f"{line_s * MAX_LINES_PER_SECOND:.2%} of a core, "
        f"{size * MAX_LINES_PER_SECOND / 1000:.0f} KB/s"
    )


if __name__ == "__main__":
    main()
