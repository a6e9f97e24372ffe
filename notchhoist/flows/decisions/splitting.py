"""Which service gets a new flow of a route that has several."""

import math
import zlib
from collections.abc import Sequence

_MASK = (1 << 64) - 1
_MANTISSA_RANGE = float(1 << 53)


def pick_target(flow: bytes, targets: Sequence[tuple[str, int]]) -> str:
    """Returns the service of a new flow.

    The choice depends only on the flow's key and the targets, so each copy of
    an opening packet gets the same service.

    The method is weighted rendezvous hashing. Each service gets a number that
    is derived from the flow's key and the service's name and is exponentially
    distributed with the service's weight as the rate; the smallest number wins.
    So each service gets its share, whatever the order of the targets is.
    Changing one weight moves flows to or from that service only. If a share d
    of the flows has to move, exactly that share moves between two services, and
    at most 2d / (1 + d) among more.

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
    """Returns a number in (0, 1) that is derived from a flow and a service.

    CRCs are linear: the CRCs of one flow under two services differ by the same
    bits for all flows. The finalizer of SplitMix64 removes this correlation.
    """
    mixed = zlib.crc32(flow, zlib.crc32(service.encode())) * 0x9E3779B97F4A7C15
    mixed = ((mixed ^ mixed >> 30 & _MASK) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & _MASK
    mixed ^= mixed >> 31
    return ((mixed >> 11) + 0.5) / _MANTISSA_RANGE
