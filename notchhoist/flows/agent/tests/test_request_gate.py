"""Tests of an agent's slots: requests that are served, queued or refused."""

import pytest

from notchhoist.flows.decisions.queued_requests import (
    DEFAULT_WAIT_MAX_S,
    OPEN_FLOW_WAIT_OBJECTIVES,
)
from notchhoist.flows.model.effects import (
    SendCaller,
)
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import (
    DEFAULT_HINTS,
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
    FIN,
    SYN,
    answer,
    request,
)


def test_requests_beyond_the_slots_wait_for_an_answer():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    assert to_backend(send_request(node, 1))
    assert not to_backend(send_request(node, 2))
    assert to_backend(send_answer(node, 1, START + 0.05))


def test_request_that_can_be_on_time_goes_before_a_late_one():
    node = agent(slots=1)
    late = RequestHints(objective_s=0.225, waited_s=0.7, priority=2)
    for port in (1, 3):
        accept(node, port)
    accept(node, 2, hints=late)
    send_request(node, 1)
    send_request(node, 2, hints=late)
    send_request(node, 3, START + 0.01)
    [effect] = to_backend(send_answer(node, 1, START + 0.02))
    assert CODEC.decode_request(effect.datagram).flow == request(port=3).flow


def test_higher_priority_goes_first():
    node = agent(slots=1)
    high = RequestHints(objective_s=0.225, priority=1)
    for port in (1, 2):
        accept(node, port)
    accept(node, 3, hints=high)
    send_request(node, 1)
    send_request(node, 2)
    send_request(node, 3, hints=high)
    [effect] = to_backend(send_answer(node, 1, START + 0.02))
    assert CODEC.decode_request(effect.datagram).flow == request(port=3).flow


def test_expired_request_of_an_unopened_flow_is_refused():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2)
    effects = node.tick(START + DEFAULT_WAIT_MAX_S)
    assert to_balancer(effects) == [NoteKind.REFUSED]
    assert not to_backend(effects)


def test_expired_request_on_an_open_flow_is_released():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 2)
    send_answer(node, 2)
    send_request(node, 1)
    send_request(node, 2, seq=10)
    assert not to_balancer(node.tick(START + DEFAULT_WAIT_MAX_S))
    effects = node.tick(
        START + OPEN_FLOW_WAIT_OBJECTIVES * DEFAULT_HINTS.objective_s
    )
    assert not to_balancer(effects)
    assert to_backend(effects)


def test_late_request_on_an_open_flow_takes_no_slot_from_one_on_time():
    """Guards against late requests that displace those on time.

    Forwarded after 0.9 s, late requests took half of the slots in a burst.
    """
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
        send_request(node, port)
        send_answer(node, port, START + 0.01)
    send_request(node, 1, seq=10)
    send_request(node, 2, seq=10)
    assert not to_backend(node.tick(START + 1.0))
    accept(node, 3, START + 1.0)
    send_request(node, 3, START + 1.0)
    done = answer(data=b"y", seq=SERVER_SEQ + 2, ack=19, port=1)
    node.on_backend(done, START + 1.01)
    assert crafting.request(port=3).flow in node.board.active
    assert crafting.request(port=2).flow in node.board.waiting


def test_retransmissions_of_a_queued_request_are_forwarded_once():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    for _ in range(3):
        send_request(node, 2)
    assert len(to_backend(send_answer(node, 1))) == 1


def test_packet_of_an_unconfirmed_flow_does_not_wait_for_a_slot():
    """Guards against searches that take as long as the queue."""
    node = agent(slots=1, known=False)
    accept(node, 1)
    send_request(node, 1)
    lost = request(data=b"x", port=9, ack=77)
    assert to_backend(send(node, lost, NoteKind.SAMPLE))


def test_retransmission_after_an_agent_restart_takes_no_slot():
    """Guards against slots that are held by requests already answered.

    Each was held for 10 s, so a restarted agent served almost nothing.
    """
    node = agent(slots=1, known=False)
    acknowledged = answer(flags=ACK, ack=10, port=1)
    node.on_backend(acknowledged, START)
    send_request(node, 1)
    assert not node.board.active


def test_slot_whose_answer_never_comes_is_freed():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2, START + 1.0)
    assert to_backend(node.tick(START + 1.6))


def test_reset_flow_frees_its_slot():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2)
    reset = request(flags=2, port=1, ack=SERVER_SEQ + 1)
    assert len(to_backend(send(node, reset, NoteKind.FORWARD))) == 2


def test_refused_flow_never_reaches_its_server():
    """Guards against a reset of a flow that is open at its server.

    The data of a refused flow reached the server and opened the flow there.
    """
    node = agent(slots=1, known=False)
    nearly_expired = RequestHints(
        objective_s=0.225, waited_s=0.7, remaining_s=0.1
    )
    accept(node, 1)
    accept(node, 2, hints=nearly_expired)
    send_request(node, 1)
    handshake_end = request(ack=SERVER_SEQ + 1, port=2)
    assert not to_backend(
        send(node, handshake_end, NoteKind.FORWARD, hints=nearly_expired)
    )
    assert to_balancer(node.tick(START + 0.1)) == [NoteKind.REFUSED]
    effects = send_request(node, 2, START + 0.11)
    assert not to_backend(effects)
    assert [type(item) for item in effects] == [SendCaller]
    again = answer(flags=SYN | ACK, seq=SERVER_SEQ, ack=1, port=2)
    assert not node.on_backend(again, START + 0.2)


def test_abandoned_request_leaves_the_queue():
    """Guards against queues of abandoned requests.

    After a loss of power the callers of half of a queue had already left.
    """
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2)
    end = request(flags=FIN | ACK, seq=10, ack=SERVER_SEQ + 1, port=2)
    effects = send(node, end, NoteKind.FORWARD, START + 0.5)
    assert [type(item) for item in effects] == [SendCaller]
    assert not node.board.waiting
    assert not to_backend(send_answer(node, 1, START + 0.6))


def test_caller_that_closes_along_with_its_request_is_served_last():
    node = agent(slots=1)
    for port in (1, 2, 3):
        accept(node, port)
    send_request(node, 1)
    send_request(node, 2)
    end = request(flags=FIN | ACK, seq=10, ack=SERVER_SEQ + 1, port=2)
    assert not send(node, end, NoteKind.FORWARD, START + 0.001)
    assert not send(node, end, NoteKind.FORWARD, START + 0.2)
    send_request(node, 3, START + 0.01)
    first = to_backend(send_answer(node, 1, START + 0.02))
    assert CODEC.decode_request(first[0].datagram).flow == request(port=3).flow
    assert len(to_backend(send_answer(node, 3, START + 0.06))) == 2


def test_report_with_the_opening_packet_holds_for_the_request():
    """Guards against a retry that counts as a new request.

    Another balancer, which did not know its age, forwarded the request.
    """
    node = agent(slots=1)
    late = RequestHints(objective_s=0.225, waited_s=0.7, remaining_s=1.2)
    accept(node, 1)
    accept(node, 2, hints=late)
    send_request(node, 1)
    send_request(
        node,
        2,
        START + 0.1,
        hints=RequestHints(objective_s=0.225, remaining_s=2.0),
    )
    [request_held] = node.board.waiting.values()
    assert request_held.hints.waited_s == pytest.approx(0.8)
    assert request_held.expires_at == pytest.approx(START + 1.2)
