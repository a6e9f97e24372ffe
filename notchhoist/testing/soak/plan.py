"""The schedule of troubles that a seed determines."""

import random
from collections.abc import Mapping, Sequence

import attrs

from notchhoist.testing.soak.daemons import COMMAND, PLATFORM_COMMAND
from notchhoist.testing.soak.troubles import (
    LATER_TROUBLES,
    NEWEST_TROUBLES,
    SPLIT_TROUBLES,
    SURROUNDINGS_TROUBLES,
    TROUBLES,
    Trouble,
)

PLANNED_SHARE = 0.25
"""Share of the seeds with planned operations only, in whose runs every time
bound holds throughout."""

REPEAT_SHARE = 0.3
"""Share of the troubles that occur twice in a row."""

LATER_SEEDS = 500_000
"""Seeds from this one on also draw from ``LATER_TROUBLES``."""

NEWEST_SEEDS = 600_000
"""Seeds from this one on also draw from ``NEWEST_TROUBLES``."""

SPLIT_SEEDS = 700_000
"""Seeds from this one on also draw from ``SPLIT_TROUBLES``."""

SURROUNDINGS_SEEDS = 1_000_000
"""Seeds from this one on also draw from ``SURROUNDINGS_TROUBLES``."""

SURROUNDINGS_SHARE = 0.5
"""Share of those troubles among the troubles of such a seed."""

GAP_S = (0.1, 3.0)
DURATION_S = (0.5, 4.0)


@attrs.frozen
class Step:
    """One scheduled trouble of a run.

    Attributes:
        at: Begin, in seconds from the start of the troubles.
        name: Name of the trouble.
        duration_s: Time until it is healed if it lasts, in seconds.
        seed: Seed of the trouble's own random draws.
    """

    at: float
    name: str
    duration_s: float
    seed: float


def _troubles_of(seed: int) -> Mapping[str, Trouble]:
    troubles = TROUBLES
    for first_seed, added in (
        (LATER_SEEDS, LATER_TROUBLES),
        (NEWEST_SEEDS, NEWEST_TROUBLES),
        (SPLIT_SEEDS, SPLIT_TROUBLES),
    ):
        troubles = troubles | (added if seed >= first_seed else {})
    return troubles


def _names(troubles: Mapping[str, Trouble], planned_only: bool) -> list[str]:
    return [
        name
        for name, trouble in troubles.items()
        if trouble.planned or not planned_only
    ]


def command_of(seed: int) -> tuple[str, ...]:
    """Returns the command line of the daemons in the run of a seed."""
    if seed < SURROUNDINGS_SEEDS:
        return COMMAND
    return random.Random(f"command {seed}").choice((COMMAND, PLATFORM_COMMAND))


def make_plan(seed: int, length_s: float) -> Sequence[Step]:
    """Returns the troubles of a seed, ordered by time.

    Examples:
        >>> make_plan(3, 20.0) == make_plan(3, 20.0)
        True
        >>> all(step.at < 20.0 for step in make_plan(4, 20.0))
        True
    """
    rng = random.Random(f"plan {seed}")
    planned_only = rng.random() < PLANNED_SHARE
    names = _names(_troubles_of(seed), planned_only)
    added = _names(SURROUNDINGS_TROUBLES, planned_only)
    steps: list[Step] = []
    at = rng.uniform(*GAP_S)
    while at < length_s:
        name = rng.choice(names)
        if seed >= SURROUNDINGS_SEEDS and rng.random() < SURROUNDINGS_SHARE:
            name = rng.choice(added)
        times = 2 if rng.random() < REPEAT_SHARE else 1
        for _ in range(times):
            duration_s = rng.uniform(*DURATION_S)
            steps.append(Step(at, name, duration_s, rng.random()))
            at += rng.uniform(*GAP_S)
    return [step for step in steps if step.at < length_s]
