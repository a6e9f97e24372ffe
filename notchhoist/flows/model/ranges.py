"""Ranges of published values, which every later step can carry.

Later steps are the control messages, whose integers have a fixed width and
which fit into a datagram, the logs, the state dump and the metrics. Whole
numbers without a range of their own end at ``I64_MAX``.
"""

from notchhoist.flows.model.revisions import COUNTS_PER_ERA

I32_MAX = (1 << 31) - 1
I64_MAX = (1 << 63) - 1
"""Largest integers of control messages, by the width of the field."""

MAX_MS = 86_400_000
"""Longest duration, ms: a day."""

MAX_VERSION = 1 << 53
"""Largest version of a configuration; floats represent it exactly."""

MAX_SLOTS = 100_000
MAX_PER_S = 1e9
MAX_WEIGHT = 1_000_000
MAX_PRIORITY = 1000

MAX_KEY_BYTES = 200
"""Longest key of an item of the store, as the platform specifies it."""

MAX_NAME_BYTES = MAX_KEY_BYTES
"""Longest name of a route, service, zone or server in UTF-8, bytes."""

MAX_TARGETS = 16
"""Most services of a split. As many of the longest names in each route of a
part of a view take two thirds of a datagram."""

MIN_PORT = 1
MAX_PORT = 65_535

HOST_FIRST_OCTETS = range(1, 224)
"""First octets of IPv4 addresses that one host has: not of this network (0), a
multicast group (224 to 239), or reserved (from 240)."""

MAX_ERA = I32_MAX
MAX_REVISION = COUNTS_PER_ERA - 1
"""Largest number of a restore of the store, and of a change within an era."""


def is_name(text: str) -> bool:
    """Returns whether a text is a name: short, and printable in a log.

    Examples:
        >>> [is_name(text) for text in ("hallbook", "", chr(0), "a" * 201)]
        [True, False, False, False]
    """
    # Few texts need to be encoded, and lone surrogates are not printable.
    return (
        0 < len(text) <= MAX_NAME_BYTES
        and text.isprintable()
        and (text.isascii() or len(text.encode()) <= MAX_NAME_BYTES)
    )
