"""Tests of conditional offers: a new flow is taken only if a slot is free."""

from notchhoist.flows.model import notes
from notchhoist.flows.model.backend_flows import EXPECTED_REQUEST_S
from notchhoist.flows.model.effects import SendBalancer
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.tests.agent_harness import (
    BALANCER,
    START,
    accept,
    agent,
    send,
    send_answer,
    send_request,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, bounced, request


def offer(node, port, now=START, kind=NoteKind.PLACE_IF_FREE, **fields):
    return send(node, request(flags=SYN, port=port), kind, now, **fields)


def test_server_without_a_free_slot_gets_no_conditional_offer():
    node = agent(slots=1)
    accept(node, 1)
    send_request(node, 1)
    effects = offer(node, 2)
    assert to_balancer(effects) == [NoteKind.BUSY]
    assert not to_backend(effects)
    assert to_backend(offer(node, 2, kind=NoteKind.PLACE))


def test_returned_packet_reports_the_current_load():
    node = agent(slots=1)
    accept(node, 1)
    send_request(node, 1)
    [back] = [e for e in offer(node, 2) if isinstance(e, SendBalancer)]
    load = notes.load_of(CODEC.decode_request(back.datagram).note)
    assert load.running == 1


def test_slot_is_free_again_after_the_answer():
    node = agent(slots=1)
    accept(node, 1)
    send_request(node, 1)
    send_answer(node, 1, START + 0.02)
    assert to_backend(offer(node, 2, START + 0.02))


def test_slot_is_reserved_for_one_flow():
    node = agent(slots=1)
    assert to_backend(offer(node, 1))
    assert to_balancer(offer(node, 2)) == [NoteKind.BUSY]


def test_reservation_expires_if_the_caller_chose_another_server():
    node = agent(slots=1)
    accept(node, 1)
    assert not to_backend(offer(node, 2, START + EXPECTED_REQUEST_S / 2))
    assert to_backend(offer(node, 2, START + EXPECTED_REQUEST_S + 0.01))


def test_reservation_ends_when_the_server_returns_the_flow():
    node = agent(slots=1)
    offer(node, 1)
    node.on_backend(bounced(request(flags=SYN, port=1)), START)
    assert to_backend(offer(node, 2))


def test_retransmitted_opening_is_not_returned():
    """The slot is taken by the flow's own reservation."""
    node = agent(slots=1)
    offer(node, 1)
    assert to_backend(offer(node, 1, START + 0.01))
    accept(node, 1)
    assert to_backend(offer(node, 1, START + 0.02))


def test_failing_server_counts_as_busy_but_gets_some_flows():
    """Guards against a failing server that attracts all new flows.

    Failures take little time, so it always had a free slot.
    """
    node = agent(slots=2)
    for _ in range(10):
        node.request_gate.answer_times.note_failure()
    node.request_gate.answer_times.pop_state_change()
    tried = [
        number
        for number in range(30)
        if to_backend(offer(node, number, START + number * 0.1))
    ]
    assert tried == [0, 10, 20]


def test_upload_takes_no_slot():
    node = agent(slots=1)
    offer(node, 1, kind=NoteKind.PLACE, hints=RequestHints(upload=True))
    assert to_backend(offer(node, 2))


def test_agent_without_a_slot_count_accepts_all_offers():
    node = agent(slots=0)
    for port in (1, 2, 3):
        assert to_backend(offer(node, port))


def test_evacuated_server_reports_full_instead_of_busy():
    node = agent(slots=1)
    node.on_peer(BALANCER, LoadAsk(1, ServerState(9, evacuated=True)), START)
    assert to_balancer(offer(node, 1)) == [NoteKind.AT_COLD_BOUND]


def test_conditional_offer_differs_from_others_in_its_kind_only():
    """An agent of an earlier version handles it as an ordinary offer.

    Such an agent reads the kind by its number and ignores unknown kinds.
    """
    wish = RequestHints(
        objective_s=0.225, waited_s=0.2, priority=1, remaining_s=2.3
    )
    ordinary = notes.to_agent(NoteKind.PLACE, 7, wish)
    if_free = notes.to_agent(NoteKind.PLACE_IF_FREE, 7, wish)
    kinds = NoteKind.PLACE ^ NoteKind.PLACE_IF_FREE
    assert ordinary ^ if_free == kinds << 28
