"""Tests of the cold bound, the limit on new flows to a cold server."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.flows.decisions.slow_start import (
    SlidingWindowCounter,
    cold_limit,
    startup_limit,
)


def busiest_second(times):
    """Returns the highest number of events in any window of one second."""
    return max(
        (sum(start <= time < start + 1.0 for time in times) for start in times),
        default=0,
    )


def forwarded_times(arrivals, most):
    """Returns the arrivals that a limit lets through."""
    count = SlidingWindowCounter()
    forwarded = []
    for time in arrivals:
        if not count.pause_s(most, time):
            count.record(time)
            forwarded.append(time)
    return forwarded


arrivals = st.lists(
    st.floats(0.0, 5.0, allow_nan=False, width=32), max_size=150
).map(sorted)


@settings(deadline=None, max_examples=150)
@given(arrivals, st.integers(1, 20))
def test_no_window_of_a_second_exceeds_the_limit(times, most):
    assert busiest_second(forwarded_times(times, most)) <= most


@settings(deadline=None, max_examples=150)
@given(
    arrivals,
    st.integers(0, 150),
    st.sampled_from([1.0, 6.0, 20.0]),
    st.sampled_from([(1.5, 5.0), (1.0, 3.0), (2.0, 0.0)]),
)
def test_two_incarnations_of_an_agent_stay_within_the_limit(
    times, killed_at, per_s, bounds
):
    """Each incarnation counts only the flows that it has forwarded itself."""
    overage, slack = bounds
    before, after = times[:killed_at], times[killed_at:]
    first = forwarded_times(before, cold_limit(per_s))
    started_at = after[0] if after else 0.0
    early = [time for time in after if time < started_at + 1.05]
    second = forwarded_times(early, startup_limit(per_s, overage, slack))
    allowed = max(per_s * overage + slack, 1.0)
    assert busiest_second(first + second) <= math.floor(allowed)


def test_pause_ends_when_one_more_event_is_allowed():
    count = SlidingWindowCounter()
    for time in (0.0, 0.1, 0.2):
        count.record(time)
    pause = count.pause_s(3, 0.5)
    assert pause > 0
    assert count.pause_s(3, 0.5 + pause + 1e-6) == 0.0
