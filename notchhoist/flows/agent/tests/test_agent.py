"""Tests of an agent: offers, returned packets and reports to balancers."""

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
from notchhoist.flows.tests.agent_harness import (
    BALANCER,
    SERVER_SEQ,
    START,
    TAG,
    accept,
    agent,
    send,
    send_answer,
    send_request,
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


def test_new_flow_is_offered_and_its_acceptance_reported():
    node = agent()
    effects = accept(node, 1)
    assert to_balancer(effects) == [NoteKind.ACCEPTED]
    assert [type(item) for item in effects].count(SendCaller) == 1


def test_packet_for_another_service_never_reaches_the_server():
    node = agent()
    other = service_tag("scoredrop")
    for segment in (request(flags=SYN), request(data=b"x")):
        effects = send(node, segment, NoteKind.PLACE, tag=other)
        assert not to_backend(effects)
    assert node.board.records.counters["wrong_service"] == 2


def test_flow_is_returned_if_the_server_does_not_answer():
    node = agent()
    send(node, request(flags=SYN), NoteKind.PLACE)
    effects = node.tick(START + 0.03)
    assert to_balancer(effects) == [NoteKind.REFUSED]
    assert any(isinstance(item, CheckBackend) for item in effects)


def has_check(effects):
    return any(isinstance(item, CheckBackend) for item in effects)


def open_with_reordered_request(node):
    """Opens a flow whose second request packet overtakes the first."""
    accept(node, 1)
    first = request(seq=1, data=b"x" * 1200, port=1, ack=SERVER_SEQ + 1)
    second = request(seq=1201, data=b"y" * 300, port=1, ack=SERVER_SEQ + 1)
    send(node, second, NoteKind.FORWARD, START + 0.01)
    return first


def test_reordered_packet_is_no_retransmission():
    """Guards against a liveness check for every reordered request.

    The agent took a reordered packet for a retransmission, and connected to
    its server once in seven requests.
    """
    node = agent()
    first = open_with_reordered_request(node)
    effects = send(node, first, NoteKind.FORWARD, START + 0.011)
    assert to_backend(effects)
    assert not has_check(node.tick(START + 0.02))


def test_retransmission_triggers_a_liveness_check():
    node = agent()
    first = open_with_reordered_request(node)
    send(node, first, NoteKind.FORWARD, START + 0.011)
    send(node, first, NoteKind.FORWARD, START + 0.211)
    assert has_check(node.tick(START + 0.22))


def test_unknown_flow_is_returned_by_an_agent_that_knows_all_flows():
    effects = send(agent(), request(data=b"x"), NoteKind.FORWARD)
    assert to_balancer(effects) == [NoteKind.RETURNED]
    assert not to_backend(effects)


def test_restarted_agent_forwards_packets_of_unknown_flows():
    node = agent(known=False)
    data = request(data=b"x")
    assert to_backend(send(node, data, NoteKind.FORWARD))
    effects = node.on_backend(crafting.bounced(data), START + 0.001)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_unconfirmed_flow_is_not_reported_as_present():
    """Guards against a false report of a flow whose server had exited.

    The next balancer that searched for the flow trusted the report.
    """
    node = agent(known=False)
    lost = request(data=b"x", ack=77)
    send(node, lost, NoteKind.SAMPLE)
    assert to_balancer(send(node, lost, NoteKind.QUERY)) == [NoteKind.UNSURE]
    effects = node.on_backend(answer(data=b"y", ack=1), START + 0.05)
    assert to_balancer(effects) == [NoteKind.PRESENT]
    assert to_balancer(send(node, lost, NoteKind.QUERY)) == [NoteKind.PRESENT]


def test_returned_packet_is_unchanged_for_another_server():
    node = agent(known=False)
    data = request(data=b"x")
    send(node, data, NoteKind.FORWARD)
    [effect] = [
        item
        for item in node.on_backend(crafting.bounced(data), START)
        if isinstance(item, SendBalancer)
    ]
    assert effect.datagram[4:] == data.raw[4:]


def test_flow_that_the_caller_opened_elsewhere_is_returned():
    node = agent()
    accept(node, 1)
    elsewhere = request(data=b"x", ack=SERVER_SEQ + (1 << 30), port=1)
    effects = send(node, elsewhere, NoteKind.FORWARD)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_answers_to_a_search_for_a_flow():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    for port, kind in ((1, NoteKind.PRESENT), (2, NoteKind.ABSENT)):
        segment = request(port=port, ack=SERVER_SEQ + 1)
        assert to_balancer(send(node, segment, NoteKind.QUERY)) == [kind]
    unsure = agent(known=False)
    effects = send(unsure, request(port=2), NoteKind.QUERY)
    assert to_balancer(effects) == [NoteKind.UNSURE]


def test_exited_server_has_its_flows_reset_at_once():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    effects = node.on_backend_checked(False, START + 1)
    assert [type(item) for item in effects] == [SendCaller]
    refused = send(node, request(flags=SYN, port=2), NoteKind.PLACE, START + 1)
    assert to_balancer(refused) == [NoteKind.REFUSED]


def test_packets_of_a_closing_flow_are_still_forwarded():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    node.on_backend(answer(flags=FIN | ACK, port=1), START)
    last = request(flags=FIN | ACK, ack=SERVER_SEQ + 2, port=1, seq=10)
    assert to_backend(send(node, last, NoteKind.FORWARD))


def test_load_counts_open_flows_and_unanswered_requests():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2)
    load = node.load(START + 1)
    assert (load.flows, load.running) == (2, 2)


