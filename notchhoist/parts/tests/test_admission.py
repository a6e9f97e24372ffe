"""Tests of admission control: slots, weights, deadlines, slot limit."""

import attrs
import pytest

from notchhoist import parts


@attrs.define(eq=False)
class Job:
    kind: str
    weight: int
    deadline: float


def make_admission(slots=2, queue_limit=8):
    ramp = parts.SlotLimit(slots=slots, level=float(slots))
    return parts.Admission(ramp=ramp, queue_limit=queue_limit)


def test_slots_are_never_exceeded():
    admission = make_admission(slots=2)
    entered = [admission.try_take_slot(Job("a", 1, 9.0)) for _ in range(5)]
    assert entered == [True, True, False, False, False]
    assert admission.in_flight == 2


def test_new_requests_do_not_overtake_queued_ones():
    admission = make_admission(slots=1)
    admission.try_take_slot(Job("a", 1, 9.0))
    admission.enqueue(Job("a", 1, 9.0))
    admission.release_slot("a", 0.1)
    assert not admission.try_take_slot(Job("a", 1, 9.0))


def test_slots_are_shared_in_proportion_to_weights():
    admission = make_admission(slots=1, queue_limit=200)
    for _ in range(50):
        admission.enqueue(Job("high", 40, 100.0))
        admission.enqueue(Job("low", 10, 100.0))
    served = []
    for _ in range(50):
        job, _ = admission.next_job(0.0)
        served.append(job.kind)
        admission.release_slot(job.kind, None)
    assert served.count("high") == pytest.approx(40, abs=2)


def test_earliest_deadline_first_within_a_kind():
    admission = make_admission(slots=1)
    late, early = Job("a", 1, 50.0), Job("a", 1, 10.0)
    admission.enqueue(late)
    admission.enqueue(early)
    assert admission.next_job(0.0)[0] is early


def test_unservable_requests_are_refused_before_they_take_a_slot():
    admission = make_admission(slots=1)
    job = Job("a", 1, 1.0)
    admission.enqueue(job)
    taken, refused = admission.next_job(2.0)
    assert taken is None
    assert refused == [job]
    assert admission.in_flight == 0


def test_full_queue_evicts_the_latest_of_the_kind_with_the_lowest_share():
    admission = make_admission(slots=1, queue_limit=2)
    low = Job("low", 10, 20.0)
    assert admission.enqueue(Job("low", 10, 10.0)) is None
    assert admission.enqueue(low) is None
    assert admission.enqueue(Job("high", 40, 10.0)) is low


def test_a_deadline_that_cannot_be_met_is_detected():
    admission = make_admission(slots=1)
    admission.try_take_slot(Job("a", 1, 9.0))
    admission.release_slot("a", 10.0)
    assert not admission.can_meet_deadline(Job("a", 1, 1.0), 0.0)
    assert admission.can_meet_deadline(Job("a", 1, 9.0), 0.0)


def test_slot_limit_rises_with_answers_and_falls_with_failures():
    ramp = parts.SlotLimit(slots=4)
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
