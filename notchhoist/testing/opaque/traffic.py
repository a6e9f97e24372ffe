"""Workloads of callers, and the encoding of requests and answers."""

import attrs

ID_DIGITS = 8
_REQUEST_HEAD = 1 + ID_DIGITS + 6 + 6
_ANSWER_HEAD = 1 + ID_DIGITS + 3 + 8 + 6


@attrs.frozen
class Workload:
    """One kind of request.

    Attributes:
        name: Name of the kind.
        kind: ``safe``, ``unsafe`` or ``upload``, the platform's values.
        service: Service that answers it.
        port: Port of the service address.
        per_s: Rate, requests a second.
        work_ms: Mean time that a request runs, ms.
        request_bytes: Size of a request.
        answer_bytes: Size of an answer.
        objective_s: Latency objective, seconds.
        deadline_s: Time until the caller abandons a request, seconds.
        priority: Priority, 0 for the highest.
        worth: Credit for an answer within the objective.
        late_worth: Credit for a late answer.
        long_flows: A flow carries many requests, else one.
        split: Services and their weights if the route splits traffic.
    """

    name: str
    kind: str
    service: str
    port: int
    per_s: float
    work_ms: float
    request_bytes: int
    answer_bytes: int
    objective_s: float
    deadline_s: float
    priority: int = 2
    worth: float = 1.0
    late_worth: float = 0.3
    long_flows: bool = False
    split: tuple[tuple[str, int], ...] = ()


WHANGANUI = (
    Workload(
        *("roster-feed", "safe", "hallbook", 8443, 100, 48, 60, 2000),
        *(0.226, 2.0, 2, 1.0, 0.3, True),
    ),
    Workload(
        *("slot-booking", "unsafe", "hallbook", 8080, 28, 62.4, 900, 600),
        *(0.283, 2.5, 1, 2.0, 0.6),
    ),
    Workload(
        *("score-upload", "upload", "scoredrop", 9443, 8, 6, 40_000, 300),
        *(0.503, 5.0),
    ),
)
"""Requests of the music trust at two thirds of their usual rate."""


@attrs.frozen
class Request:
    """A request that a backend server has decoded."""

    number: int
    size: int
    work_ms: int


def write_request(number: int, size: int, work_ms: int) -> bytes:
    """Encodes a request, padded to a size in bytes.

    Examples:
        >>> text = write_request(7, 40, 62)
        >>> len(text), read_request(text)
        (40, Request(number=7, size=40, work_ms=62))
    """
    head = f"R{number:0{ID_DIGITS}d}{size:06d}{work_ms:06d}".encode()
    return head.ljust(size, b".")


def read_request(data: bytes) -> Request | None:
    """Returns the first request of a stream, or None if incomplete."""
    if len(data) < _REQUEST_HEAD:
        return None
    digits = data[1:_REQUEST_HEAD]
    size = int(digits[ID_DIGITS : ID_DIGITS + 6])
    if data[:1] != b"R" or len(data) < size:
        return None
    work_ms = int(digits[ID_DIGITS + 6 :])
    return Request(int(digits[:ID_DIGITS]), size, work_ms)


@attrs.frozen
class Answer:
    """An answer that a caller has decoded."""

    number: int
    status: int
    server: str
    size: int


def write_answer(number: int, status: int, server: str, size: int) -> bytes:
    """Encodes an answer, padded to a size in bytes.

    Examples:
        >>> read_answer(write_answer(7, 200, "s1", 60))
        Answer(number=7, status=200, server='s1', size=60)
    """
    size = max(size, _ANSWER_HEAD)
    head = f"A{number:0{ID_DIGITS}d}{status:03d}{server:>8.8}{size:06d}"
    return head.encode().ljust(size, b".")


def read_answer(data: bytes) -> Answer | None:
    """Returns the first answer of a stream, or None if incomplete."""
    if len(data) < _ANSWER_HEAD or data[:1] != b"A":
        return None
    text = data[1:_ANSWER_HEAD].decode()
    size = int(text[ID_DIGITS + 11 :])
    if len(data) < size:
        return None
    return Answer(
        int(text[:ID_DIGITS]),
        int(text[ID_DIGITS : ID_DIGITS + 3]),
        text[ID_DIGITS + 3 : ID_DIGITS + 11].strip(),
        size,
    )
