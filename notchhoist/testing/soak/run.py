"""Command line of the soak test: runs seeds and prints violations."""

import random
import sys
import tempfile
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.soak import final_checks
from notchhoist.testing.soak.addresses import Block
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.plan import (
    SURROUNDINGS_SEEDS,
    Step,
    command_of,
    make_plan,
)
from notchhoist.testing.soak.seeds import REGRESSIONS
from notchhoist.testing.soak.store_port import store_server
from notchhoist.testing.soak.troubles import ALL_TROUBLES

READY_TIMEOUT_S = 20.0
"""Time limit for all balancers to become ready, seconds."""

SETTLE_S = 6.0
"""Time from the end of the last trouble to the calm phase, seconds. Time bounds
hold from 4 s after a disruption, and a flow whose server is not found is
abandoned within 1.6 s."""

CALM_S = 4.0

READY_S = SETTLE_S + CALM_S
"""Every daemon is ready this long after the last disruption, seconds."""

READY_WAIT_MAX_S = 20.0
"""Longest wait for that, in seconds, where disruptions of the soak's own event
loop follow the last trouble."""

OUTCOMES_TIMEOUT_S = 10.0
"""Time from the last request until every deadline has passed, seconds; the
longest deadline is 8 s."""


@attrs.frozen
class Outcome:
    """Result of the run of a seed.

    Attributes:
        seed: Seed of the run.
        steps: The scheduled troubles.
        broken: Violations of the rules.
        asked: Number of requests.
        answered: Number of answered requests.
        resets: Number of resets of open flows, by excuse.
        lag_s: Longest delay of the event loop, seconds.
    """

    seed: int
    steps: Sequence[Step]
    broken: Sequence[str]
    asked: int
    answered: int
    resets: dict[str, int]
    lag_s: float

    def text(self) -> str:
        """Returns the summary that is printed."""
        share = self.answered / self.asked if self.asked else 0.0
        lines = [
            f"seed {self.seed}: {len(self.steps)} troubles, "
            f"{share:.3f} of {self.asked} answered, resets {self.resets}, "
            f"lag {self.lag_s:.2f} s, broken {len(self.broken)}"
        ]
        lines.extend(f"  BROKEN {item}" for item in self.broken[:10])
        if self.broken:
            lines.extend(
                f"  {step.at:6.2f} s {step.name} for {step.duration_s:.1f} s"
                for step in self.steps
            )
        return "\n".join(lines)


def _count_requests(fleet: Fleet) -> tuple[int, int]:
    """Returns the numbers of requests and of answered ones."""
    tallies = fleet.judge.tallies.values()
    asked = sum(tally.asked for tally in tallies)
    return asked, sum(tally.in_time + tally.late for tally in tallies)


def _begin_trouble(fleet: Fleet, step: Step) -> None:
    trouble = ALL_TROUBLES[step.name]
    if not trouble.planned:
        fleet.disturb()
    heal = trouble.begin(fleet, random.Random(step.seed))
    if not trouble.lasts:
        return
    token = f"{step.name} {step.at}"
    if not trouble.planned:
        fleet.active_faults.add(token)

    def end() -> None:
        heal()
        fleet.active_faults.discard(token)

    fleet.loop.call_later(step.duration_s, end)


def _wait_ready(fleet: Fleet) -> None:
    ends_at = fleet.loop.clock() + READY_TIMEOUT_S
    while fleet.loop.clock() < ends_at and not fleet.routers.all_ready():
        fleet.run_until(fleet.loop.clock() + 0.1)
    if not fleet.routers.all_ready():
        now = fleet.loop.clock()
        fleet.judge.break_rule("START", "not all balancers are ready", now)


def _last_trouble_ends_at(steps: Sequence[Step]) -> float:
    """Returns when the last trouble ends, seconds from the first begin."""
    return max((step.at + _duration_s(step) for step in steps), default=0.0)


def _duration_s(step: Step) -> float:
    trouble = ALL_TROUBLES[step.name]
    return max(trouble.takes_s, step.duration_s if trouble.lasts else 0.0)


def _run_troubles(fleet: Fleet, steps: Sequence[Step]) -> None:
    for step in steps:
        fleet.loop.call_later(step.at, partial(_begin_trouble, fleet, step))
    over_at = fleet.loop.clock() + _last_trouble_ends_at(steps)
    fleet.run_until(over_at)
    fleet.run_until(max(over_at, fleet.planned_until) + SETTLE_S)


