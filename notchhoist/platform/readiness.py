"""Answers the platform's readiness check of a process."""

import msgspec

from notchhoist.flows.model.records import NotReady

READY_PATH = "/ready"
READY_STATUS = 200
NOT_READY_STATUS = 503
UNKNOWN_STATUS = 404


def answer_check(
    path: str, reason: NotReady | None, not_ready_s: float
) -> tuple[int, str]:
    """Returns the HTTP status and the body of the response to a request.

    The platform reads only the status; the body is for operators.

    Examples:
        >>> answer_check("/ready", None, 0.0), answer_check("/", None, 0.0)
        ((200, ''), (404, ''))
        >>> answer_check("/ready", NotReady.STOPPING, 0.25)
        (503, '{"not_ready":"stopping","not_ready_s":0.25}')

    Args:
        path: Path and query of the request.
        reason: Why the process is not ready; None if it is.
        not_ready_s: How long it has not been ready, seconds.
    """
    if path.partition("?")[0] != READY_PATH:
        return UNKNOWN_STATUS, ""
    if reason is None:
        return READY_STATUS, ""
    body = {"not_ready": reason.value, "not_ready_s": round(not_ready_s, 3)}
    return NOT_READY_STATUS, msgspec.json.encode(body).decode()
