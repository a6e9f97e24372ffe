"""Agents that started with their backend servers know all flows of these.

After a loss of power nothing of before is left, but every agent had just
started and could not say so: each lost flow was tried at every server.
"""

import pytest

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.decisions.completeness import STARTED_TOGETHER_MS
from notchhoist.flows.model.messages import FlowsTell
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancing import (
    asked_agents,
    packets,
    resets,
    tried_agents,
)
from notchhoist.flows.tests.crafting import CODEC, entry, request

BORN_MS = 1_700_000_000_000
TOGETHER_MS = BORN_MS + STARTED_TOGETHER_MS // 2
LOST = request(data=b"more", seq=500, ack=900)


def balancer(born_ms=BORN_MS, servers=2):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.on_table(crafting.table(), 1)
    entries = [
        (entry(n, born_ms=born_ms, warm_in_s=2.0), 1)
        for n in range(1, servers + 1)
    ]
    node.fleet.on_listing(entries, 1, 0.0)
    return node


def tell_unsure(node, host, started_ms, now=0.01):
    lines = node.finder.questions.lines
    [line] = [line for (name, _), line in lines.items() if name == host]
    tell = FlowsTell(line.number, unsure=(LOST.flow,), started_ms=started_ms)
    return node.on_peer(host, tell, now)


def search(node, started_ms):
    """Looks for a lost flow; every agent says when it has started."""
    effects = node.on_caller(LOST, 0.0)
    for host in asked_agents(effects):
        effects = tell_unsure(node, host, started_ms)
    return effects


def test_a_flow_of_before_a_loss_of_power_is_told_in_one_round():
    node = balancer()
    assert not tried_agents(search(node, TOGETHER_MS))
    node.finder.on_view_confirmed(0.02)
    assert len(resets(node.take_effects())) == 1


def test_an_agent_that_was_restarted_beside_its_server_is_tried():
    node = balancer()
    assert tried_agents(search(node, BORN_MS + 5_000))
    node.finder.on_view_confirmed(0.02)
    assert not resets(node.take_effects())


@pytest.mark.parametrize(
    ("born_ms", "started_ms"),
    [
        (0, TOGETHER_MS),
        (BORN_MS, 0),
        (BORN_MS + 3_600_000, TOGETHER_MS),
        (BORN_MS, BORN_MS + STARTED_TOGETHER_MS),
        (BORN_MS, BORN_MS - STARTED_TOGETHER_MS),
    ],
)
def test_what_is_not_told_or_lies_far_apart_proves_nothing(born_ms, started_ms):
    """An entry without a start, a former version, a clock that has jumped."""
    assert tried_agents(search(balancer(born_ms), started_ms))


def test_one_agent_that_may_hold_it_is_enough_to_try():
    node = balancer()
    first, second = asked_agents(node.on_caller(LOST, 0.0))
    tell_unsure(node, first, TOGETHER_MS)
    effects = tell_unsure(node, second, BORN_MS + 5_000)
    assert [host for host, _ in tried_agents(effects)] == [second]


def test_an_entry_of_a_dead_server_at_the_same_host_proves_nothing():
    """The list still has it; the agent's own server is not published yet."""
    node = balancer(born_ms=BORN_MS - 60_000)
    assert tried_agents(search(node, TOGETHER_MS))


def test_a_flow_that_an_agent_has_seen_begin_is_found_all_the_same():
    node = balancer()
    [first, _] = asked_agents(node.on_caller(LOST, 0.0))
    lines = node.finder.questions.lines
    [line] = [line for (name, _), line in lines.items() if name == first]
    tell = FlowsTell(line.number, present=(LOST.flow,))
    [(host, _)] = packets(node.on_peer(first, tell, 0.01))
    assert host == first
