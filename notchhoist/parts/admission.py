"""Admission: slots, a ramp, and a short queue by weight and deadline."""

import math
from typing import Protocol

import attrs

INITIAL_SERVICE_S = 0.05
SMOOTHING = 0.2
SHED_FACTOR = 0.85
TIMEOUT_FACTOR = 0.5


class Job(Protocol):
    """What admission needs to know of a request.

    Attributes:
        kind: Name of its kind.
        weight: Share of slots of its kind relative to others.
        deadline: Runtime clock, seconds, by which it has to be answered.
    """

    kind: str
    weight: int
    deadline: float


@attrs.define
class Ramp:
    """How many slots are used: few at a cold start, fewer after trouble.

    Examples:
        >>> ramp = Ramp(slots=4)
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
        slots: Most slots ever used.
        level: Slots in use as a fraction number, 1.0 to ``slots``.
    """

    slots: int
    level: float = 1.0

    def limit(self) -> int:
        """Returns how many slots may be used now."""
        return max(1, min(self.slots, int(self.level)))

    def succeeded(self) -> None:
        """Notes an answer: one more slot after each full round."""
        self.level = min(float(self.slots), self.level + 1.0 / self.level)

    def shed(self) -> None:
        """Notes a request that the server refused: a little fewer slots."""
        self.level = max(1.0, self.level * SHED_FACTOR)

    def timed_out(self) -> None:
        """Notes a request that the server did not answer: half the slots."""
        self.level = max(1.0, self.level * TIMEOUT_FACTOR)


@attrs.define
class KindQueue:
    """Requests of one kind that wait, and the kind's place in the turn.

    Attributes:
        weight: Share of slots relative to other kinds.
        passed: Virtual time of the kind; the least goes next.
        jobs: Those that wait, earliest deadline first.
        service_s: Smoothed time that a run takes, seconds.
    """

    weight: int
    passed: float = 0.0
    jobs: list[Job] = attrs.Factory(list)
    service_s: float = INITIAL_SERVICE_S


@attrs.define
class Admission:
    """Decides which request takes a slot next, and which never will.

    Kinds take turns in proportion to their weights (stride scheduling), so a
    heavy kind goes first but starves nobody; within a kind the earliest
    deadline goes first.

    Attributes:
        ramp: How many slots may be used.
        queue_limit: Most requests that wait.
        in_flight: Slots taken.
        kinds: State of each kind.
        turn: Virtual time of the last kind served.
        service_s: Smoothed time that a run of any kind takes, seconds, or
            None before the first.
    """

    ramp: Ramp
    queue_limit: int
    in_flight: int = 0
    kinds: dict[str, KindQueue] = attrs.Factory(dict)
    turn: float = 0.0
    service_s: float | None = None

    def free(self) -> int:
        """Returns how many slots new work could take now."""
        if self.queued():
            return 0
        return max(0, self.ramp.limit() - self.in_flight)

    def queued(self) -> int:
        """Returns how many requests wait."""
        return sum(len(queue.jobs) for queue in self.kinds.values())

    def waiting(self) -> list[Job]:
        """Returns the requests that wait, earliest deadline first."""
        jobs = [job for queue in self.kinds.values() for job in queue.jobs]
        return sorted(jobs, key=lambda job: job.deadline)

    def is_full(self) -> bool:
        """Tells whether no more requests may wait."""
        return self.queued() >= self.queue_limit

    def try_enter(self, job: Job) -> bool:
        """Takes a slot at once, or tells that none is free."""
        if self.free() <= 0:
            return False
        self._charge(self._queue(job))
        self.in_flight += 1
        return True

    def enqueue(self, job: Job) -> Job | None:
        """Lets a request wait that ``can_meet`` its deadline.

        Args:
            job: The request.

        Returns:
            The request to refuse at once because the queue is full, which
            may be the new one or a lighter one; or None.
        """
        queue = self._queue(job)
        if not queue.jobs:
            queue.passed = max(queue.passed, self.turn)
        queue.jobs.append(job)
        queue.jobs.sort(key=lambda item: item.deadline)
        if self.queued() <= self.queue_limit:
            return None
        return self._evict()

    def next_job(self, now: float) -> tuple[Job | None, list[Job]]:
        """Takes the next request off the queue if a slot is free.

        Args:
            now: Runtime clock, seconds.

        Returns:
            The request that has a slot now, or None; and the requests to
            refuse because they can no longer be served in time.
        """
        late: list[Job] = []
        while self.in_flight < self.ramp.limit():
            waiting = [item for item in self.kinds.values() if item.jobs]
            if not waiting:
                break
            queue = min(waiting, key=lambda item: item.passed)
            job = queue.jobs.pop(0)
            if now + queue.service_s > job.deadline:
                late.append(job)
                continue
            self.turn = queue.passed
            self._charge(queue)
            self.in_flight += 1
            return job, late
        return None, late

    def leave(self, kind: str, service_s: float | None) -> None:
        """Gives a slot back.

        Args:
            kind: Kind of the request that had it.
            service_s: How long the run took, seconds; None where it says
                nothing about the server's speed.
        """
        self.in_flight -= 1
        if service_s is None:
            return
        known = self.service_s if self.service_s is not None else service_s
        self.service_s = known + SMOOTHING * (service_s - known)
        queue = self.kinds.get(kind)
        if queue is not None:
            queue.service_s += SMOOTHING * (service_s - queue.service_s)

    def remove(self, job: Job) -> bool:
        """Takes a request off the queue; False where it does not wait."""
        queue = self.kinds.get(job.kind)
        if queue is None or job not in queue.jobs:
            return False
        queue.jobs.remove(job)
        return True

    def retry_after_s(self) -> int:
        """Returns when a slot is likely to be free, whole seconds."""
        work = sum(
            len(queue.jobs) * queue.service_s for queue in self.kinds.values()
        )
        return max(1, math.ceil(work / self.ramp.limit()))

    def _queue(self, job: Job) -> KindQueue:
        queue = self.kinds.get(job.kind)
        if queue is None:
            queue = KindQueue(weight=job.weight, passed=self.turn)
            self.kinds[job.kind] = queue
        queue.weight = job.weight
        return queue

    def _charge(self, queue: KindQueue) -> None:
        queue.passed = max(queue.passed, self.turn) + 1.0 / queue.weight

    def can_meet(self, job: Job, now: float) -> bool:
        """Tells whether a request that waits is likely to be served in time.

        Args:
            job: The request.
            now: Runtime clock, seconds.
        """
        own = self._queue(job)
        ahead = sum(1 for item in own.jobs if item.deadline <= job.deadline)
        share = own.weight / self._active_weight(own)
        wait = ahead * own.service_s / (self.ramp.limit() * share)
        return now + wait + own.service_s <= job.deadline

    def _active_weight(self, own: KindQueue) -> int:
        others = sum(
            queue.weight
            for queue in self.kinds.values()
            if queue.jobs and queue is not own
        )
        return own.weight + others

    def _evict(self) -> Job:
        lightest = min(
            (queue for queue in self.kinds.values() if queue.jobs),
            key=lambda queue: queue.weight / len(queue.jobs),
        )
        return lightest.jobs.pop()
