"""Tests of an agent that reports failing servers as slow.

The servers fail requests while their health checks pass.
"""

import pytest

from notchhoist.flows.model.messages import LoadAsk
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
)
from notchhoist.flows.tests.crafting import (
    ACK,
    FIN,
    RST,
    SYN,
    answer,
    request,
)


def reported_service_time_ms(node, times_s, reset_every=0):
    """Answers requests one by one; returns the reported service time, ms."""
    now = START
    for number, took_s in enumerate(times_s):
        port = 100 + number
        accept(node, port, now)
        send_request(node, port, now)
        now += took_s
        if reset_every and number % reset_every == 0:
            server_reset = answer(flags=RST, seq=SERVER_SEQ + 1, port=port)
            node.on_backend(server_reset, now)
        else:
            send_answer(node, port, now)
    node.on_peer(BALANCER, LoadAsk(3), now + 1.0)
    return node.load(now + 2.0).service_time_ms


def test_server_that_fails_half_of_its_requests_quickly_looks_slow():
    """By its mean answer time it looks twice as fast and attracts flows."""
    healthy_ms = reported_service_time_ms(agent(slots=3), [0.05] * 40)
    node = agent(slots=3)
    failing_ms = reported_service_time_ms(node, [0.05, 0.001] * 20)
    assert 49 <= healthy_ms <= 50
    assert failing_ms > 3 * healthy_ms
    assert node.board.pace_s == pytest.approx(0.05)


def test_server_that_resets_half_of_its_requests_looks_slow():
    assert (
        reported_service_time_ms(agent(slots=3), [0.05] * 40, reset_every=2)
        > 150
    )


def test_server_that_never_answers_looks_slow():
    node = agent(slots=3)
    reported_service_time_ms(node, [0.05] * 5)
    before = node.load(START + 5.0).service_time_ms
    for port in range(200, 210):
        accept(node, port, START + 6.0)
        send_request(node, port, START + 6.0)
        caller_reset = request(flags=RST, seq=10, ack=SERVER_SEQ + 1, port=port)
        send(node, caller_reset, NoteKind.FORWARD, START + 8.0)
    assert node.load(START + 9.0).service_time_ms > 3 * before


def test_server_that_recovers_no_longer_looks_slow():
    node = agent(slots=3)
    failing_ms = reported_service_time_ms(node, [0.05, 0.001] * 20)
    for port in range(300, 350):
        accept(node, port, START + 20.0)
        send_request(node, port, START + 20.0)
        send_answer(node, port, START + 20.05)
    assert node.load(START + 30.0).service_time_ms < failing_ms / 3
    outcomes = [item.outcome for item in node.board.records.decisions]
    assert outcomes.index("failing") < outcomes.index("well again")


def test_quick_answers_on_another_address_are_no_failures():
    """Typical times differ by service address.

    Requests that only test a route take 1.5 ms where others take 44 ms.
    """
    node = agent(slots=3)
    for number in range(40):
        service_port = 443 if number % 2 else 8443
        took_s = 0.0015 if number % 2 else 0.044
        now = START + number
        fields = {"port": 400 + number, "service_port": service_port}
        syn = request(flags=SYN, **fields)
        send(node, syn, NoteKind.PLACE, now)
        accepted = answer(flags=SYN | ACK, seq=SERVER_SEQ, ack=1, **fields)
        node.on_backend(accepted, now)
        data = request(data=b"x", seq=1, ack=SERVER_SEQ + 1, **fields)
        send(node, data, NoteKind.FORWARD, now)
        done = answer(data=b"y", seq=SERVER_SEQ + 1, ack=2, **fields)
        node.on_backend(done, now + took_s)
    assert node.request_gate.answer_times.failing < 0.05


def test_one_reset_request_limits_the_flows_of_a_server():
    """Each further reset breaks a request that must not be sent again."""
    node = agent(slots=2)
    accept(node, 1)
    send_request(node, 1)
    node.on_backend(answer(flags=RST, seq=SERVER_SEQ + 1, port=1), START)
    assert node.request_gate.answer_times.is_failing
    free = node.offers.free_slots.has_free_slot
    offered = [free(START + tick / 10) for tick in range(30)]
    assert sum(offered) == 3


def test_reset_after_the_server_closed_the_flow_is_no_failure():
    """Data that crosses the server's close is reset by a healthy server."""
    node = agent(slots=2)
    accept(node, 1)
    node.on_backend(answer(flags=FIN, seq=SERVER_SEQ + 1, port=1), START)
    send_request(node, 1)
    node.on_backend(answer(flags=RST, seq=SERVER_SEQ + 2, port=1), START)
    assert not node.request_gate.answer_times.is_failing
