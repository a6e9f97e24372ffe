"""Tests of admission: slots, turns by weight, deadlines."""

import attrs
import pytest

from notchhoist import parts


@attrs.define(eq=False)
class Job:
    kind: str
    weight: int
    deadline: float


def admission(slots=2, queue_limit=8):
    ramp = parts.Ramp(slots=slots, level=float(slots))
    return parts.Admission(ramp=ramp, queue_limit=queue_limit)


def test_slots_are_never_exceeded():
    gate = admission(slots=2)
    entered = [gate.try_enter(Job("a", 1, 9.0)) for _ in range(5)]
    assert entered == [True, True, False, False, False]
    assert gate.in_flight == 2


def test_new_work_does_not_overtake_the_queue():
    gate = admission(slots=1)
    gate.try_enter(Job("a", 1, 9.0))
    gate.enqueue(Job("a", 1, 9.0))
    gate.leave("a", 0.1)
    assert not gate.try_enter(Job("a", 1, 9.0))


def test_heavy_kinds_go_first_and_starve_nobody():
    gate = admission(slots=1, queue_limit=200)
    for _ in range(50):
        gate.enqueue(Job("high", 40, 100.0))
        gate.enqueue(Job("low", 10, 100.0))
    served = []
    for _ in range(50):
        job, _ = gate.next_job(0.0)
        served.append(job.kind)
        gate.leave(job.kind, None)
    assert served.count("high") == pytest.approx(40, abs=2)


def test_earliest_deadline_first_within_a_kind():
    gate = admission(slots=1)
    late, early = Job("a", 1, 50.0), Job("a", 1, 10.0)
    gate.enqueue(late)
    gate.enqueue(early)
    assert gate.next_job(0.0)[0] is early


def test_late_work_is_refused_before_it_takes_a_slot():
    gate = admission(slots=1)
    job = Job("a", 1, 1.0)
    gate.enqueue(job)
    taken, late = gate.next_job(2.0)
    assert taken is None
    assert late == [job]
    assert gate.in_flight == 0


def test_a_full_queue_refuses_the_latest_of_the_lightest_kind():
    gate = admission(slots=1, queue_limit=2)
    low = Job("low", 10, 20.0)
    assert gate.enqueue(Job("low", 10, 10.0)) is None
    assert gate.enqueue(low) is None
    assert gate.enqueue(Job("high", 40, 10.0)) is low


def test_a_deadline_that_cannot_be_met_is_known():
    gate = admission(slots=1)
    gate.try_enter(Job("a", 1, 9.0))
    gate.leave("a", 10.0)
    assert not gate.can_meet(Job("a", 1, 1.0), 0.0)
    assert gate.can_meet(Job("a", 1, 9.0), 0.0)


def test_ramp_grows_by_answers_and_shrinks_by_trouble():
    ramp = parts.Ramp(slots=4)
    limits = []
    for _ in range(9):
        ramp.succeeded()
        limits.append(ramp.limit())
    assert limits[-1] == 4
    assert sorted(limits) == limits
    ramp.shed()
    assert ramp.limit() == 3
    ramp.timed_out()
    assert ramp.limit() == 1
