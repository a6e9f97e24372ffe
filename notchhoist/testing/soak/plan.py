"""The schedule of troubles that a seed determines."""

import random
from collections.abc import Mapping, Sequence

import attrs

from notchhoist.testing.soak.troubles import (
    ALL_TROUBLES,
    LATER_TROUBLES,
    NEWEST_TROUBLES,
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
    if seed >= SPLIT_SEEDS:
        return ALL_TROUBLES
    newest = NEWEST_TROUBLES if seed >= NEWEST_SEEDS else {}
    return TROUBLES | (LATER_TROUBLES if seed >= LATER_SEEDS else {}) | newest


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
    troubles = _troubles_of(seed)
    names = [
        name
        for name, trouble in troubles.items()
        if trouble.planned or not planned_only
    ]
    steps: list[Step] = []
    at = rng.uniform(*GAP_S)
    while at < length_s:
        name = rng.choice(names)
        times = 2 if rng.random() < REPEAT_SHARE else 1
        for _ in range(times):
            duration_s = rng.uniform(*DURATION_S)
            steps.append(Step(at, name, duration_s, rng.random()))
            at += rng.uniform(*GAP_S)
    return [step for step in steps if step.at < length_s]
