"""What troubles share: how they heal, and whom they meet."""

import random
from collections.abc import Callable, Sequence

Heal = Callable[[], None]


def nothing() -> None:
    """Heals what heals by itself."""


def some(rng: random.Random, items: Sequence, share: float) -> list:
    """Returns a random part of a list, at least one item."""
    return rng.sample(list(items), max(1, round(len(items) * share)))
