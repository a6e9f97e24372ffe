"""An agent: offering, giving back, and what it tells."""

import pytest

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.model.effects import (
    CheckBackend,
    SendBalancer,
    SendCaller,
    SendPeer,
)
from notchhoist.flows.model.messages import FlowsAsk, LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind, service_tag
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agents import (
    BALANCER,
    SERVER_SEQ,
    START,
    TAG,
    accept,
    agent,
    ask,
    reply,
    send,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import (
    ACK,
    CODEC,
    FIN,
    SYN,
    answer,
    request,
)


def test_a_new_flow_is_offered_and_its_acceptance_told():
    node = agent()
    effects = accept(node, 1)
    assert to_balancer(effects) == [NoteKind.TAKEN]
    assert [type(item) for item in effects].count(SendCaller) == 1


def test_a_packet_for_another_service_never_reaches_the_server():
    node = agent()
    other = service_tag("scoredrop")
    for segment in (request(flags=SYN), request(data=b"x")):
        effects = send(node, segment, NoteKind.PLACE, tag=other)
        assert not to_backend(effects)
    assert node.board.records.counters["wrong_service"] == 2


def test_a_silent_server_gets_the_flow_taken_away():
    node = agent()
    send(node, request(flags=SYN), NoteKind.PLACE)
    effects = node.tick(START + 0.03)
    assert to_balancer(effects) == [NoteKind.REFUSED]
    assert any(isinstance(item, CheckBackend) for item in effects)


def looks(effects):
    return any(isinstance(item, CheckBackend) for item in effects)


def begin_request(node):
    """Opens a flow whose second packet overtakes the first of its request."""
    accept(node, 1)
    first = request(seq=1, data=b"x" * 1200, port=1, ack=SERVER_SEQ + 1)
    second = request(seq=1201, data=b"y" * 300, port=1, ack=SERVER_SEQ + 1)
    send(node, second, NoteKind.HELD, START + 0.01)
    return first


def test_a_packet_that_was_overtaken_is_no_copy():
    """The agent tried to connect to its server, one in seven requests."""
    node = agent()
    first = begin_request(node)
    effects = send(node, first, NoteKind.HELD, START + 0.011)
    assert to_backend(effects)
    assert not looks(node.tick(START + 0.02))


def test_a_copy_shows_that_the_server_may_have_ended():
    node = agent()
    first = begin_request(node)
    send(node, first, NoteKind.HELD, START + 0.011)
    send(node, first, NoteKind.HELD, START + 0.211)
    assert looks(node.tick(START + 0.22))


def test_an_unknown_flow_is_given_back_by_an_agent_that_knows_all():
    effects = send(agent(), request(data=b"x"), NoteKind.HELD)
    assert to_balancer(effects) == [NoteKind.RETURNED]
    assert not to_backend(effects)


def test_a_restarted_agent_lets_the_server_judge():
    node = agent(known=False)
    data = request(data=b"x")
    assert to_backend(send(node, data, NoteKind.HELD))
    effects = node.on_backend(crafting.bounced(data), START + 0.001)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_a_flow_that_was_only_tried_is_not_said_to_be_here():
    """Its server was gone, and the next balancer took the word for it."""
    node = agent(known=False)
    lost = request(data=b"x", ack=77)
    send(node, lost, NoteKind.TRY)
    assert to_balancer(send(node, lost, NoteKind.ASK)) == [NoteKind.UNSURE]
    effects = node.on_backend(answer(data=b"y", ack=1), START + 0.05)
    assert to_balancer(effects) == [NoteKind.PRESENT]
    assert to_balancer(send(node, lost, NoteKind.ASK)) == [NoteKind.PRESENT]


def test_a_returned_packet_is_good_for_another_server():
    node = agent(known=False)
    data = request(data=b"x")
    send(node, data, NoteKind.HELD)
    [effect] = [
        item
        for item in node.on_backend(crafting.bounced(data), START)
        if isinstance(item, SendBalancer)
    ]
    assert effect.datagram[4:] == data.raw[4:]


def test_a_flow_that_the_caller_opened_elsewhere_is_given_back():
    node = agent()
    accept(node, 1)
    stranger = request(data=b"x", ack=SERVER_SEQ + (1 << 30), port=1)
    effects = send(node, stranger, NoteKind.HELD)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_answers_to_a_question_for_a_flow():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    for port, kind in ((1, NoteKind.PRESENT), (2, NoteKind.ABSENT)):
        segment = request(port=port, ack=SERVER_SEQ + 1)
        assert to_balancer(send(node, segment, NoteKind.ASK)) == [kind]
    unsure = agent(known=False)
    effects = send(unsure, request(port=2), NoteKind.ASK)
    assert to_balancer(effects) == [NoteKind.UNSURE]


def test_a_gone_server_ends_its_flows_at_once():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    effects = node.on_checked(False, START + 1)
    assert [type(item) for item in effects] == [SendCaller]
    refused = send(node, request(flags=SYN, port=2), NoteKind.PLACE, START + 1)
    assert to_balancer(refused) == [NoteKind.REFUSED]


def test_a_closing_flow_is_still_handed_over():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    node.on_backend(answer(flags=FIN | ACK, port=1), START)
    last = request(flags=FIN | ACK, ack=SERVER_SEQ + 2, port=1, seq=10)
    assert to_backend(send(node, last, NoteKind.HELD))


def test_the_load_that_is_told():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    ask(node, 1)
    ask(node, 2)
    load = node.load(START + 1)
    assert (load.flows, load.running) == (2, 2)


def test_an_answer_whose_end_overtakes_its_data_is_timed():
    """The end of a booking's answer comes first, so no booking was timed."""
    node = agent(slots=3)
    accept(node, 1)
    ask(node, 1)
    end = answer(flags=FIN | ACK, seq=SERVER_SEQ + 2, ack=10, port=1)
    node.on_backend(end, START + 0.08)
    reply(node, 1, START + 0.081)
    assert node.board.pace_s == pytest.approx(0.08)
    assert not node.board.active


def test_flows_that_were_just_offered_count_as_load_at_once():
    node = agent(slots=1)
    node.load(START)
    for port in range(5):
        send(node, request(flags=SYN, port=port), NoteKind.PLACE)
    assert node.load(START).running == 5
    assert node.load(START + 0.1).running == 5
    assert node.load(START + 0.3).running == 0


def test_a_stop_is_told_to_balancers_whose_flows_are_idle():
    """They took the silence of the restart for a loss and reset idle flows."""
    node = agent()
    accept(node, 1)
    effects = node.stop(START + 30.0)
    [told] = [item.message for item in effects if isinstance(item, SendPeer)]
    assert told.stopping


def test_an_agent_that_started_with_the_whole_system_is_sure():
    """Agents were unsure for a minute, and each dead flow was tried at all."""
    node = make_agent(crafting.SERVICE, CODEC, START, sees_all=True)
    effects = send(node, request(data=b"x"), NoteKind.ASK)
    assert to_balancer(effects) == [NoteKind.ABSENT]


def test_flows_tried_at_a_server_that_has_ended_are_told_absent():
    """Nobody said anything, and callers waited to their deadlines."""
    node = agent(known=False)
    sample = CODEC.with_note(request(data=b"x", seq=9, port=7), 0)
    effects = node.on_peer(BALANCER, FlowsAsk(1, TAG, (), (sample,)), START)
    assert to_backend(effects)
    assert any(isinstance(item, CheckBackend) for item in node.tick(START))
    node.on_checked(False, START + 0.001)
    told = [
        item.message
        for item in node.tick(START + 0.02)
        if isinstance(item, SendPeer)
    ]
    assert [len(message.absent) for message in told] == [1]


@pytest.mark.parametrize("draining", [True, False])
def test_a_leaving_server_that_listens_no_more_keeps_its_flows(draining):
    """It serves open flows for two seconds more; 35 of them were reset."""
    node = agent()
    told = LoadAsk(2, ServerState(revision=7, draining=draining))
    node.on_peer(BALANCER, told, START)
    accept(node, 1)
    ask(node, 1)
    effects = node.on_checked(False, START + 1.0)
    resets = [item for item in effects if isinstance(item, SendCaller)]
    assert len(resets) == (0 if draining else 1)
    assert bool(node.board.flows) is draining
    more = request(data=b"more", seq=10, ack=SERVER_SEQ + 1, port=1)
    sent = to_backend(send(node, more, NoteKind.HELD, START + 1.1))
    assert bool(sent) is draining
