"""Queries about flows: at most one in flight to each agent."""

from hypothesis import given
from hypothesis import strategies as st

from notchhoist.flows.balancer.flow_queries import (
    QUERY_BYTES_MAX,
    RETRY_DELAY_MAX_S,
    RETRY_DELAY_S,
)
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, LoadTell
from notchhoist.flows.model.ranges import I32_MAX
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests import agent_harness
from notchhoist.flows.tests.agent_harness import START, TAG, to_backend
from notchhoist.flows.tests.balancer_harness import balancer
from notchhoist.flows.tests.crafting import CODEC, bounced, request

HOST = "10.0.0.1"


def queries_to_host(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer)
        and isinstance(effect.message, FlowsAsk)
        and effect.host == HOST
    ]


def unknown_flow_packet(number):
    return request(data=b"x", port=40000 + number)


def test_hundred_unknown_flows_need_few_queries():
    """Without batches, 100 lost flows at 100 agents cause 20,000 packets."""
    node = balancer(servers=3)
    asked = []
    for number in range(100):
        asked += queries_to_host(
            node.on_caller(unknown_flow_packet(number), 0.0)
        )
    assert len(asked) == 1
    heads = 0
    while asked:
        sent_query = asked.pop()
        heads += len(sent_query.heads)
        assert sum(len(head) for head in sent_query.heads) <= QUERY_BYTES_MAX
        flows = [CODEC.decode_request(head).flow for head in sent_query.heads]
        tell = FlowsTell(sent_query.number, absent=tuple(flows))
        asked += queries_to_host(node.on_peer(HOST, tell, 0.01))
    assert heads == 100
    assert node.board.records.counters[Count.QUESTIONS] <= 3 * 5


def test_retries_to_a_silent_agent_back_off():
    node = balancer(servers=1)
    node.on_caller(unknown_flow_packet(1), 0.0)
    flow_queries = node.finder.queries
    sent = 0
    for step in range(1, 200):
        now = 0.01 * step
        flow_queries.query([HOST], TAG, unknown_flow_packet(1), now)
        flow_queries.tick(now)
        sent += len(queries_to_host(node.take_effects()))
    assert sent <= 2 + 2.0 / RETRY_DELAY_MAX_S + 2


def test_answer_after_a_retry_is_accepted():
    """Guards against ignoring answers that arrive after a retry.

    On a saturated link every answer was late in this way, and a balancer that
    received them all located no flow for 3.6 s.
    """
    node = balancer(servers=1)
    [sent_query] = queries_to_host(node.on_caller(unknown_flow_packet(1), 0.0))
    repeats = []
    for step in range(1, 36):
        repeats += queries_to_host(node.tick(0.01 * step))
    assert len(repeats) >= 2
    lost = unknown_flow_packet(1).flow
    node.on_peer(HOST, FlowsTell(sent_query.number, absent=(lost,)), 0.36)
    assert node.board.searches[lost].all_absent_at == 0.36


def test_answer_to_an_earlier_search_is_ignored():
    """The flow may have been opened between the two searches."""
    node = balancer(servers=1)
    lost = unknown_flow_packet(1)
    [sent_query] = queries_to_host(node.on_caller(lost, 0.0))
    node.finder.queries.forget(lost.flow, {HOST}, TAG)
    del node.board.searches[lost.flow]
    node.on_caller(lost, 0.05)
    node.on_peer(HOST, FlowsTell(sent_query.number, absent=(lost.flow,)), 0.06)
    search = node.board.searches[lost.flow]
    assert search.unanswered == {HOST}
    assert search.all_absent_at is None


@given(
    st.lists(
        st.tuples(st.floats(0, 0.1), st.integers(0, 30), st.booleans()),
        max_size=120,
    )
)
def test_queries_are_bounded_by_answers_and_time(steps):
    """Each answer and each retry delay allow a limited number of queries."""
    node = balancer(servers=1)
    now, sent, answers, in_flight = 0.0, 0, 0, None
    for pause, number, answered in steps:
        now += pause
        effects = node.on_caller(unknown_flow_packet(number), now) + node.tick(
            now
        )
        if answered and in_flight is not None:
            answers += 1
            tell = FlowsTell(in_flight.number)
            effects += node.on_peer(HOST, tell, now)
        new = queries_to_host(effects)
        sent += len(new)
        in_flight = new[-1] if new else in_flight
    assert sent <= 1 + 2 * answers + now / RETRY_DELAY_S


def test_agent_answers_about_several_flows_at_once():
    node = agent_harness.agent()
    agent_harness.accept(node, 1)
    agent_harness.send_request(node, 1)
    heads = tuple(
        CODEC.header_with_note(
            request(port=port, ack=agent_harness.SERVER_SEQ + 1), 0
        )
        for port in (1, 2, 3)
    )
    [effect] = node.on_peer("10.0.1.1", FlowsAsk(7, TAG, heads), START)
    tell = effect.message
    assert (tell.number, len(tell.present), len(tell.absent)) == (7, 1, 2)


def test_samples_go_to_the_server_and_outcomes_are_batched():
    node = agent_harness.agent(known=False)
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


def test_malformed_packets_in_a_query_are_counted():
    node = agent_harness.agent()
    ask = FlowsAsk(7, TAG, (b"short",), (b"also",))
    [effect] = node.on_peer("10.0.1.1", ask, START)
    assert effect.message == FlowsTell(7)
    assert node.board.records.counters["malformed"] == 2


def test_query_is_retried_at_once_when_the_agent_is_heard():
    """Otherwise an agent that starts later is queried up to 0.8 s later."""
    node = balancer(servers=1)
    node.on_caller(unknown_flow_packet(1), 0.0)
    for step in range(1, 16):
        node.tick(0.1 * step)
    node.on_peer(HOST, LoadTell(0, 0, 0, False), 1.51)
    assert queries_to_host(node.tick(1.515))


def test_numbers_of_queries_start_again_before_they_outgrow_the_wire():
    """No query could be sent after the last number of 32 bits."""
    node = balancer(servers=1)
    node.finder.queries.last_number = I32_MAX - 1
    numbers = []
    for count in range(3):
        [asked] = queries_to_host(
            node.on_caller(unknown_flow_packet(count), 0.0)
        )
        assert decode_message(encode_message(asked)) == asked
        numbers.append(asked.number)
        lost = unknown_flow_packet(count).flow
        tell = FlowsTell(asked.number, absent=(lost,))
        node.on_peer(HOST, tell, 0.0)
    assert numbers == [I32_MAX, 1, 2]
