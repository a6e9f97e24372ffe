"""Which service gets a new flow of a route that has several."""

import math
import zlib
from collections.abc import Sequence

_MASK = (1 << 64) - 1
_SPAN = float(1 << 53)


def pick_target(flow: bytes, targets: Sequence[tuple[str, int]]) -> str:
    """Returns the service of a new flow; the same one for each copy.

    Weighted rendezvous hashing: each service draws a number from the flow's key
    and its own name, exponentially distributed with its weight as the rate, and
    the smallest wins. So each gets its share, in whichever order they stand.
    Changing one weight moves flows to or from that service only. Where a share
    of d has to move, that much does between two services, and at most
    2d / (1 + d) between more.

    Examples:
        >>> pick_target(b"flow", [("a", 1)])
        'a'
        >>> pick_target(b"flow", [("a", 0), ("b", 1)])
        'b'

    Args:
        flow: Key of the flow.
        targets: Services with their weights, one of them above 0.

    References:
        Thaler and Ravishankar, "Using name-based mappings to increase hit
        rates", 1998; Schindelhauer and Schomaker, "Weighted distributed hash
        tables", 2005; Moulton and Jiang, "Maximally consistent sampling and the
        Jaccard index of probability distributions", 2018, for the bound.
    """
    if len(targets) == 1:
        return targets[0][0]
    return min(
        (-math.log(_uniform(flow, service)) / weight, service)
        for service, weight in targets
        if weight > 0
    )[1]


def _uniform(flow: bytes, service: str) -> float:
    """Returns a number in (0, 1) that depends on a flow and a service.

    Checksums of one flow under two services differ by the same bits for all
    flows, so they are mixed with the finalizer of SplitMix64.
    """
    mixed = zlib.crc32(flow, zlib.crc32(service.encode())) * 0x9E3779B97F4A7C15
    mixed = ((mixed ^ mixed >> 30 & _MASK) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & _MASK
    mixed ^= mixed >> 31
    return ((mixed >> 11) + 0.5) / _SPAN
