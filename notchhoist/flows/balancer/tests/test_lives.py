"""A restarted balancer gets answers to queries from before its restart."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, ViewAsk
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry, request

SEEDS = ("10.9.0.2", "10.9.0.3")
NOW = 5.0


def balancer_incarnation(number):
    node = make_balancer("a", CODEC, f"life {number}", "10.9.0.1", SEEDS)
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_listing([(entry(1), 1)], 1, 0.0)
    return node


def asked(effects, kind):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, kind)
    ]


def test_answer_to_a_query_before_the_restart_is_ignored():
    """Guards against numbering queries from 1 after each start.

    An answer to the former incarnation would then complete a query of the new
    one, and the agent would never be queried about the new flow.
    """
    former, node = balancer_incarnation(1), balancer_incarnation(2)
    [old] = asked(former.on_caller(request(data=b"x", port=7), NOW), FlowsAsk)
    ours = request(data=b"x", port=8)
    [query] = asked(node.on_caller(ours, NOW), FlowsAsk)
    assert query.number != old.number
    node.on_peer("10.0.0.1", FlowsTell(old.number), NOW)
    [queue] = node.finder.queries.queues.values()
    assert ours.flow in queue.headers


def test_view_queries_use_other_numbers_after_a_restart():
    """An update may be older than the new query with the same number."""
    former, node = balancer_incarnation(1), balancer_incarnation(2)
    old = {ask.number for ask in asked(former.tick(NOW), ViewAsk)}
    new = {ask.number for ask in asked(node.tick(NOW), ViewAsk)}
    assert old
    assert new
    assert not old & new
