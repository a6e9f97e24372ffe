"""History of a concurrent run, and the checks of what must always hold.

Requests carry a name of their own in the payload or path, so that the history
of the backend servers and that of the callers can be held against each other.
"""

import collections
import enum
from collections.abc import Iterator

import attrs


class Result(enum.StrEnum):
    """What a caller was told."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BUSY = "busy"
    FAILED = "failed"
    SILENT = "silent"


@attrs.frozen
class Started:
    """A backend server began to work on a request.

    Attributes:
        at: Runtime clock, seconds.
        service: Service of the backend server.
        server: Name of the backend server.
        request: Name of the request.
        once: The request must not be repeated.
    """

    at: float
    service: str
    server: str
    request: str
    once: bool


@attrs.frozen
class Told:
    """A caller got the final answer to a request.

    Attributes:
        at: Runtime clock, seconds.
        service: Service that the caller asked.
        request: Name of the request.
        result: What it was told.
        payload: Payload of the answer.
        latency_s: Time since the request was first sent, seconds.
        kind: Kind of request.
    """

    at: float
    service: str
    request: str
    result: Result
    payload: str
    latency_s: float
    kind: str


@attrs.frozen
class Violation:
    """A promise that a history breaks.

    Attributes:
        promise: Short name of the promise.
        request: Name of the request.
        detail: What happened.
    """

    promise: str
    request: str
    detail: str


@attrs.define
class History:
    """What happened, in order.

    Attributes:
        started: Starts of work at backend servers.
        told: Answers to callers.
        misdirected: Requests that reached a server of another service.
        broken: Broken flows by cause.
    """

    started: list[Started] = attrs.Factory(list)
    told: list[Told] = attrs.Factory(list)
    misdirected: list[str] = attrs.Factory(list)
    broken: collections.Counter[str] = attrs.Factory(collections.Counter)

    def check(self) -> list[Violation]:
        """Returns every broken promise."""
        return [
            *_repeated(self.started),
            *_run_after_not_run(self.started, self.told),
            *_crossed_answers(self.told),
            *_wrong_service(self),
        ]


def _repeated(started: list[Started]) -> Iterator[Violation]:
    counts = collections.Counter(s.request for s in started if s.once)
    for request, count in counts.items():
        if count > 1:
            yield Violation("at most once", request, f"started {count} times")


def _run_after_not_run(
    started: list[Started], told: list[Told]
) -> Iterator[Violation]:
    ran = {item.request for item in started if item.once}
    for item in told:
        if item.result is Result.NOT_RUN and item.request in ran:
            yield Violation("truthful not run", item.request, "it was started")


def _crossed_answers(told: list[Told]) -> Iterator[Violation]:
    for item in told:
        answered = item.result is Result.ANSWERED
        if answered and item.request not in item.payload:
            yield Violation("own answer", item.request, item.payload[:80])


def _wrong_service(history: History) -> Iterator[Violation]:
    for request in history.misdirected:
        yield Violation("own service", request, "at another service's server")
