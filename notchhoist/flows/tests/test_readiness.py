"""Tests that a process that is not ready says what it waits for."""

import itertools

import pytest

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.balancer.tests.test_isolation import IsolatedBalancer
from notchhoist.flows.model.records import MAX_LOG_INTERVAL_S, NotReady
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry


def starting_balancer(started_at=10.0):
    return make_balancer("a", CODEC, "seed", "10.0.1.1", started_at=started_at)


def logged(node, event):
    return [
        item for item in node.board.records.decisions if item.event == event
    ]


def test_a_balancer_without_state_says_so_and_since_when():
    node = starting_balancer()
    node.board.store_failures = 2
    node.board.store_failed_at = 10.4
    node.board.store_error = "no answer in time"
    node.tick(10.5)
    [record] = logged(node, "not ready")
    assert record.outcome == NotReady.NO_STATE
    assert record.inputs["waited_s"] == 0.5
    assert record.inputs["store_failures"] == 2
    assert record.inputs["store_error"] == "no answer in time"
    assert record.inputs["store_failed_s"] == 0.1
    assert record.inputs["store_answered_s"] is None
    assert record.inputs["balancers"] == 0


def test_a_reason_that_lasts_is_logged_at_growing_bounded_intervals():
    node = starting_balancer()
    seconds = 600
    for step in range(seconds):
        node.tick(10.0 + step)
    waited = [item.inputs["waited_s"] for item in logged(node, "not ready")]
    pauses = [b - a for a, b in itertools.pairwise(waited)]
    assert pauses == sorted(pauses)
    assert pauses[0] <= 2.0
    assert max(pauses) == MAX_LOG_INTERVAL_S
    assert waited[-1] > seconds - 2 * MAX_LOG_INTERVAL_S


def test_a_change_of_the_reason_is_logged_at_once():
    node = starting_balancer()
    node.tick(10.0)
    node.fleet.on_listing([(entry(1), 1)], 1, 10.2)
    node.on_published(10.2)
    node.board.refused = "routes: expected a list, got None"
    node.on_published(10.3)
    node.fleet.tables.on_table(crafting.table(), 1)
    node.on_published(10.4)
    reasons = [item.outcome for item in logged(node, "not ready")]
    assert reasons == [
        NotReady.NO_STATE,
        NotReady.NO_CONFIGURATION,
        NotReady.CONFIGURATION_REFUSED,
    ]
    [ready] = logged(node, "ready")
    assert ready.inputs["waited_s"] == 0.4
    assert node.readiness.not_ready_s(10.5) == 0.0


def test_a_ready_balancer_logs_nothing_more():
    node = starting_balancer()
    node.fleet.on_listing([(entry(1), 1)], 1, 10.0)
    node.fleet.tables.on_table(crafting.table(), 1)
    for step in range(200):
        node.tick(10.0 + step)
    assert not logged(node, "not ready")
    assert len(logged(node, "ready")) == 1


def test_an_isolated_balancer_says_so_until_it_is_ready_again():
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    heard = set(scenario.heard)
    scenario.heard.clear()
    scenario.run(2.5)
    scenario.heard |= heard
    scenario.run(4.0)
    records = scenario.node.board.records
    states = [
        (item.event, item.outcome)
        for item in records.decisions
        if item.event in ("ready", "not ready")
    ]
    assert states[1:] == [
        ("not ready", NotReady.ISOLATED),
        ("ready", "was isolated"),
    ]


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_stopping_process_is_not_ready_because_it_stops(role):
    if role == "balancer":
        node = starting_balancer()
        node.stop()
    else:
        node = make_agent(crafting.SERVICE, CODEC, 10.0)
        node.stop(10.0)
    node.tick(10.5)
    assert not node.is_ready
    [record] = logged(node, "not ready")
    assert record.outcome == NotReady.STOPPING


def test_an_agent_is_ready_from_its_first_tick():
    node = make_agent(crafting.SERVICE, CODEC, 10.0)
    node.tick(10.1)
    assert len(logged(node, "ready")) == 1
    assert not logged(node, "not ready")
