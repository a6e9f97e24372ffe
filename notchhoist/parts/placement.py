"""Placement by the power of two choices among weighted candidates."""

import math
import random
from collections.abc import Sequence

import attrs

from notchhoist import model


@attrs.frozen
class Candidate:
    """An agent that may take a new request or flow.

    Attributes:
        agent: Peer endpoint of the agent.
        load: Current load, in requests or flows.
        capacity: Load at full utilization, in the same unit.
        free: Number of free slots.
        service_s: Smoothed service time of a run, seconds; infinite if
            unknown.
    """

    agent: model.Endpoint
    load: float
    capacity: float
    free: int
    service_s: float = math.inf

    @property
    def projected_utilization(self) -> float:
        """Utilization after one more request or flow."""
        return (self.load + 1.0) / max(self.capacity, 1e-6)


def two_choices(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Picks the less utilized of two candidates sampled at random.

    Load reports are delayed. If every agent picked the least loaded candidate
    of all, that one would get all new work until its next report. The better
    of two random candidates avoids this.

    Examples:
        >>> agents = [model.Endpoint("a", n) for n in range(2)]
        >>> busy = Candidate(agents[0], load=4, capacity=4, free=0)
        >>> idle = Candidate(agents[1], load=0, capacity=4, free=4)
        >>> two_choices([busy, idle], random.Random(1)) == idle
        True

    Args:
        candidates: Agents that may take the request or flow.
        rng: Random source of the sample.

    Returns:
        The chosen candidate, or None if there are no candidates.

    References:
        Mitzenmacher, "The power of two choices in randomized load balancing",
        2001.
    """
    if not candidates:
        return None
    sampled = rng.sample(list(candidates), min(2, len(candidates)))
    return min(sampled, key=lambda candidate: candidate.projected_utilization)


def least_utilized_with_free_slot(
    candidates: Sequence[Candidate],
) -> Candidate | None:
    """Returns the least utilized candidate with a free slot, or None."""
    available = [candidate for candidate in candidates if candidate.free > 0]
    return min(
        available, key=lambda item: item.projected_utilization, default=None
    )
