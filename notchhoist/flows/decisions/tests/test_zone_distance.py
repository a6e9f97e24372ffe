"""Tests of the penalties for servers of remote availability zones."""

import itertools

import pytest

from notchhoist.flows.decisions import server_selection
from notchhoist.flows.decisions.zone_distance import (
    ACCEPT_WAIT_S,
    DEFAULT_PENALTY,
    REMOTE_FLOWS_MARGIN,
    REMOTE_FLOWS_MARGIN_MAX,
    REMOTE_WAIT_MARGIN,
    accept_wait_s,
    queueing_delay_s,
    remote_penalty,
)
from notchhoist.flows.model.fleet import RequestKind, Server
from notchhoist.flows.tests.crafting import entry

SHORT = [(0.0, 0.05), (0.003, 0.05), (0.0031, 0.022), (0.0018, 0.04)]
LONG_S, SERVICE_S = 0.0096, 0.015


@pytest.mark.parametrize("busy", [0.0, 0.3, 0.95, 7.0])
@pytest.mark.parametrize("extra_s, pace_s", SHORT)
def test_penalty_of_a_short_round_trip_is_constant(extra_s, pace_s, busy):
    costs = remote_penalty(extra_s, pace_s, busy)
    assert costs == DEFAULT_PENALTY
    assert (costs.flows, costs.wait) == (
        REMOTE_FLOWS_MARGIN,
        REMOTE_WAIT_MARGIN,
    )
    assert not costs.is_significant


def test_no_round_trip_is_long_if_the_service_time_is_unknown():
    assert remote_penalty(0.05, 0.0, 0.5) == DEFAULT_PENALTY


def test_margin_in_flows_falls_with_the_slot_utilization():
    flows = [
        remote_penalty(LONG_S, SERVICE_S, busy / 20).flows
        for busy in range(0, 40)
    ]
    assert flows == sorted(flows, reverse=True)
    assert flows[0] == REMOTE_FLOWS_MARGIN_MAX
    assert flows[-1] == REMOTE_FLOWS_MARGIN


def test_penalty_never_falls_with_the_round_trip_time():
    costs = [
        remote_penalty(extra / 1000, SERVICE_S, 0.3) for extra in range(60)
    ]
    for shorter, longer in itertools.pairwise(costs):
        assert shorter.wait <= longer.wait
        assert shorter.flows <= longer.flows


def test_running_requests_count_as_half_done():
    assert queueing_delay_s(1, 1, 0.02) == pytest.approx(0.01)
    assert queueing_delay_s(3, 1, 0.02) == pytest.approx(0.05)
    assert queueing_delay_s(0, 1, 0.02) == 0.0


@pytest.mark.parametrize("trip_s", [0.0, 0.003, 0.0098, 0.0174])
def test_timeout_of_an_acceptance_has_a_lower_bound(trip_s):
    assert accept_wait_s(trip_s) == ACCEPT_WAIT_S


def test_timeout_of_an_acceptance_grows_with_a_long_round_trip():
    assert accept_wait_s(0.06) > 0.06 + 0.025


def servers(*loads):
    """Makes servers from tuples of zone, open flows and running requests."""
    made = []
    for number, (zone, flows, running) in enumerate(loads, 1):
        item = Server(entry(number, zone, slots=1), 0, 0.0)
        item.flows, item.running, item.service_time_ms = flows, running, 15
        made.append(item)
    return made


def chosen_zone(kind, *loads, costs=server_selection.NO_PENALTIES):
    candidates = servers(*loads)
    best = server_selection.choose_server(
        candidates, kind, "a", 9.0, lambda: 0.0, costs=costs
    )
    return best.entry.zone


def test_flow_of_many_requests_stays_local_at_low_utilization():
    loads = [("a", 13, 0), ("b", 10, 0), ("b", 10, 1)]
    kind = RequestKind.IDEMPOTENT
    penalties = {"b": remote_penalty(LONG_S, SERVICE_S, 0.2)}
    assert chosen_zone(kind, *loads) == "b"
    assert chosen_zone(kind, *loads, costs=penalties) == "a"
    busy = {"b": remote_penalty(LONG_S, SERVICE_S, 0.9)}
    assert chosen_zone(kind, *loads, costs=busy) == "b"


def test_overloaded_zone_hands_over_new_flows():
    loads = [("a", 40, 0), ("b", 8, 0), ("b", 9, 0)]
    penalties = {"b": remote_penalty(LONG_S, SERVICE_S, 0.0)}
    assert chosen_zone(RequestKind.IDEMPOTENT, *loads, costs=penalties) == "b"


def test_single_request_goes_remote_if_it_saves_more_than_the_round_trips():
    one, three, idle = ("a", 1, 1), ("a", 1, 3), ("b", 1, 0)
    penalties = {"b": remote_penalty(2 * LONG_S, SERVICE_S, 0.5)}
    kind = RequestKind.ONCE_ONLY
    assert chosen_zone(kind, one, idle) == "b"
    assert chosen_zone(kind, one, idle, costs=penalties) == "a"
    assert chosen_zone(kind, three, idle, costs=penalties) == "b"
