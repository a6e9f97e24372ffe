"""Questions about flows: one at a time to each agent, whatever is asked."""

from hypothesis import given
from hypothesis import strategies as st

from notchhoist.flows.balancer.questions import (
    QUERY_BYTES_MAX,
    RETRY_DELAY_MAX_S,
    RETRY_DELAY_S,
)
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, LoadTell
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests import agents
from notchhoist.flows.tests.agents import START, TAG, to_backend
from notchhoist.flows.tests.balancing import balancer
from notchhoist.flows.tests.crafting import CODEC, bounced, request

HOST = "10.0.0.1"


def questions(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer)
        and isinstance(effect.message, FlowsAsk)
        and effect.host == HOST
    ]


def lost_flow(number):
    return request(data=b"x", port=40000 + number)


def test_a_hundred_unknown_flows_are_few_questions():
    """A hundred dead flows at a hundred agents were 20,000 packets."""
    node = balancer(servers=3)
    asked = []
    for number in range(100):
        asked += questions(node.on_caller(lost_flow(number), 0.0))
    assert len(asked) == 1
    heads = 0
    while asked:
        question = asked.pop()
        heads += len(question.heads)
        assert sum(len(head) for head in question.heads) <= QUERY_BYTES_MAX
        flows = [CODEC.decode_request(head).flow for head in question.heads]
        tell = FlowsTell(question.number, absent=tuple(flows))
        asked += questions(node.on_peer(HOST, tell, 0.01))
    assert heads == 100
    assert node.board.records.counters[Count.QUESTIONS] <= 3 * 5


def test_a_silent_agent_is_asked_less_and_less():
    node = balancer(servers=1)
    node.on_caller(lost_flow(1), 0.0)
    ask = node.finder.questions
    sent = 0
    for step in range(1, 200):
        now = 0.01 * step
        ask.query([HOST], TAG, lost_flow(1), now)
        ask.tick(now)
        sent += len(questions(node.take_effects()))
    assert sent <= 2 + 2.0 / RETRY_DELAY_MAX_S + 2


def test_an_answer_that_comes_after_the_repeat_counts():
    """On a full link each came too late for its question and was passed over.

    A balancer heard agents all the time and found out nothing for 3.6 s.
    """
    node = balancer(servers=1)
    [question] = questions(node.on_caller(lost_flow(1), 0.0))
    repeats = []
    for step in range(1, 36):
        repeats += questions(node.tick(0.01 * step))
    assert len(repeats) >= 2
    lost = lost_flow(1).flow
    node.on_peer(HOST, FlowsTell(question.number, absent=(lost,)), 0.36)
    assert node.board.searches[lost].denied_at == 0.36


def test_an_answer_to_an_earlier_search_proves_nothing():
    """The flow may have been opened between the two."""
    node = balancer(servers=1)
    lost = lost_flow(1)
    [question] = questions(node.on_caller(lost, 0.0))
    node.finder.questions.forget(lost.flow, {HOST}, TAG)
    del node.board.searches[lost.flow]
    node.on_caller(lost, 0.05)
    node.on_peer(HOST, FlowsTell(question.number, absent=(lost.flow,)), 0.06)
    search = node.board.searches[lost.flow]
    assert search.unanswered == {HOST}
    assert search.denied_at is None


@given(
    st.lists(
        st.tuples(st.floats(0, 0.1), st.integers(0, 30), st.booleans()),
        max_size=120,
    )
)
def test_questions_are_bounded_by_answers_and_time(steps):
    """Own traffic is bounded: one question an answer, or a repeat pause."""
    node = balancer(servers=1)
    now, sent, answers, under_way = 0.0, 0, 0, None
    for pause, number, answered in steps:
        now += pause
        effects = node.on_caller(lost_flow(number), now) + node.tick(now)
        if answered and under_way is not None:
            answers += 1
            tell = FlowsTell(under_way.number)
            effects += node.on_peer(HOST, tell, now)
        found = questions(effects)
        sent += len(found)
        under_way = found[-1] if found else under_way
    assert sent <= 1 + 2 * answers + now / RETRY_DELAY_S


def test_an_agent_answers_about_several_flows_at_once():
    node = agents.agent()
    agents.accept(node, 1)
    agents.ask(node, 1)
    heads = tuple(
        CODEC.head_with_note(request(port=port, ack=agents.SERVER_SEQ + 1), 0)
        for port in (1, 2, 3)
    )
    [effect] = node.on_peer("10.0.1.1", FlowsAsk(7, TAG, heads), START)
    tell = effect.message
    assert (tell.number, len(tell.present), len(tell.absent)) == (7, 1, 2)


def test_samples_go_to_the_server_and_their_outcomes_are_gathered():
    node = agents.agent(known=False)
    lost = [request(data=b"x", port=port) for port in (2, 3)]
    samples = tuple(segment.raw for segment in lost)
    effects = node.on_peer("10.0.1.1", FlowsAsk(7, TAG, (), samples), START)
    assert len(to_backend(effects)) == 2
    for segment in lost:
        assert not node.on_backend(bounced(segment), START + 0.001)
    effects = node.tick(START + 0.01)
    [effect] = [item for item in effects if isinstance(item, SendPeer)]
    assert effect.message.number == 0
    assert set(effect.message.absent) == {segment.flow for segment in lost}


def test_bad_packets_in_a_question_are_counted():
    node = agents.agent()
    ask = FlowsAsk(7, TAG, (b"short",), (b"also",))
    [effect] = node.on_peer("10.0.1.1", ask, START)
    assert effect.message == FlowsTell(7)
    assert node.board.records.counters["malformed"] == 2


def test_an_agent_that_is_heard_again_is_asked_again_at_once():
    """Agents that started after a balancer were asked 0.8 s later."""
    node = balancer(servers=1)
    node.on_caller(lost_flow(1), 0.0)
    for step in range(1, 16):
        node.tick(0.1 * step)
    node.on_peer(HOST, LoadTell(0, 0, 0, False), 1.51)
    assert questions(node.tick(1.515))
