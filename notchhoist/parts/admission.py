"""Admission control: an adaptive slot limit and a weighted deadline queue."""

import math
from typing import Protocol

import attrs

INITIAL_SERVICE_TIME_S = 0.05
SERVICE_TIME_SMOOTHING = 0.2
"""Weight of a new sample in the moving average of service times."""

SHED_DECREASE_FACTOR = 0.85
TIMEOUT_DECREASE_FACTOR = 0.5


class Job(Protocol):
    """Attributes of a request that admission control uses.

    Attributes:
        kind: Name of the kind of request.
        weight: Share of slots of the kind, relative to other kinds.
        deadline: Runtime clock by which the request must be answered, seconds.
    """

    kind: str
    weight: int
    deadline: float


@attrs.define
class SlotLimit:
    """Adaptive limit of the slots in use at a backend server.

    The limit starts at one slot, rises additively with answers, and falls
    multiplicatively when the server refuses a request or does not answer it.

    Examples:
        >>> ramp = SlotLimit(slots=4)
        >>> ramp.limit()
        1
        >>> for _ in range(8):
        ...     ramp.succeeded()
        >>> ramp.limit()
        4
        >>> ramp.timed_out()
        >>> ramp.limit()
        2

    Attributes:
        slots: Upper bound of the limit.
        level: The limit before rounding down, 1.0 to ``slots``.
    """

    slots: int
    level: float = 1.0

    def limit(self) -> int:
        """Returns the number of slots that may be in use now."""
        return max(1, min(self.slots, int(self.level)))

    def succeeded(self) -> None:
        """Raises the limit by one slot per ``level`` answered requests."""
        self.level = min(float(self.slots), self.level + 1.0 / self.level)

    def shed(self) -> None:
        """Lowers the limit slightly after a request that the server refused."""
        self.level = max(1.0, self.level * SHED_DECREASE_FACTOR)

    def timed_out(self) -> None:
        """Halves the limit after a request that the server did not answer."""
        self.level = max(1.0, self.level * TIMEOUT_DECREASE_FACTOR)


@attrs.define
class KindQueue:
    """Queue of the requests of one kind, with its virtual time.

    Attributes:
        weight: Share of slots relative to other kinds.
        passed: Virtual time; the kind with the lowest is served next.
        jobs: Queued requests, earliest deadline first.
        service_s: Smoothed service time of a run, seconds.
    """

    weight: int
    passed: float = 0.0
    jobs: list[Job] = attrs.Factory(list)
    service_s: float = INITIAL_SERVICE_TIME_S


