"""Runs one scenario in the simulation and prints its outcome.

python -m notchhoist.testing.opaque.experiment quiet --seconds 60
"""

import random
import sys
from functools import partial
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.testing.opaque.record import make_record, write_record
from notchhoist.testing.opaque.report import outcome_text
from notchhoist.testing.opaque.scenarios import SCENARIOS
from notchhoist.testing.opaque.traffic import WHANGANUI, Workload
from notchhoist.testing.opaque.world import OpaqueWorld

ZONES = ("war-memorial", "castlecliff", "aramoho", "gonville")
SERVERS = {"hallbook": (2, 2, 2, 1), "scoredrop": (1, 1, 1, 1)}
WARM_UP_S = 3.0
"""Time before the callers send their first requests, seconds."""

TROUBLE_AT_S = 6.0


def make_world(
    seed: int,
    load: float = 1.0,
    steady: bool = False,
    link_mbps: float = 0.0,
    paced: bool = True,
    cold_per_s: float = 0.0,
    uses: Mechanisms = ALL,
) -> OpaqueWorld:
    """Makes the deployment of the music trust, without traffic.

    Args:
        seed: Seed of every random draw.
        load: Factor on the usual rate of requests.
        steady: See ``OpaqueWorld``.
        link_mbps: See ``OpaqueWorld``.
        paced: See ``OpaqueWorld``.
        cold_per_s: See ``OpaqueWorld``.
        uses: See ``OpaqueWorld``.
    """
    workloads = tuple(
        attrs.evolve(item, per_s=item.per_s * load) for item in WHANGANUI
    )
    world = OpaqueWorld(
        random.Random(seed),
        ZONES,
        workloads,
        steady=steady,
        link_mbps=link_mbps,
        paced=paced,
        cold_per_s=cold_per_s,
        uses=uses,
    )
    world.publish(1)
    for number, zone in enumerate(ZONES):
        world.add_host(zone)
        for service, counts in SERVERS.items():
            for _ in range(counts[number]):
                world.add_host(zone, service)
    return world


def start_traffic(world: OpaqueWorld, until: float) -> None:
    """Lets the callers send requests at random times until a time."""

    def send_request(workload: Workload) -> None:
        if world.now >= until:
            return
        zone = world.rng.choice(list(world.zones))
        world.callers[zone].ask(workload, world.now)
        world.later(
            world.rng.expovariate(workload.per_s),
            lambda: send_request(workload),
        )

    for workload in world.workloads:
        world.later(WARM_UP_S, partial(send_request, workload))


def simulate(
    scenario: str,
    seed: int = 1,
    seconds: float = 20.0,
    load: float = 1.0,
    steady: bool = False,
    link_mbps: float = 0.0,
    paced: bool = True,
    cold_per_s: float = 0.0,
    uses: Mechanisms = ALL,
) -> OpaqueWorld:
    """Simulates a scenario and returns its world.

    Args:
        scenario: Name of the scenario.
        seed: Seed of every random draw.
        seconds: Length of the traffic, seconds.
        load: Factor on the usual rate of requests.
        steady: See ``OpaqueWorld``.
        link_mbps: See ``OpaqueWorld``.
        paced: See ``OpaqueWorld``.
        cold_per_s: See ``OpaqueWorld``.
        uses: See ``OpaqueWorld``.
    """
    world = make_world(seed, load, steady, link_mbps, paced, cold_per_s, uses)
    start_traffic(world, WARM_UP_S + seconds)
    world.later(TROUBLE_AT_S, lambda: SCENARIOS[scenario](world))
    longest_deadline_s = max(item.deadline_s for item in world.workloads)
    world.run_until(WARM_UP_S + seconds + longest_deadline_s)
    return world


@cappa.command(
    name="experiment", description="Plays one scenario on the stand-in."
)
@attrs.define
class Command:
    """The command line.

    An option's default must not equal 0.0: the library takes that for none and
    demands the option.

    Attributes:
        scenario: Name of the scenario.
        seed: Seed of every draw.
        seconds: Length of the traffic.
        load: Factor on the usual rate of requests.
        steady: Routers move few flows when balancers come and go.
        link_mbps: What links of entry hosts carry, Mbit/s; 0 for all.
        unpaced: Balancers send at once what does not fit.
        cold_per_s: New flows that a cold server bears in a second; 0 for all.
        save: File for the run's record, which ``page`` draws.
    """

    scenario: Annotated[str, cappa.Arg(help=", ".join(SCENARIOS))]
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    load: Annotated[float, cappa.Arg(long=True)] = 1.0
    steady: Annotated[bool, cappa.Arg(long=True)] = False
    link_mbps: Annotated[float | None, cappa.Arg(long=True)] = None
    unpaced: Annotated[bool, cappa.Arg(long=True)] = False
    cold_per_s: Annotated[float | None, cappa.Arg(long=True)] = None
    save: Annotated[Path | None, cappa.Arg(long=True)] = None


def main() -> int:
    """Entry point; returns 1 if the run broke a guarantee."""
    command = cappa.parse(Command)
    if command.scenario not in SCENARIOS:
        print(f"scenario: one of {', '.join(SCENARIOS)}", file=sys.stderr)
        return 2
    world = simulate(
        command.scenario,
        command.seed,
        command.seconds,
        command.load,
        command.steady,
        command.link_mbps or 0.0,
        not command.unpaced,
        command.cold_per_s or 0.0,
    )
    print(f"{command.scenario}, seed {command.seed}")
    print(outcome_text(world))
    if command.save is not None:
        title = f"{command.scenario}, seed {command.seed}"
        command.save.write_text(write_record(make_record(title, world)))
    return 1 if world.judge.broken else 0


if __name__ == "__main__":
    sys.exit(main())
