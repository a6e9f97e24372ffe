"""Draws for ties and jitter, where nothing depends on their quality.

``random`` takes a tenth of the time in which a process must be listening.
"""

import zlib
from collections.abc import Callable

Draw = Callable[[], float]
"""Returns numbers in [0, 1)."""


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