def test_answer_whose_end_overtakes_its_data_is_timed():
    """Guards against answers whose service time is never measured.

    The closing packet of a booking's answer arrives before its data.
    """
    node = agent(slots=3)
    accept(node, 1)
    send_request(node, 1)
    end = answer(flags=FIN | ACK, seq=SERVER_SEQ + 2, ack=10, port=1)
    node.on_backend(end, START + 0.08)
    send_answer(node, 1, START + 0.081)
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


def test_stop_is_reported_to_balancers_whose_flows_are_idle():
    """Guards against a planned restart that balancers take for a failure.

    They took the silence for the loss of the agent and reset its idle flows.
    """
    node = agent()
    accept(node, 1)
    effects = node.stop(START + 30.0)
    [load_report] = [
        item.message for item in effects if isinstance(item, SendPeer)
    ]
    assert load_report.stopping


def test_agent_that_started_with_the_whole_system_reports_absent():
    """Guards against agents that are unsure for a minute after a full start.

    Each flow that no longer existed was then searched for by sample packets to
    all agents.
    """
    node = make_agent(crafting.SERVICE, CODEC, START, knows_all_flows=True)
    effects = send(node, request(data=b"x"), NoteKind.QUERY)
    assert to_balancer(effects) == [NoteKind.ABSENT]


def test_sample_packets_to_an_exited_server_are_reported_absent():
    """Guards against searches that never end since the server has exited.

    No answer came, and callers waited until their deadlines.
    """
    node = agent(known=False)
    sample = CODEC.with_note(request(data=b"x", seq=9, port=7), 0)
    effects = node.on_peer(BALANCER, FlowsAsk(1, TAG, (), (sample,)), START)
    assert to_backend(effects)
    assert any(isinstance(item, CheckBackend) for item in node.tick(START))
    node.on_backend_checked(False, START + 0.001)
    reports = [
        item.message
        for item in node.tick(START + 0.02)
        if isinstance(item, SendPeer)
    ]
    assert [len(message.absent) for message in reports] == [1]


@pytest.mark.parametrize("draining", [True, False])
def test_draining_server_that_refuses_connections_keeps_its_flows(draining):
    """Guards against resets of flows that a draining server still serves.

    It serves open flows for two more seconds; 35 of them were reset.
    """
    node = agent()
    query = LoadAsk(2, ServerState(revision=7, draining=draining))
    node.on_peer(BALANCER, query, START)
    accept(node, 1)
    send_request(node, 1)
    effects = node.on_backend_checked(False, START + 1.0)
    resets = [item for item in effects if isinstance(item, SendCaller)]
    assert len(resets) == (0 if draining else 1)
    assert bool(node.board.flows) is draining
    more = request(data=b"more", seq=10, ack=SERVER_SEQ + 1, port=1)
    sent = to_backend(send(node, more, NoteKind.FORWARD, START + 1.1))
    assert bool(sent) is draining
