"""An agent: servers that fail behind a good health check look slow."""

import pytest

from notchhoist.flows.model.messages import LoadAsk
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.agents import (
    BALANCER,
    SERVER_SEQ,
    START,
    accept,
    agent,
    ask,
    reply,
    send,
)
from notchhoist.flows.tests.crafting import (
    ACK,
    FIN,
    RST,
    SYN,
    answer,
    request,
)


def play_answers(node, times_s, reset_every=0):
    """Lets one request after the other be answered; returns the told pace."""
    now = START
    for number, took_s in enumerate(times_s):
        port = 100 + number
        accept(node, port, now)
        ask(node, port, now)
        now += took_s
        if reset_every and number % reset_every == 0:
            broken = answer(flags=RST, seq=SERVER_SEQ + 1, port=port)
            node.on_backend(broken, now)
        else:
            reply(node, port, now)
    node.on_peer(BALANCER, LoadAsk(3), now + 1.0)
    return node.load(now + 2.0).pace_ms


def test_a_server_that_fails_half_of_its_requests_at_once_looks_slow():
    """It looked twice as fast and drew ever more flows."""
    well = play_answers(agent(slots=3), [0.05] * 40)
    node = agent(slots=3)
    ill = play_answers(node, [0.05, 0.001] * 20)
    assert 49 <= well <= 50
    assert ill > 3 * well
    assert node.board.pace_s == pytest.approx(0.05)


def test_a_server_that_resets_half_of_its_requests_looks_slow():
    assert play_answers(agent(slots=3), [0.05] * 40, reset_every=2) > 150


def test_requests_that_were_never_answered_make_a_server_look_slow():
    node = agent(slots=3)
    play_answers(node, [0.05] * 5)
    before = node.load(START + 5.0).pace_ms
    for port in range(200, 210):
        accept(node, port, START + 6.0)
        ask(node, port, START + 6.0)
        gone = request(flags=RST, seq=10, ack=SERVER_SEQ + 1, port=port)
        send(node, gone, NoteKind.HELD, START + 8.0)
    assert node.load(START + 9.0).pace_ms > 3 * before


def test_a_server_that_is_well_again_looks_well_again():
    node = agent(slots=3)
    ill = play_answers(node, [0.05, 0.001] * 20)
    for port in range(300, 350):
        accept(node, port, START + 20.0)
        ask(node, port, START + 20.0)
        reply(node, port, START + 20.05)
    assert node.load(START + 30.0).pace_ms < ill / 3
    outcomes = [item.outcome for item in node.board.records.decisions]
    assert outcomes.index("failing") < outcomes.index("well again")


def test_quick_answers_on_another_address_are_no_failures():
    """Requests that only test a route take 1.5 ms where others take 44 ms."""
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
        send(node, data, NoteKind.HELD, now)
        done = answer(data=b"y", seq=SERVER_SEQ + 1, ack=2, **fields)
        node.on_backend(done, now + took_s)
    assert node.gate.times.failing < 0.05


def test_one_reset_of_a_request_is_enough_to_try_a_server_with_few():
    """Each further one broke a request that may not be sent again."""
    node = agent(slots=2)
    accept(node, 1)
    ask(node, 1)
    node.on_backend(answer(flags=RST, seq=SERVER_SEQ + 1, port=1), START)
    assert node.gate.times.is_failing
    free = node.offers.vacancies.has_free
    tries = [free(START + tick / 10) for tick in range(30)]
    assert sum(tries) == 3


def test_data_that_crosses_the_end_of_its_flow_says_nothing_of_the_server():
    node = agent(slots=2)
    accept(node, 1)
    node.on_backend(answer(flags=FIN, seq=SERVER_SEQ + 1, port=1), START)
    ask(node, 1)
    node.on_backend(answer(flags=RST, seq=SERVER_SEQ + 2, port=1), START)
    assert not node.gate.times.is_failing
