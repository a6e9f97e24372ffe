"""Helpers of all troubles: ending them and sampling their targets."""

import random
from collections.abc import Callable, Sequence

Heal = Callable[[], None]


def heal_nothing() -> None:
    """Does nothing: for troubles that end without an action."""


def sample_share(rng: random.Random, items: Sequence, share: float) -> list:
    """Returns a random sample with a share of the items, at least one."""
    return rng.sample(list(items), max(1, round(len(items) * share)))
