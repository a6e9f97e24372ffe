"""Agents that call flows which wait at balancers for a slot."""

import pytest
from msgspec.structs import replace

from notchhoist.flows.agent.calling import CALL_WAIT_S
from notchhoist.flows.decisions.reservations import AHEAD, DEFER_S, REST_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests.agents import (
    BALANCER,
    FRESH,
    START,
    TAG,
    accept,
    agent,
    ask,
    reply,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import (
    CODEC,
    SYN,
    head,
    request,
    with_note,
)

OTHER = "10.0.1.2"


def say(node, kind, port, now=START, host=BALANCER, wish=FRESH):
    segment = head(
        request(flags=SYN, port=port), notes.to_agent(kind, TAG, wish)
    )
    return node.on_balancer(host, segment, now)


def offer(node, port, kind, now=START, host=BALANCER):
    note = notes.to_agent(kind, TAG, FRESH)
    return node.on_balancer(
        host, with_note(request(flags=SYN, port=port), note), now
    )


def calls(effects):
    """Returns the calls as (balancer, flow)."""
    sent = [
        (item.host, CODEC.decode_request(item.datagram))
        for item in effects
        if isinstance(item, SendBalancer)
    ]
    return [
        (host, segment.flow)
        for host, segment in sent
        if notes.balancer_kind_of(segment.note) is NoteKind.CALL
    ]


def flow(port):
    return request(port=port).flow


def run(node, port, now=START):
    accept(node, port, now)
    ask(node, port, now)


def full(now=START):
    """An agent whose calls leave no room; one request is in work."""
    node = agent(slots=1)
    run(node, 1, now)
    for port in range(101, 101 + AHEAD):
        say(node, NoteKind.RESERVE, port, now, "10.0.1.9")
    return node


def test_flows_are_called_a_few_requests_ahead():
    node = full()
    assert not calls(say(node, NoteKind.RESERVE, 7))
    assert calls(reply(node, 1)) == [(BALANCER, flow(7))]
    assert not calls(node.tick(START + 0.001))


def test_a_call_keeps_a_slot():
    node = agent(slots=1)
    say(node, NoteKind.RESERVE, 7)
    assert to_balancer(offer(node, 8, NoteKind.PLACE_IF_FREE)) == [
        NoteKind.BUSY
    ]
    # The balancer may answer with a flow that it did not name.
    assert to_backend(offer(node, 9, NoteKind.PLACE_CALLED))
    assert not node.board.calls


def test_a_balancer_where_nothing_waits_any_more_frees_the_slots():
    node = agent(slots=1)
    for port in (7, 8, 9):
        say(node, NoteKind.RESERVE, port)
    assert len(node.board.calls) == 3
    assert not calls(say(node, NoteKind.NONE_PARKED, 7))
    assert to_backend(offer(node, 10, NoteKind.PLACE_IF_FREE))
    assert node.board.records.counters[Count.CALLED_IN_VAIN] == 3


def test_a_balancer_that_keeps_silent_is_called_again_later():
    """The call, its answer or the balancer is lost; others are called."""
    node = full()
    for port, host in ((7, BALANCER), (8, BALANCER), (9, OTHER)):
        say(node, NoteKind.RESERVE, port, host=host)
    assert calls(reply(node, 1)) == [(BALANCER, flow(7))]
    silent_at = START + CALL_WAIT_S
    assert calls(node.tick(silent_at)) == [(OTHER, flow(9))]
    assert not calls(node.tick(silent_at + CALL_WAIT_S))
    again = calls(node.tick(silent_at + REST_S))
    assert BALANCER in [host for host, _ in again]


def test_an_answer_that_is_late_or_doubled_is_an_ordinary_offer():
    node = agent(slots=1)
    say(node, NoteKind.RESERVE, 7)
    node.tick(START + CALL_WAIT_S)
    for _ in range(2):
        assert to_backend(offer(node, 7, NoteKind.PLACE_CALLED, START + 0.1))
    assert list(node.board.promised) == [flow(7)]


def test_whoever_is_first_in_the_queue_is_called_first():
    node = full()
    wishes = (replace(FRESH, priority=1), replace(FRESH, age_s=0.1), FRESH)
    for port, wish in zip((7, 8, 9), wishes, strict=True):
        host = OTHER if port == 7 else BALANCER
        say(node, NoteKind.RESERVE, port, host=host, wish=wish)
    assert calls(reply(node, 1)) == [(OTHER, flow(7))]


def test_reservations_are_left_to_servers_with_shorter_queues():
    """Those that wait here are late; the new one is before them."""
    node = agent(slots=1)
    late = replace(FRESH, age_s=0.7, left_s=4.0)
    for port in range(1, 6):
        accept(node, port, wish=late)
        ask(node, port, wish=late)
    assert not calls(say(node, NoteKind.RESERVE, 7))
    assert not calls(node.tick(START + 2 * DEFER_S))
    assert calls(node.tick(START + 4 * DEFER_S)) == [(BALANCER, flow(7))]


def test_late_flows_join_no_queue():
    node = agent(slots=1)
    late = replace(FRESH, age_s=0.7, left_s=4.0)
    for port in (1, 2):
        accept(node, port, wish=late)
        ask(node, port, wish=late)
    assert not calls(say(node, NoteKind.RESERVE, 7, wish=late))
    assert calls(reply(node, 1)) == [(BALANCER, flow(7))]


def test_a_flow_that_came_through_another_balancer_is_not_called():
    node = full()
    say(node, NoteKind.RESERVE, 7, host=OTHER)
    run(node, 7)
    for port in (1, 2, 7):
        assert not calls(reply(node, port))


@pytest.mark.parametrize(
    "state",
    [
        ServerState(9, evacuated=True),
        ServerState(9, draining=True),
        ServerState(9, cold_for_s=5.0, bound_per_s=1.0, bound_lasts_s=5.0),
    ],
)
def test_a_server_that_may_get_nothing_calls_nobody(state):
    node = full()
    node.on_peer(BALANCER, LoadAsk(1, state), START - 1.6)
    say(node, NoteKind.RESERVE, 7)
    assert not calls(reply(node, 1))


def test_a_zone_that_is_evacuated_after_the_call_turns_the_offer_away():
    node = agent(slots=1)
    say(node, NoteKind.RESERVE, 7)
    node.on_peer(BALANCER, LoadAsk(1, ServerState(9, evacuated=True)), START)
    assert to_balancer(offer(node, 7, NoteKind.PLACE_CALLED)) == [NoteKind.FULL]


def test_a_server_that_fails_calls_now_and_then():
    node = agent(slots=1)
    for _ in range(10):
        node.gate.times.note_failure()
    node.gate.times.news()
    assert calls(say(node, NoteKind.RESERVE, 7))
    say(node, NoteKind.NONE_PARKED, 7)
    assert not calls(say(node, NoteKind.RESERVE, 8, START + 0.1))


def test_out_of_use_no_reservation_is_kept_or_promised():
    node = full()
    node.board.uses = ALL.without(["parking"])
    say(node, NoteKind.RESERVE, 7)
    assert not node.caller.reservations.by_key
    [back] = offer(node, 8, NoteKind.PLACE_IF_FREE)
    assert not notes.tells_reserves(CODEC.decode_request(back.datagram).note)
