"""Flows that were lost with the power of a whole service are told at once.

Every agent had just started and could not say that a flow is not at its server,
so each lost flow was tried at every server of its service.
"""

import pytest

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.decisions.completeness import LEAST_AWAY_S
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsTell, ViewAsk, ViewTell
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancing import (
    asked_agents,
    packets,
    resets,
    tried_agents,
)
from notchhoist.flows.tests.crafting import CODEC, entry, request

KNOWN_AT = 50.0
NOW = KNOWN_AT + 0.1
OLD_AGENT_MS = 200
"""It had started before the balancer knew where to place a flow."""

YOUNG_AGENT_MS = 40
LOST = request(data=b"more", seq=500, ack=900)


def balancer(servers=2, warm=()):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [
        (entry(n, warm_in_s=0.0 if n in warm else 2.0), 1)
        for n in range(1, servers + 1)
    ]
    node.fleet.on_listing(entries, 1, KNOWN_AT)
    return node


def line_of(node, host):
    lines = node.finder.questions.lines
    [line] = [line for (name, _), line in lines.items() if name == host]
    return line


def search(node, ages_ms, now=NOW):
    """Looks for a lost flow; agents say for how long they have run."""
    effects = node.on_caller(LOST, now)
    hosts = asked_agents(effects)
    for host, age_ms in zip(hosts, ages_ms, strict=True):
        tell = FlowsTell(
            line_of(node, host).number, unsure=(LOST.flow,), age_ms=age_ms
        )
        effects = node.on_peer(host, tell, now)
    return effects


def is_reset(node, now=NOW):
    node.finder.on_view_confirmed(now)
    return bool(resets(node.take_effects()))


def test_a_lost_flow_is_told_after_one_round_of_questions():
    node = balancer()
    assert not tried_agents(search(node, [OLD_AGENT_MS] * 2))
    assert is_reset(node)


def test_an_agent_that_came_a_moment_later_had_no_forerunner():
    node = balancer()
    assert not tried_agents(search(node, [YOUNG_AGENT_MS] * 2))
    assert is_reset(node)


def test_an_agent_that_was_restarted_since_is_tried():
    node = balancer()
    now = KNOWN_AT + LEAST_AWAY_S + 0.2
    first, second = asked_agents(node.on_caller(LOST, now))
    for host, age_ms in ((first, 1000), (second, 100)):
        tell = FlowsTell(
            line_of(node, host).number, unsure=(LOST.flow,), age_ms=age_ms
        )
        effects = node.on_peer(host, tell, now)
    assert [host for host, _ in tried_agents(effects)] == [second]
    assert not is_reset(node, now)


def test_a_server_that_outlived_the_others_may_hold_the_flow():
    """Only some hosts had lost their power, or a release is under way."""
    node = balancer(warm=(2,))
    assert len(tried_agents(search(node, [OLD_AGENT_MS] * 2))) == 2


def test_an_agent_of_a_former_version_tells_no_age():
    assert len(tried_agents(search(balancer(), [0, 0]))) == 2


def test_a_balancer_that_has_started_later_than_others_learns_of_it():
    """They may have placed flows through an agent that has ended since."""
    node = balancer()
    change = ViewChange(1, 1, 1, 15.0, (), (), (), (), 1, 2)
    node.on_peer(
        "10.0.9.9", ViewTell(change, 0.1, (), placing_for_ms=5000), NOW
    )
    assert len(tried_agents(search(node, [OLD_AGENT_MS] * 2))) == 2


def test_it_tells_others_since_when_flows_may_have_been_placed():
    node = balancer()
    effects = node.on_peer("10.0.9.9", ViewAsk(0, 0, 1), KNOWN_AT + 2.0)
    told = [e.message for e in effects if isinstance(e, SendPeer)]
    assert [m.placing_for_ms for m in told if isinstance(m, ViewTell)] == [2000]


@pytest.mark.parametrize("age_ms", [OLD_AGENT_MS, YOUNG_AGENT_MS])
def test_a_flow_that_an_agent_has_seen_begin_is_found(age_ms):
    node = balancer()
    [first, _] = asked_agents(node.on_caller(LOST, NOW))
    tell = FlowsTell(
        line_of(node, first).number, present=(LOST.flow,), age_ms=age_ms
    )
    [(host, _)] = packets(node.on_peer(first, tell, NOW))
    assert host == first
