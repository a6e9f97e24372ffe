"""A balancer that has started again, and answers to its former life."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, ViewAsk
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry, request

SEEDS = ("10.9.0.2", "10.9.0.3")
NOW = 5.0


def life(number):
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


def test_answers_to_questions_of_a_former_life_are_not_taken_for_ours():
    """Both lives counted from 1: an answer to the former ended our question.

    The agent was never asked about our flow.
    """
    former, node = life(1), life(2)
    [old] = asked(former.on_caller(request(data=b"x", port=7), NOW), FlowsAsk)
    ours = request(data=b"x", port=8)
    [question] = asked(node.on_caller(ours, NOW), FlowsAsk)
    assert question.number != old.number
    node.on_peer("10.0.0.1", FlowsTell(old.number), NOW)
    [line] = node.finder.questions.lines.values()
    assert ours.flow in line.headers


def test_views_told_to_a_former_life_are_not_taken_for_fresh():
    """The tell may be older than our question with the same number."""
    former, node = life(1), life(2)
    old = {ask.number for ask in asked(former.tick(NOW), ViewAsk)}
    new = {ask.number for ask in asked(node.tick(NOW), ViewAsk)}
    assert old
    assert new
    assert not old & new
