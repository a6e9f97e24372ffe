"""End-to-end test of two small deployments that run as real processes.

``python -m notchhoist.testing.main_job`` starts the platform, fabric, backend
servers, agents and balancers on loopback. Callers book, read, upload and follow
streams; the fabric sends each packet to a random balancer. The job prints the
figures of each service and exits with status 0 only if every check holds.
"""

import collections
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import anyio
import attrs
import orjson
from hdrh.histogram import HdrHistogram

from notchhoist import documents
from notchhoist.testing.caller import Mode, Task
from notchhoist.testing.deployment import (
    ARCHIVE_INTAKE,
    FEED_HUB,
    HALLBOOK,
    SCOREDROP,
    ServicePlan,
)
from notchhoist.testing.history import FinalResult, History, Result, Violation
from notchhoist.testing.launcher import Deployment
from notchhoist.testing.stand_in import BackendReport

READY_LIMIT_S = 60.0
POLL_S = 0.2
SETTLE_S = 0.5
CALLER_LIMIT_S = 60.0
MAX_LATENCY_US = 120_000_000
PERCENTILES = (50.0, 90.0, 99.0)


def with_fewer_servers(plan: ServicePlan, servers: int) -> ServicePlan:
    """Returns a plan with fewer backend servers."""
    return attrs.evolve(plan, slots=plan.slots[:servers])


def booking_tasks(caller: int) -> list[Task]:
    """Returns the tasks of a conductor: bookings and roster reads."""
    tasks = []
    for turn in range(5):
        name = f"h{caller:02}{turn}"
        tasks.append(Task("booking", "POST", "hallbook", f"b{name}"))
        tasks.append(Task("roster", "GET", "hallbook", f"r{name}"))
    return tasks


def upload_tasks(caller: int) -> list[Task]:
    """Returns the tasks of a band librarian: score uploads."""
    return [
        Task(
            "upload",
            "PUT",
            "scoredrop",
            f"u{caller:02}{turn}",
            Mode.UPLOAD,
            size=4000,
        )
        for turn in range(2)
    ]


def feed_tasks(caller: int) -> list[Task]:
    """Returns the tasks of a field unit: one stream, or several check-ins."""
    if caller % 2:
        name = f"f{caller:02}"
        return [Task("feed", "GET", "feed-hub", name, Mode.STREAM, size=12)]
    return [
        Task("checkin", "POST", "feed-hub", f"c{caller:02}{turn}", tagged=True)
        for turn in range(8)
    ]


def bundle_tasks(caller: int) -> list[Task]:
    """Returns the tasks of a field unit that uploads its bundle."""
    return [
        Task(
            "bundle",
            "PUT",
            "archive-intake",
            f"a{caller:02}",
            Mode.UPLOAD,
            size=6000,
        )
    ]


TASKS = {
    "hallbook": (booking_tasks, 24),
    "scoredrop": (upload_tasks, 12),
    "feed-hub": (feed_tasks, 20),
    "archive-intake": (bundle_tasks, 10),
}