@attrs.define
class Admission:
    """Decides which request takes a slot next, and which ones are refused.

    Stride scheduling shares the slots among kinds in proportion to their
    weights, so a kind with a high weight is served sooner but does not starve
    the others. Within a kind the request with the earliest deadline is first.

    Attributes:
        ramp: Adaptive limit of the slots in use.
        queue_limit: Maximum number of queued requests.
        in_flight: Number of slots that are taken.
        kinds: Queue of each kind, by its name.
        turn: Virtual time of the kind that was served last.
        service_s: Smoothed service time of a run of any kind, seconds; None
            before the first run.
    """

    ramp: SlotLimit
    queue_limit: int
    in_flight: int = 0
    kinds: dict[str, KindQueue] = attrs.Factory(dict)
    turn: float = 0.0
    service_s: float | None = None

    def free(self) -> int:
        """Returns the number of slots that new requests may take now.

        It is zero while requests are queued, so that a new request does not
        overtake them.
        """
        if self.queued():
            return 0
        return max(0, self.ramp.limit() - self.in_flight)

    def queued(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(queue.jobs) for queue in self.kinds.values())

    def queued_jobs(self) -> list[Job]:
        """Returns the queued requests, earliest deadline first."""
        jobs = [job for queue in self.kinds.values() for job in queue.jobs]
        return sorted(jobs, key=lambda job: job.deadline)

    def is_queue_full(self) -> bool:
        """Tells whether the queue has reached its limit."""
        return self.queued() >= self.queue_limit

    def try_take_slot(self, job: Job) -> bool:
        """Takes a slot for a request; False if none is free."""
        if self.free() <= 0:
            return False
        self._advance_virtual_time(self._queue_of(job))
        self.in_flight += 1
        return True

    def enqueue(self, job: Job) -> Job | None:
        """Queues a request.

        The caller checks the deadline with ``can_meet_deadline`` first.

        Args:
            job: The request.

        Returns:
            None, or the request to refuse because the queue is full. It is
            the one with the latest deadline of the kind that has the lowest
            weight per queued request, and may be the new request itself.
        """
        queue = self._queue_of(job)
        if not queue.jobs:
            queue.passed = max(queue.passed, self.turn)
        queue.jobs.append(job)
        queue.jobs.sort(key=lambda item: item.deadline)
        if self.queued() <= self.queue_limit:
            return None
        return self._evict()

    def next_job(self, now: float) -> tuple[Job | None, list[Job]]:
        """Dequeues the next request if a slot is free.

        Args:
            now: Runtime clock, seconds.

        Returns:
            The request that took a slot, or None; and the dequeued requests
            to refuse because they can no longer be answered in time.
        """
        unservable: list[Job] = []
        while self.in_flight < self.ramp.limit():
            waiting = [item for item in self.kinds.values() if item.jobs]
            if not waiting:
                break
            queue = min(waiting, key=lambda item: item.passed)
            job = queue.jobs.pop(0)
            if now + queue.service_s > job.deadline:
                unservable.append(job)
                continue
            self.turn = queue.passed
            self._advance_virtual_time(queue)
            self.in_flight += 1
            return job, unservable
        return None, unservable

    def release_slot(self, kind: str, service_s: float | None) -> None:
        """Releases a slot.

        Args:
            kind: Kind of the request that had the slot.
            service_s: Service time of the run, seconds; None if the run is
                no measure of the server's speed.
        """
        self.in_flight -= 1
        if service_s is None:
            return
        previous = self.service_s if self.service_s is not None else service_s
        self.service_s = previous + SERVICE_TIME_SMOOTHING * (
            service_s - previous
        )
        queue = self.kinds.get(kind)
        if queue is not None:
            queue.service_s += SERVICE_TIME_SMOOTHING * (
                service_s - queue.service_s
            )

    def remove(self, job: Job) -> bool:
        """Removes a request from the queue; False if it is not queued."""
        queue = self.kinds.get(job.kind)
        if queue is None or job not in queue.jobs:
            return False
        queue.jobs.remove(job)
        return True

    def retry_after_s(self) -> int:
        """Estimates the time until a slot is free, whole seconds.

        The estimate is the time that the queued requests take at the current
        slot limit, and at least one second.
        """
        queued_work_s = sum(
            len(queue.jobs) * queue.service_s for queue in self.kinds.values()
        )
        return max(1, math.ceil(queued_work_s / self.ramp.limit()))

    def _queue_of(self, job: Job) -> KindQueue:
        queue = self.kinds.get(job.kind)
        if queue is None:
            queue = KindQueue(weight=job.weight, passed=self.turn)
            self.kinds[job.kind] = queue
        queue.weight = job.weight
        return queue

    def _advance_virtual_time(self, queue: KindQueue) -> None:
        queue.passed = max(queue.passed, self.turn) + 1.0 / queue.weight

    def can_meet_deadline(self, job: Job, now: float) -> bool:
        """Estimates whether a request would be answered in time if queued.

        Args:
            job: The request.
            now: Runtime clock, seconds.
        """
        kind_queue = self._queue_of(job)
        queued_before = sum(
            1 for item in kind_queue.jobs if item.deadline <= job.deadline
        )
        share = kind_queue.weight / self._active_weight(kind_queue)
        queueing_s = (
            queued_before * kind_queue.service_s / (self.ramp.limit() * share)
        )
        return now + queueing_s + kind_queue.service_s <= job.deadline

    def _active_weight(self, kind_queue: KindQueue) -> int:
        others = sum(
            queue.weight
            for queue in self.kinds.values()
            if queue.jobs and queue is not kind_queue
        )
        return kind_queue.weight + others

    def _evict(self) -> Job:
        lowest_share = min(
            (queue for queue in self.kinds.values() if queue.jobs),
            key=lambda queue: queue.weight / len(queue.jobs),
        )
        return lowest_share.jobs.pop()
