"""New flows that are offered on the condition that a slot is free."""

from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer
from notchhoist.flows.model.held import EXPECTED_S
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.wishes import Wish
from notchhoist.flows.tests.agents import (
    BALANCER,
    START,
    accept,
    agent,
    ask,
    reply,
    send,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, bounced, request


def offer(node, port, now=START, kind=NoteKind.PLACE_IF_FREE, **fields):
    return send(node, request(flags=SYN, port=port), kind, now, **fields)


def test_a_server_without_a_free_slot_gets_nothing():
    node = agent(slots=1)
    accept(node, 1)
    ask(node, 1)
    effects = offer(node, 2)
    assert to_balancer(effects) == [NoteKind.BUSY]
    assert not to_backend(effects)
    assert to_backend(offer(node, 2, kind=NoteKind.PLACE))


def test_what_goes_back_tells_the_load_of_that_moment():
    node = agent(slots=1)
    accept(node, 1)
    ask(node, 1)
    [back] = [e for e in offer(node, 2) if isinstance(e, SendBalancer)]
    load = notes.load_of(CODEC.decode_request(back.datagram).note)
    assert load.running == 1


def test_a_slot_is_free_again_with_the_answer():
    node = agent(slots=1)
    accept(node, 1)
    ask(node, 1)
    reply(node, 1, START + 0.02)
    assert to_backend(offer(node, 2, START + 0.02))


def test_a_slot_is_promised_to_one_flow():
    node = agent(slots=1)
    assert to_backend(offer(node, 1))
    assert to_balancer(offer(node, 2)) == [NoteKind.BUSY]


def test_a_promise_to_a_caller_that_chose_another_server_lapses():
    node = agent(slots=1)
    accept(node, 1)
    assert not to_backend(offer(node, 2, START + EXPECTED_S / 2))
    assert to_backend(offer(node, 2, START + EXPECTED_S + 0.01))


def test_a_promise_ends_with_a_flow_that_the_server_gives_back():
    node = agent(slots=1)
    offer(node, 1)
    node.on_backend(bounced(request(flags=SYN, port=1)), START)
    assert to_backend(offer(node, 2))


def test_a_copy_of_an_opening_is_not_turned_back():
    """Its own promise is what takes the slot."""
    node = agent(slots=1)
    offer(node, 1)
    assert to_backend(offer(node, 1, START + 0.01))
    accept(node, 1)
    assert to_backend(offer(node, 1, START + 0.02))


def test_a_server_that_fails_is_not_free_but_is_tried_now_and_then():
    """Failures take no time: it was always free and drew the flows of all."""
    node = agent(slots=2)
    for _ in range(10):
        node.gate.times.note_failure()
    node.gate.times.news()
    tried = [
        number
        for number in range(30)
        if to_backend(offer(node, number, START + number * 0.1))
    ]
    assert tried == [0, 10, 20]


def test_an_upload_takes_no_slot():
    node = agent(slots=1)
    offer(node, 1, kind=NoteKind.PLACE, wish=Wish(upload=True))
    assert to_backend(offer(node, 2))


def test_an_agent_that_was_told_no_slots_takes_what_comes():
    node = agent(slots=0)
    for port in (1, 2, 3):
        assert to_backend(offer(node, port))


def test_an_evacuated_server_says_that_it_is_closed_not_that_it_is_busy():
    node = agent(slots=1)
    node.on_peer(BALANCER, LoadAsk(1, ServerState(9, evacuated=True)), START)
    assert to_balancer(offer(node, 1)) == [NoteKind.FULL]


def test_an_agent_of_a_former_version_takes_the_offer_for_any_other():
    """It reads the kind by its number and passes what it does not know."""
    wish = Wish(objective_s=0.225, age_s=0.2, priority=1, left_s=2.3)
    ordinary = notes.to_agent(NoteKind.PLACE, 7, wish)
    if_free = notes.to_agent(NoteKind.PLACE_IF_FREE, 7, wish)
    kinds = NoteKind.PLACE ^ NoteKind.PLACE_IF_FREE
    assert ordinary ^ if_free == kinds << 28
