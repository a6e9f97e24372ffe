"""Tests that idle flows are reset when their server exits, and no others.

A reset that comes only in reply to the next request costs that request.
"""

import pytest

from notchhoist.flows.agent.backend_watch import UNANNOUNCED_DRAIN_S
from notchhoist.flows.agent.idle_survey import (
    SILENCE_CHECK_S,
    SURVEY_INTERVAL_MIN_S,
)
from notchhoist.flows.model.effects import CheckBackend, SendCaller
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.agent_harness import (
    BALANCER,
    SERVER_SEQ,
    START,
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
    RST,
    SYN,
    answer,
    bounced,
    request,
)

LATER = START + 0.5
NEXT_REQUEST = request(data=b"more", seq=10, ack=SERVER_SEQ + 2, port=1)


def agent_with_idle_flows(ports, **fields):
    """Returns an agent with flows on which the server has answered."""
    node = agent(**fields)
    for port in ports:
        accept(node, port)
        send_request(node, port)
        send_answer(node, port)
    return node


def ports_of(items):
    """Returns the caller ports of packets in either direction."""
    found = []
    for item in items:
        caller = isinstance(item, SendCaller)
        decode = CODEC.decode_answer if caller else CODEC.decode_request
        flow = decode(item.datagram).flow
        found.append(int.from_bytes(flow[4:6], "big"))
    return found


def reset_ports(effects):
    return ports_of(e for e in effects if isinstance(e, SendCaller))


def checks(effects):
    return [item for item in effects if isinstance(item, CheckBackend)]


def sample_of(node, port):
    [sample] = [
        held.last_packet
        for held in node.board.flows.values()
        if held.last_packet.flow[4:6] == port.to_bytes(2, "big")
    ]
    return sample


def test_returned_flow_makes_the_agent_probe_all_idle_flows():
    """Guards against idle flows that outlive a restart of their server.

    The server had restarted between two packets of one flow, and the other
    flows were not reset.
    """
    node = agent_with_idle_flows([1, 2, 3])
    send(node, NEXT_REQUEST, NoteKind.FORWARD, LATER)
    assert reset_ports(node.on_backend(bounced(NEXT_REQUEST), LATER)) == [1]
    asked = to_backend(node.tick(LATER))
    assert sorted(ports_of(asked)) == [2, 3]
    returned = bounced(sample_of(node, 2))
    assert reset_ports(node.on_backend(returned, LATER)) == [2]
    more = request(data=b"m", seq=10, ack=SERVER_SEQ + 2, port=3)
    assert to_backend(send(node, more, NoteKind.FORWARD, LATER))
    assert node.board.records.counters["reset_at_rest"] == 1


def test_flow_that_the_server_never_showed_is_returned_not_reset():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    effects = node.on_backend(bounced(NEXT_REQUEST), LATER)
    assert not reset_ports(effects)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_returned_opening_packet_resets_no_flow():
    node = agent_with_idle_flows([1])
    retransmission = request(flags=SYN, port=1)
    assert not reset_ports(node.on_backend(bounced(retransmission), LATER))


def test_reopened_flow_is_not_reset():
    """Guards against a reset of a flow that is open at another server.

    Another server may have accepted it, too, and the caller may have chosen
    that one.
    """
    node = agent_with_idle_flows([1])
    again = answer(flags=SYN | ACK, seq=SERVER_SEQ + 7_000_000, ack=1, port=1)
    node.on_backend(again, LATER)
    assert not reset_ports(node.on_backend(bounced(NEXT_REQUEST), LATER))


def test_flow_with_a_queued_request_gets_no_flow_probe():
    node = agent_with_idle_flows([1, 2], slots=1)
    send_request(node, 1, LATER, seq=10)
    send_request(node, 2, LATER, seq=10)
    assert len(node.board.waiting) == 1
    node.idle_survey.survey("test")
    assert ports_of(to_backend(node.tick(LATER))) == [1]


def test_silent_server_with_idle_flows_is_checked():
    node = agent_with_idle_flows([1])
    assert not checks(node.tick(START + SILENCE_CHECK_S - 0.01))
    effects = node.tick(START + SILENCE_CHECK_S)
    assert len(checks(effects)) == 1
    assert ports_of(to_backend(effects)) == [1]
    assert reset_ports(
        node.on_backend_checked(False, START + SILENCE_CHECK_S)
    ) == [1]


def test_server_that_is_heard_or_has_no_flows_is_not_checked():
    node = agent_with_idle_flows([1])
    send_answer(node, 1, START + 0.9)
    assert not checks(node.tick(START + SILENCE_CHECK_S + 0.5))
    assert not checks(agent().tick(START + 10.0))