def main() -> int:
    """Runs the job; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="notchhoist-") as folder:
        deployments = [
            Deployment(
                Path(folder, "one"),
                1,
                (
                    with_fewer_servers(HALLBOOK, 3),
                    with_fewer_servers(SCOREDROP, 2),
                ),
            ),
            Deployment(
                Path(folder, "two"),
                2,
                (
                    with_fewer_servers(FEED_HUB, 3),
                    with_fewer_servers(ARCHIVE_INTAKE, 2),
                ),
            ),
        ]
        try:
            problems = anyio.run(run, deployments)
        finally:
            for deployment in deployments:
                deployment.stop()
        problems += report(deployments)
    for problem in problems:
        print("FAILED", problem)
    print("A stream's time is all of its life, an upload's that of its blocks.")
    print("main job:", "failed" if problems else "every check held")
    return 1 if problems else 0


async def run(deployments: Sequence[Deployment]) -> list[str]:
    """Starts the deployments, runs the callers and returns the problems."""
    for deployment in deployments:
        deployment.start()
    lagging = await wait_ready(deployments)
    if lagging:
        return [f"no configuration in force at {', '.join(lagging)}"]
    for deployment in deployments:
        start_callers(deployment)
    problems = []
    for deployment in deployments:
        for plan in deployment.plans:
            name = f"callers-{plan.name}"
            if deployment.wait(name, CALLER_LIMIT_S + 10.0):
                problems.append(f"{name}: bad exit status")
    return problems


async def wait_ready(deployments: Sequence[Deployment]) -> list[str]:
    """Waits until every daemon is ready and witnesses no longer abstain.

    Args:
        deployments: Deployments that have been started.

    Returns:
        The hosts that are not ready within ``READY_LIMIT_S``; empty if all
        are.
    """
    deadline = anyio.current_time() + READY_LIMIT_S
    while True:
        lagging = [host for item in deployments for host in item.lagging()]
        if not lagging:
            memory_s = max(item.memory_s for item in deployments)
            await anyio.sleep(memory_s + SETTLE_S)
            return []
        if anyio.current_time() > deadline:
            return lagging
        await anyio.sleep(POLL_S)


def start_callers(deployment: Deployment) -> None:
    """Starts the callers of every service."""
    for plan in deployment.plans:
        make_tasks, count = TASKS[plan.name]
        callers = [make_tasks(number) for number in range(count)]
        deployment.start_callers(plan.name, callers, CALLER_LIMIT_S)


def report(deployments: Sequence[Deployment]) -> list[str]:
    """Prints the figures of every service; returns the failed checks."""
    problems = []
    for deployment in deployments:
        for plan in deployment.plans:
            problems += report_service(deployment, plan)
    return problems


def report_service(deployment: Deployment, plan: ServicePlan) -> list[str]:
    """Prints the figures of one service; returns the failed checks."""
    path = deployment.report_path(f"callers-{plan.name}")
    if not path.exists():
        return [f"{plan.name}: no report of its callers"]
    history = read_report(path, History)
    servers = [
        read_report(
            deployment.report_path(f"{plan.name}-{place + 1}"), BackendReport
        )
        for place in range(len(plan.slots))
    ]
    for server in servers:
        history.started.extend(server.history.started)
        history.misdirected.extend(server.history.misdirected)
    print_service(plan, history, servers)
    return failed_checks(plan, history, servers)


T = TypeVar("T")


def read_report(path: Path, wanted: type[T]) -> T:
    """Reads a report file as an instance of a class."""
    return documents.structure(orjson.loads(path.read_bytes()), wanted).unwrap()


def imbalance(servers: Sequence[BackendReport]) -> float:
    """Returns the maximum over the mean of slot utilization."""
    taken = [server.busy_s / server.slots for server in servers]
    mean = sum(taken) / len(taken)
    return max(taken) / mean if mean else 1.0


def print_service(
    plan: ServicePlan, history: History, servers: Sequence[BackendReport]
) -> None:
    """Prints the figures of one service."""
    results = collections.Counter(item.result.value for item in history.told)
    print(f"{plan.name}: {len(history.told)} requests, {dict(results)}")
    print(
        f"  own answers {count_matching_answers(history)}, "
        f"broken {dict(history.broken)}"
    )
    print(f"  imbalance {imbalance(servers):.2f} (max over mean)")
    for kind in sorted({item.kind for item in history.told}):
        told = [item for item in history.told if item.kind == kind]
        print(f"  {kind}: {len(told)}, {latency_text(told)}")


def latency_text(told: Sequence[FinalResult]) -> str:
    """Returns percentiles of the time from first packet to final answer.

    Examples:
        >>> results = [
        ...     FinalResult(0, "s", "r", Result.ANSWERED, "r", 0.05, "k")
        ... ]
        >>> latency_text(results)
        'p50 50 ms p90 50 ms p99 50 ms'
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 2)
    for item in told:
        histogram.record_value(max(1, int(item.latency_s * 1e6)))
    return " ".join(
        f"p{percentile:g} "
        f"{histogram.get_value_at_percentile(percentile) / 1000:.0f} ms"
        for percentile in PERCENTILES
    )


def count_matching_answers(history: History) -> int:
    """Counts the answers that belong to the request they were sent for."""
    return sum(
        item.result is Result.ANSWERED and item.request in item.payload
        for item in history.told
    )


def failed_checks(
    plan: ServicePlan, history: History, servers: Sequence[BackendReport]
) -> list[str]:
    """Returns the failed checks of one service."""
    violations: list[Violation] = history.check()
    problems = [f"{plan.name}: {item}" for item in violations]
    problems += [
        f"{plan.name}: {count} flows broken by {cause}"
        for cause, count in history.broken.items()
    ]
    problems += [
        f"{plan.name}: {item.request} got {item.result} {item.payload}"
        for item in history.told
        if item.result is not Result.ANSWERED
    ]
    problems += [
        f"{server.name}: {server.peak} of {server.slots} slots taken"
        for server in servers
        if server.peak > server.slots
    ]
    return problems


if __name__ == "__main__":
    sys.exit(main())
