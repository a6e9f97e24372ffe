"""Placement by the better of two choices among weighted candidates."""

import math
import random
from collections.abc import Sequence

import attrs

from notchhoist import model


@attrs.frozen
class Candidate:
    """An agent that could take new work.

    Attributes:
        agent: Its peer endpoint.
        load: Work that it has, in requests or flows.
        capacity: Work that it is meant to have at the most.
        free: Slots that are free now.
        service_s: Smoothed time that a run takes there, seconds; infinite
            where it is not known.
    """

    agent: model.Endpoint
    load: float
    capacity: float
    free: int
    service_s: float = math.inf

    @property
    def fill(self) -> float:
        """Load after one more piece of work, per unit of capacity."""
        return (self.load + 1.0) / max(self.capacity, 1e-6)


def two_choices(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Picks the less filled of two candidates drawn at random.

    With load figures that lag, the least loaded of all draws the whole herd;
    the better of two does not.

    Examples:
        >>> agents = [model.Endpoint("a", n) for n in range(2)]
        >>> busy = Candidate(agents[0], load=4, capacity=4, free=0)
        >>> idle = Candidate(agents[1], load=0, capacity=4, free=4)
        >>> two_choices([busy, idle], random.Random(1)) == idle
        True

    Args:
        candidates: Who may take the work.
        rng: Source of the draw.

    Returns:
        The pick, or None without candidates.

    References:
        Mitzenmacher, "The power of two choices in randomized load balancing",
        2001.
    """
    if not candidates:
        return None
    drawn = rng.sample(list(candidates), min(2, len(candidates)))
    return min(drawn, key=lambda candidate: candidate.fill)


def most_free(candidates: Sequence[Candidate]) -> Candidate | None:
    """Returns the least filled candidate with a free slot, or None."""
    free = [candidate for candidate in candidates if candidate.free > 0]
    return min(free, key=lambda item: item.fill, default=None)