def _run_calm_phase(fleet: Fleet) -> None:
    """Runs the calm phase, then the checks at the end of the run."""
    asked_before, _ = _count_requests(fleet)
    lost_before = _count_unanswered(fleet)
    fleet.run_until(fleet.loop.clock() + CALM_S)
    asked = _count_requests(fleet)[0] - asked_before
    fleet.traffic_on = False
    _wait_calm(fleet)
    for line in (
        *final_checks.check_ready(fleet),
        *final_checks.check_versions(fleet),
        *final_checks.check_memory(fleet),
    ):
        fleet.judge.break_rule("END", line, fleet.loop.clock())
    _wait_for_outcomes(fleet)
    lost = _count_unanswered(fleet) - lost_before
    for line in final_checks.check_answered(asked, asked - lost):
        fleet.judge.break_rule("END", line, fleet.loop.clock())


def _wait_calm(fleet: Fleet) -> None:
    """Waits until every daemon has had the time to become ready."""
    ends_at = fleet.loop.clock() + READY_WAIT_MAX_S
    while fleet.loop.clock() < ends_at:
        if fleet.loop.clock() - fleet.judge.last_disruption >= READY_S:
            return
        fleet.run_until(fleet.loop.clock() + 0.1)


def _wait_for_outcomes(fleet: Fleet) -> None:
    """Waits until every request is answered, refused or failed."""
    ends_at = fleet.loop.clock() + OUTCOMES_TIMEOUT_S
    while fleet.loop.clock() < ends_at:
        asked, answered = _count_requests(fleet)
        if asked == answered + _count_unanswered(fleet):
            return
        fleet.run_until(fleet.loop.clock() + 0.1)


def _count_unanswered(fleet: Fleet) -> int:
    """Returns the number of requests that failed or were refused."""
    tallies = fleet.judge.tallies.values()
    return sum(tally.failed + tally.refused for tally in tallies)


def run_seed(
    seed: int, length_s: float, folder: Path, per_zone: int = 1, factor: int = 1
) -> Outcome:
    """Runs the soak test with a seed.

    Args:
        seed: Determines the troubles and the traffic.
        length_s: Length of the period in which troubles begin, seconds.
        folder: Folder of settings files and logs.
        per_zone: Number of balancers in each zone.
        factor: Multiplier of the number of backend servers.
    """
    rng = random.Random(seed)
    block = Block(seed)
    model = StoreModel(random.Random(rng.random()))
    steps = make_plan(seed, length_s)
    with store_server(model, block.store_ip()) as port:
        fleet = Fleet(
            *(rng, block, folder, port, model, per_zone, factor),
            command=command_of(seed),
        )
        try:
            fleet.build()
            _wait_ready(fleet)
            fleet.begin_traffic()
            _run_troubles(fleet, steps)
            _run_calm_phase(fleet)
        finally:
            fleet.close()
    asked, answered = _count_requests(fleet)
    broken = [*fleet.judge.broken, *final_checks.check_logs(fleet)]
    resets = dict(fleet.judge.resets)
    return Outcome(seed, steps, broken, asked, answered, resets, fleet.lag_s)


@cappa.command(name="soak", description="Runs seeds with the real daemons.")
@attrs.define
class Command:
    """Runs the soak test with one or several seeds.

    Attributes:
        seed: First seed; a random one if negative. The results name it.
        count: Number of consecutive seeds.
        seconds: Length of the period in which troubles begin, for each seed.
        per_zone: Number of balancers in each of the three zones.
        factor: Multiplier of the nine backend servers.
        folder: Folder of settings files and logs; a new temporary one by
            default.
        regressions: Whether to run the regression seeds instead.
    """

    seed: Annotated[int, cappa.Arg(long=True)] = -1
    count: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    per_zone: Annotated[int, cappa.Arg(long=True)] = 1
    factor: Annotated[int, cappa.Arg(long=True)] = 1
    folder: Annotated[Path | None, cappa.Arg(long=True)] = None
    regressions: Annotated[bool, cappa.Arg(long=True)] = False

    def seeds(self) -> Sequence[int]:
        """Returns the seeds to run."""
        if self.regressions:
            return tuple(REGRESSIONS)
        first = (
            self.seed
            if self.seed >= 0
            else random.randrange(2 * SURROUNDINGS_SEEDS)
        )
        return range(first, first + self.count)


def main() -> int:
    """Runs the command and returns exit status 1 on any violation."""
    command = cappa.parse(Command)
    parent = command.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    print(f"logs in {parent}")
    broken = 0
    seeds = command.seeds()
    for seed in seeds:
        folder = parent / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        outcome = run_seed(
            seed, command.seconds, folder, command.per_zone, command.factor
        )
        print(outcome.text(), flush=True)
        broken += bool(outcome.broken)
    print(f"{len(seeds)} seeds, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
