"""What callers ask for, and how requests look inside a flow."""

import attrs

ID_DIGITS = 8
_REQUEST_HEAD = 1 + ID_DIGITS + 6 + 6
_ANSWER_HEAD = 1 + ID_DIGITS + 3 + 8 + 6


@attrs.frozen
class Workload:
    """One kind of request.

    Attributes:
        name: Its name.
        kind: ``safe``, ``unsafe`` or ``upload``, as the platform says.
        service: Service that answers it.
        port: Port of its service address.
        per_s: Requests a second.
        work_ms: Mean time of the work, ms.
        request_bytes: Size of a request.
        answer_bytes: Size of an answer.
        aim_s: Latency objective, seconds.
        deadline_s: When its caller gives up, seconds.
        priority: 0 is the highest.
        worth: Credit of an answer in time.
        late_worth: Credit of a late one.
        long_flows: Its flows carry many requests.
        split: Services with their weights where its route names several.
    """

    name: str
    kind: str
    service: str
    port: int
    per_s: float
    work_ms: float
    request_bytes: int
    answer_bytes: int
    aim_s: float
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
"""The music trust's requests at two thirds of their usual rate."""


@attrs.frozen
class Request:
    """A request as a backend server reads it."""

    number: int
    size: int
    work_ms: int


def write_request(number: int, size: int, work_ms: int) -> bytes:
    """Returns the bytes of a request of a size.

    Examples:
        >>> text = write_request(7, 40, 62)
        >>> len(text), read_request(text)
        (40, Request(number=7, size=40, work_ms=62))
    """
    head = f"R{number:0{ID_DIGITS}d}{size:06d}{work_ms:06d}".encode()
    return head.ljust(size, b".")


def read_request(data: bytes) -> Request | None:
    """Returns the first request in a stream, or None until it is whole."""
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
    """An answer as a caller reads it."""

    number: int
    status: int
    server: str
    size: int


def write_answer(number: int, status: int, server: str, size: int) -> bytes:
    """Returns the bytes of an answer.

    Examples:
        >>> read_answer(write_answer(7, 200, "s1", 60))
        Answer(number=7, status=200, server='s1', size=60)
    """
    size = max(size, _ANSWER_HEAD)
    head = f"A{number:0{ID_DIGITS}d}{status:03d}{server:>8.8}{size:06d}"
    return head.encode().ljust(size, b".")


def read_answer(data: bytes) -> Answer | None:
    """Returns the first answer in a stream, or None until it is whole."""
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
