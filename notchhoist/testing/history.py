"""History of a concurrent run and the checks of its invariants.

Each request carries a unique name in its payload or path, so that the records
of the backend servers can be compared with those of the callers.
"""

import collections
import enum
from collections.abc import Iterator

import attrs


class Result(enum.StrEnum):
    """Result of a request as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BUSY = "busy"
    FAILED = "failed"
    SILENT = "silent"


@attrs.frozen
class Started:
    """Record that a backend server began to process a request.

    Attributes:
        at: Runtime clock, seconds.
        service: Service of the backend server.
        server: Name of the backend server.
        request: Name of the request.
        once: Whether the request is non-repeatable.
    """

    at: float
    service: str
    server: str
    request: str
    once: bool


@attrs.frozen
class FinalResult:
    """Record of the final result of a request at its caller.

    Attributes:
        at: Runtime clock, seconds.
        service: Service to which the request went.
        request: Name of the request.
        result: The result.
        payload: Payload of the response.
        latency_s: Time since the task began, seconds.
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
    """A guarantee that a history violates.

    Attributes:
        promise: Short name of the guarantee.
        request: Name of the request.
        detail: What happened.
    """

    promise: str
    request: str
    detail: str


@attrs.define
class History:
    """Events of a run, in order.

    Attributes:
        started: Starts of requests at backend servers.
        told: Final results at callers.
        misdirected: Names of requests that reached a backend server of
            another service.
        broken: Number of broken flows by cause.
    """

    started: list[Started] = attrs.Factory(list)
    told: list[FinalResult] = attrs.Factory(list)
    misdirected: list[str] = attrs.Factory(list)
    broken: collections.Counter[str] = attrs.Factory(collections.Counter)

    def check(self) -> list[Violation]:
        """Returns every violation of a guarantee."""
        return [
            *_repeated(self.started),
            *_run_after_not_run(self.started, self.told),
            *_mismatched_answers(self.told),
            *_wrong_service(self),
        ]


def _repeated(started: list[Started]) -> Iterator[Violation]:
    counts = collections.Counter(s.request for s in started if s.once)
    for request, count in counts.items():
        if count > 1:
            yield Violation("at most once", request, f"started {count} times")


def _run_after_not_run(
    started: list[Started], told: list[FinalResult]
) -> Iterator[Violation]:
    ran = {item.request for item in started if item.once}
    for item in told:
        if item.result is Result.NOT_RUN and item.request in ran:
            yield Violation("truthful not run", item.request, "it was started")


def _mismatched_answers(told: list[FinalResult]) -> Iterator[Violation]:
    for item in told:
        answered = item.result is Result.ANSWERED
        if answered and item.request not in item.payload:
            yield Violation("own answer", item.request, item.payload[:80])


def _wrong_service(history: History) -> Iterator[Violation]:
    for request in history.misdirected:
        yield Violation("own service", request, "at another service's server")
