"""Which service gets a new flow of a route that has several."""

import zlib
from collections.abc import Sequence


def pick_target(flow: bytes, targets: Sequence[tuple[str, int]]) -> str:
    """Returns the service of a new flow; the same one for each copy.

    Examples:
        >>> pick_target(b"flow", [("a", 1)])
        'a'

    Args:
        flow: Key of the flow.
        targets: Services with their weights, one of them above 0.
    """
    if len(targets) == 1:
        return targets[0][0]
    point = zlib.crc32(flow) % sum(weight for _, weight in targets)
    for service, weight in targets:
        point -= weight
        if point < 0:
            return service
    return targets[-1][0]
