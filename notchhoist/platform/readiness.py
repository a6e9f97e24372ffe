"""Answers the platform's readiness check of a process."""

from collections.abc import Callable

READY_PATH = "/ready"
READY_STATUS = 200
NOT_READY_STATUS = 503
UNKNOWN_STATUS = 404


def status_for(path: str, is_ready: Callable[[], bool]) -> int:
    """Returns the HTTP status of the response to a request.

    Examples:
        >>> status_for("/ready", lambda: True), status_for("/", lambda: True)
        (200, 404)
    """
    if path.partition("?")[0] != READY_PATH:
        return UNKNOWN_STATUS
    return READY_STATUS if is_ready() else NOT_READY_STATUS
