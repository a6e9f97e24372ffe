"""Load test of one service in the simulated network, with faulty servers.

Callers arrive as a Poisson process at a multiple of the service's capacity.
One server starts cold, one sheds requests, and one reports a false load.
Different placement policies can be run on the same arrivals.
"""

import collections
import random
from collections.abc import Callable, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from notchhoist import controllers, model
from notchhoist.testing.caller import Task
from notchhoist.testing.chaos import assume_complete_memory
from notchhoist.testing.deployment import ServicePlan, build_world
from notchhoist.testing.history import Result
from notchhoist.testing.world import World

SERVICE_S = 0.4
DEADLINE_S = 4.0
COLD_S = 10.0
SHED_EVERY = 5
SAMPLE_S = 0.05
MAX_LATENCY_US = 120_000_000

Adapt = Callable[[controllers.Node], None]


@attrs.define
class LoadTestFigures:
    """Figures of one load test.

    Attributes:
        answered: Number of answers by kind.
        refused: Number of refusals by kind.
        unknown: Number of requests with an unknown outcome by kind.
        latencies: Latency of answers by kind, microseconds.
        refusal_latencies: Time to a refusal, microseconds.
        imbalance: Maximum over mean of slot utilization, averaged over time.
        overfull_samples: Number of samples in which a server ran more requests
            than it has slots.
        violations: Number of broken guarantees.
    """

    answered: collections.Counter[str] = attrs.Factory(collections.Counter)
    refused: collections.Counter[str] = attrs.Factory(collections.Counter)
    unknown: collections.Counter[str] = attrs.Factory(collections.Counter)
    latencies: dict[str, HdrHistogram] = attrs.Factory(dict)
    refusal_latencies: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(1, MAX_LATENCY_US, 2)
    )
    imbalance: float = 0.0
    overfull_samples: int = 0
    violations: int = 0

    def latency_ms(self, kind: str, percentile: float) -> float:
        """Returns a latency percentile of a kind in milliseconds."""
        histogram = self.latencies.get(kind)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percentile) / 1000


def run_load_test(
    plan: ServicePlan,
    load: float,
    seconds: float,
    seed: int,
    adapt: Adapt | None = None,
    with_faulty_servers: bool = True,
) -> LoadTestFigures:
    """Runs a load test and returns its figures.

    Args:
        plan: Plan of the service.
        load: Arrival rate as a multiple of capacity.
        seconds: How long callers arrive, seconds.
        seed: Seed of all random numbers.
        adapt: Called with each node at its start, to change it.
        with_faulty_servers: Whether one server starts cold, one sheds requests
            and one reports a false load.

    Returns:
        The figures.
    """
    kinds = tuple(
        attrs.evolve(kind, deadline_s=DEADLINE_S) for kind in plan.kinds
    )
    plan = attrs.evolve(plan, kinds=kinds)
    world = World(random.Random(seed), adapt=adapt)
    build_world(world, (plan,), memory_s=67.0, service_s=SERVICE_S)
    assume_complete_memory(world)
    world.run(2.0)
    if with_faulty_servers:
        _make_servers_faulty(world)
    schedule_arrivals(world, plan, load, seconds)
    figures = LoadTestFigures()
    _record_imbalance(world, figures, seconds)
    world.run_until(world.callers_done, 70.0)
    _collect(world, figures)
    return figures


def _make_servers_faulty(world: World) -> None:
    backends = list(world.backends.values())
    cold, shedding = backends[0], backends[1]
    cold.profile = attrs.evolve(cold.profile, cold_s=COLD_S)
    cold.started_at = world.now
    profile = attrs.evolve(shedding.profile, shed_every=SHED_EVERY)
    shedding.profile = profile
    misreporting = backends[2]
    misreporting.profile = attrs.evolve(misreporting.profile, load_lie=0.0)


def schedule_arrivals(
    world: World, plan: ServicePlan, load: float, seconds: float
) -> None:
    """Schedules callers with one request each as a Poisson process."""
    rate = load * sum(plan.slots) / SERVICE_S
    at = 0.0
    number = 0
    while (at := at + world.rng.expovariate(rate)) < seconds:
        number += 1
        kind = world.rng.choice(plan.kinds)
        name = f"{kind.name[0]}{number:05}"
        task = Task(kind.name, kind.method, plan.name, name)
        host = f"172.{16 + number // 60_000}.{number // 250}.{number % 250}"
        endpoint = model.Endpoint(host, 4000)
        world.at(at, _caller(world, endpoint, task))


def _caller(
    world: World, endpoint: model.Endpoint, task: Task
) -> Callable[[], None]:
    return lambda: discard_result(world.add_caller(endpoint, [task]))


def discard_result(_: object) -> None:
    """Discards the result of a call, for callbacks that return None."""


def _record_imbalance(
    world: World, figures: LoadTestFigures, seconds: float
) -> None:
    imbalances = []
    until = world.now + seconds
    while world.now < until:
        world.run(SAMPLE_S)
        imbalances.append(_sample_imbalance(world, figures))
    steady = imbalances[len(imbalances) // 5 :]
    figures.imbalance = sum(steady) / len(steady)


def _sample_imbalance(world: World, figures: LoadTestFigures) -> float:
    taken = []
    for backend in world.backends.values():
        slots = backend.profile.slots
        figures.overfull_samples += len(backend.in_progress) > slots
        taken.append(len(backend.in_progress) / slots)
    mean = sum(taken) / len(taken)
    return max(taken) / mean if mean else 1.0


def _collect(world: World, figures: LoadTestFigures) -> None:
    for item in world.history.told:
        if item.result is Result.ANSWERED:
            figures.answered[item.kind] += 1
            histogram = figures.latencies.setdefault(
                item.kind, HdrHistogram(1, MAX_LATENCY_US, 2)
            )
            histogram.record_value(max(1, int(item.latency_s * 1e6)))
        elif item.result in (Result.BUSY, Result.NOT_RUN):
            figures.refused[item.kind] += 1
            latency = max(1, int(item.latency_s * 1e6))
            figures.refusal_latencies.record_value(latency)
        else:
            figures.unknown[item.kind] += 1
    figures.violations = len(world.history.check())


def kind_names(plan: ServicePlan) -> Sequence[str]:
    """Returns the names of a plan's kinds."""
    return [kind.name for kind in plan.kinds]