def test_surveys_that_find_nothing_back_off():
    """Guards against constant surveys: failing servers often reset flows."""
    node = agent_with_idle_flows([1, 2])
    for step in range(100):
        node.idle_survey.survey("test")
        node.tick(LATER + step / 10)
    assert node.board.records.counters["surveys"] == 5


def test_survey_that_finds_an_ended_flow_resets_the_back_off():
    """Guards against a long interval after a survey that found an ended flow.

    The interval was set by the survey before it, which had found nothing.
    """
    node = agent_with_idle_flows([1, 2])
    for at in (0.0, 0.7, 2.0):
        node.idle_survey.survey("test")
        node.tick(LATER + at)
    assert node.board.records.counters["surveys"] == 3
    node.on_backend(bounced(sample_of(node, 2)), LATER + 2.01)
    node.tick(LATER + 2.0 + SURVEY_INTERVAL_MIN_S + 0.01)
    assert node.board.records.counters["surveys"] == 4


def test_reset_by_the_server_makes_the_agent_probe_other_flows():
    """Guards against requests that are lost after a quick server restart.

    The restarted server answered the next request of each flow with a reset.
    """
    node = agent_with_idle_flows([1, 2])
    ended = answer(flags=RST, seq=SERVER_SEQ + 2, port=1)
    assert reset_ports(node.on_backend(ended, LATER)) == [1]
    [flow_probe] = to_backend(node.tick(LATER))
    assert CODEC.decode_request(flow_probe.datagram).size == 9
    ended = answer(flags=RST, seq=SERVER_SEQ + 2, port=2)
    assert reset_ports(node.on_backend(ended, LATER)) == [2]
    assert node.board.records.counters["reset_at_rest"] == 1


def report_state(node, revision, **fields):
    state = ServerState(revision=revision, **fields)
    return node.on_peer(BALANCER, LoadAsk(2, state), LATER)


@pytest.mark.parametrize("ended", [True, False])
def test_draining_server_has_exited_once_it_refuses_packets(ended):
    """Guards against idle flows that are not reset when their server exits.

    A draining server closes its listening socket before it exits.
    """
    node = agent_with_idle_flows([1])
    report_state(node, 7, draining=True)
    effects = node.on_backend_checked(False, LATER, ended)
    assert reset_ports(effects) == ([1] if ended else [])


def test_server_with_an_unreported_drain_keeps_its_flows():
    """Guards against resets when no balancer could report the drain.

    The store had refused the requests of the balancers.
    """
    node = agent_with_idle_flows([1])
    assert not reset_ports(node.on_backend_checked(False, LATER, ended=False))
    assert not reset_ports(
        node.on_backend_checked(False, LATER + 3.9, ended=False)
    )
    effects = node.on_backend_checked(
        False, LATER + UNANNOUNCED_DRAIN_S, ended=False
    )
    assert reset_ports(effects) == [1]


def test_refusals_by_the_previous_incarnation_do_not_count():
    """Guards against resets at the first refusal of a later server.

    The server still took packets.
    """
    node = agent_with_idle_flows([1])
    assert not reset_ports(node.on_backend_checked(False, LATER, ended=False))
    later = LATER + 2 * UNANNOUNCED_DRAIN_S
    accept(node, 2, later)
    send_request(node, 2, later)
    send_answer(node, 2, later)
    assert not reset_ports(
        node.on_backend_checked(False, later + 0.1, ended=False)
    )
    effects = node.on_backend_checked(
        False, later + 0.1 + UNANNOUNCED_DRAIN_S, ended=False
    )
    assert sorted(reset_ports(effects)) == [1, 2]


def test_one_refused_connection_resets_no_flows():
    """Guards against resets: a draining server refuses connections, too."""
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    node.watch.schedule_check(LATER)
    [check] = checks(node.tick(LATER))
    sample = CODEC.decode_request(check.packet)
    assert not sample.opens
    assert sample.size == 9
    assert not reset_ports(node.on_backend_checked(False, LATER, ended=False))


def test_queued_packet_is_no_sample():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
        send_request(node, port)
    [waiting] = node.board.waiting
    node.watch.schedule_check(LATER)
    [check] = checks(node.tick(LATER))
    assert CODEC.decode_request(check.packet).flow != waiting


def test_stopping_agent_waits_until_a_draining_server_exits():
    node = agent_with_idle_flows([1])
    assert not node.awaits_backend_exit()
    report_state(node, 7, draining=True)
    assert not node.awaits_backend_exit()
    node.stop(LATER)
    assert node.awaits_backend_exit()
    assert checks(node.tick(LATER + 0.01))
    node.on_backend_checked(False, LATER + 0.02, ended=True)
    assert not node.awaits_backend_exit()
