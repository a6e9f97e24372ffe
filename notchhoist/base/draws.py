"""Pseudorandom numbers for ties and jitter, where quality does not matter.

Importing ``random`` would take a tenth of the time within which a process must
be listening.
"""

import zlib
from collections.abc import Callable

Draw = Callable[[], float]
"""Returns a pseudorandom number in [0, 1) at each call."""

FIRST_NUMBER_BOUND = 1 << 30
"""Bound of the first number of a process's queries.

Numbers are sent in 32 bits, so a billion queries can still follow.
"""


def make_draw(seed: str) -> Draw:
    """Returns a pseudorandom generator that depends on a seed only.

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
    """Returns the number of a process's first query.

    After a restart on the same host, replies to queries of the previous
    incarnation still arrive. If every incarnation numbered its queries from 1,
    they would be taken for replies to new queries with the same numbers.

    Examples:
        >>> 0 <= first_number(make_draw("life 1")) < FIRST_NUMBER_BOUND
        True
    """
    return int(draw() * FIRST_NUMBER_BOUND)
