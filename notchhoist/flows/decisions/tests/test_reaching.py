"""What distance is worth, by the work that a request takes."""

import itertools

import pytest

from notchhoist.flows.decisions import placing
from notchhoist.flows.decisions.reaching import (
    ACCEPT_WAIT_S,
    FAR_FLOWS,
    FAR_WAIT,
    MOST_FAR_FLOWS,
    USUAL_COSTS,
    accept_wait_s,
    far_costs,
    wait_s,
)
from notchhoist.flows.model.fleet import RequestKind, Server
from notchhoist.flows.tests.crafting import entry

SHORT = [(0.0, 0.05), (0.003, 0.05), (0.0031, 0.022), (0.0018, 0.04)]
LONG_S, WORK_S = 0.0096, 0.015


@pytest.mark.parametrize("busy", [0.0, 0.3, 0.95, 7.0])
@pytest.mark.parametrize("extra_s, pace_s", SHORT)
def test_a_short_distance_is_worth_what_the_constants_say(
    extra_s, pace_s, busy
):
    costs = far_costs(extra_s, pace_s, busy)
    assert costs == USUAL_COSTS
    assert (costs.flows, costs.wait) == (FAR_FLOWS, FAR_WAIT)
    assert not costs.is_long


def test_work_of_unknown_length_makes_no_distance_long():
    assert far_costs(0.05, 0.0, 0.5) == USUAL_COSTS


def test_a_zone_may_be_fuller_the_less_its_servers_have_to_do():
    flows = [
        far_costs(LONG_S, WORK_S, busy / 20).flows for busy in range(0, 40)
    ]
    assert flows == sorted(flows, reverse=True)
    assert flows[0] == MOST_FAR_FLOWS
    assert flows[-1] == FAR_FLOWS


def test_a_longer_way_is_never_worth_less():
    costs = [far_costs(way / 1000, WORK_S, 0.3) for way in range(60)]
    for one, other in itertools.pairwise(costs):
        assert one.wait <= other.wait
        assert one.flows <= other.flows


def test_what_runs_is_half_done():
    assert wait_s(1, 1, 0.02) == pytest.approx(0.01)
    assert wait_s(3, 1, 0.02) == pytest.approx(0.05)
    assert wait_s(0, 1, 0.02) == 0.0


@pytest.mark.parametrize("trip_s", [0.0, 0.003, 0.0098, 0.0174])
def test_an_acceptance_is_never_given_up_earlier_than_before(trip_s):
    assert accept_wait_s(trip_s) == ACCEPT_WAIT_S


def test_an_acceptance_from_very_far_is_waited_for():
    assert accept_wait_s(0.06) > 0.06 + 0.025


def servers(*loads):
    """Returns servers by zone, open flows and requests."""
    made = []
    for number, (zone, flows, running) in enumerate(loads, 1):
        item = Server(entry(number, zone, slots=1), 0, 0.0)
        item.flows, item.running, item.pace_ms = flows, running, 15
        made.append(item)
    return made


def chosen(kind, *loads, costs=placing.NO_COSTS):
    choices = servers(*loads)
    best = placing.choose(choices, kind, "a", 9.0, lambda: 0.0, costs=costs)
    return best.entry.zone


def test_a_long_flow_stays_near_where_servers_have_little_to_do():
    loads = [("a", 13, 0), ("b", 10, 0), ("b", 10, 1)]
    kind = RequestKind.IDEMPOTENT
    far = {"b": far_costs(LONG_S, WORK_S, 0.2)}
    assert chosen(kind, *loads) == "b"
    assert chosen(kind, *loads, costs=far) == "a"
    busy = {"b": far_costs(LONG_S, WORK_S, 0.9)}
    assert chosen(kind, *loads, costs=busy) == "b"


def test_a_zone_that_is_overrun_hands_flows_over():
    loads = [("a", 40, 0), ("b", 8, 0), ("b", 9, 0)]
    far = {"b": far_costs(LONG_S, WORK_S, 0.0)}
    assert chosen(RequestKind.IDEMPOTENT, *loads, costs=far) == "b"


def test_a_single_request_leaves_its_zone_for_more_than_the_way():
    one, three, idle = ("a", 1, 1), ("a", 1, 3), ("b", 1, 0)
    far = {"b": far_costs(2 * LONG_S, WORK_S, 0.5)}
    kind = RequestKind.ONCE_ONLY
    assert chosen(kind, one, idle) == "b"
    assert chosen(kind, one, idle, costs=far) == "a"
    assert chosen(kind, three, idle, costs=far) == "b"
