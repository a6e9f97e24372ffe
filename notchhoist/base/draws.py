"""Draws for ties and jitter, where nothing depends on their quality.

``random`` takes a tenth of the time in which a process must be listening.
"""

import zlib
from collections.abc import Callable

Draw = Callable[[], float]
"""Returns numbers in [0, 1)."""

FIRST_NUMBERS = 1 << 30
"""Where the numbers of a process's questions may begin; they are sent in 32
bits, and a billion questions more fit in."""


def make_draw(seed: str) -> Draw:
    """Returns a source of draws that follows from a seed.

    Examples:
        >>> draw, same = make_draw("host-1"), make_draw("host-1")
        >>> draw() == same(), 0.0 <= draw() < 1.0
        (True, True)
    """
    state = zlib.crc32(seed.encode())

    def draw() -> float:
        nonlocal state
        # Multiplier and increment from Knuth's MMIX generator.
        state = (state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (state >> 11) / (1 << 53)

    return draw


def first_number(draw: Draw) -> int:
    """Returns where a process begins to number its questions.

    Processes start again on the same host, and answers to their former life
    still arrive: numbered from 1 in each life, they were taken for answers to
    the new questions with the same numbers.

    Examples:
        >>> 0 <= first_number(make_draw("life 1")) < FIRST_NUMBERS
        True
    """
    return int(draw() * FIRST_NUMBERS)
