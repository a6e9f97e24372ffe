"""Resident memory and processor time of real, idle daemons.

python benchmarks/bench_memory.py
"""

import tempfile
from pathlib import Path

import anyio

from notchhoist.testing import launcher, main_job
from notchhoist.testing.deployment import HALLBOOK

IDLE_S = 10.0
TICKS_PER_S = 100


def resident_mb(pid):
    """Returns the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1000
    return 0.0


def processor_s(pid):
    """Returns the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def measure(deployment):
    """Prints a row for each daemon."""
    deployment.start()
    await main_job.wait_ready([deployment])
    pids = {
        host: deployment.processes[host].pid for host in deployment.operators
    }
    before = {host: processor_s(pid) for host, pid in pids.items()}
    await anyio.sleep(IDLE_S)
    for host, pid in pids.items():
        share = (processor_s(pid) - before[host]) / IDLE_S
        print(f"  {host:12} {resident_mb(pid):.0f} MB, {share:.1%} of a core")


def main():
    """Runs two balancers and three agents and prints what each uses."""
    with tempfile.TemporaryDirectory() as folder:
        plan = main_job.with_fewer_servers(HALLBOOK, 3)
        deployment = launcher.Deployment(Path(folder), 4, (plan,), balancers=2)
        try:
            anyio.run(measure, deployment)
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
