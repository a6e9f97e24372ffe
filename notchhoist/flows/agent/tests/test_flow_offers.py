"""New flows that a backend server must not get: evacuated, cold, reborn."""

import pytest

from notchhoist.flows.agent.bearing import DEFER_MAX_S, Limits
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer, SendPeer
from notchhoist.flows.model.messages import LoadAsk, LoadTell, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agents import (
    BALANCER,
    START,
    accept,
    ask,
    send,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, bounced, request

LIMITS = Limits(evacuate_s=5.0, cold_overage=1.5, cold_slack=5.0)


def agent(started=START - 100.0):
    return make_agent(crafting.SERVICE, CODEC, started, limits=LIMITS)


def told(node, now=START, slots=2, **state):
    state.setdefault("revision", 7)
    return node.on_peer(BALANCER, LoadAsk(slots, ServerState(**state)), now)


def open_flow(node, port, now=START, kind=NoteKind.PLACE):
    return send(node, request(flags=SYN, port=port), kind, now)


def pause_of(effects):
    [back] = [item for item in effects if isinstance(item, SendBalancer)]
    note = CODEC.decode_request(back.datagram).note
    assert notes.kind_of(note) is NoteKind.FULL
    return notes.pause_of(note)


def test_an_evacuated_zone_gets_nothing_new_and_keeps_what_it_has():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    told(node, evacuated=True)
    assert pause_of(open_flow(node, 2)) > 0
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.HELD))


def test_an_older_word_does_not_end_an_evacuation():
    node = agent()
    told(node, revision=9, evacuated=True)
    told(node, revision=8, evacuated=False)
    assert pause_of(open_flow(node, 2)) > 0
    told(node, revision=10, evacuated=False)
    assert to_backend(open_flow(node, 3))


def test_copies_of_an_opening_that_was_not_accepted_are_turned_away():
    node = agent()
    open_flow(node, 2)
    told(node, evacuated=True)
    assert pause_of(open_flow(node, 2, START + 0.01)) > 0


def test_what_has_not_opened_in_time_does_not_open_any_more():
    """It would reach the server after the bound of the evacuation."""
    node = agent()
    accept(node, 2)
    accept(node, 3)
    told(node, evacuated=True, evacuated_for_s=1.0)
    assert to_backend(ask(node, 2, START + 0.1))
    assert not to_backend(ask(node, 3, START + 2.0))


def test_what_waits_for_a_slot_is_refused_once_the_zone_is_overdue():
    node = agent()
    told(node, slots=1)
    for port in (1, 2):
        accept(node, port)
        ask(node, port)
    assert len(node.board.waiting) == 1
    told(node, START, revision=8, evacuated=True)
    node.tick(START + 0.1)
    assert len(node.board.waiting) == 1
    effects = node.tick(START + 2.6)
    assert to_balancer(effects) == [NoteKind.REFUSED]
    assert not node.board.waiting


def test_a_cold_server_gets_what_it_bears_in_each_second():
    node = agent()
    told(node, cold_for_s=2.0, bound_per_s=6.0, bound_lasts_s=2.0)
    taken = [
        port
        for port in range(40)
        if to_backend(open_flow(node, 1000 + port, START + port * 0.01))
    ]
    assert len(taken) == 6
    assert to_backend(open_flow(node, 2000, START + 1.06))


def test_a_copy_of_an_opening_counts_once():
    node = agent()
    told(node, cold_for_s=2.0, bound_per_s=1.0, bound_lasts_s=2.0)
    assert to_backend(open_flow(node, 1))
    assert to_backend(open_flow(node, 1, START + 0.01))
    assert pause_of(open_flow(node, 2, START + 0.02)) > 0.9


def test_a_server_that_is_warm_gets_everything():
    node = agent()
    told(node, cold_for_s=0.5, bound_per_s=1.0, bound_lasts_s=2.0)
    open_flow(node, 1)
    assert to_backend(open_flow(node, 2, START + 0.6))


def test_an_agent_that_knows_nothing_waits_for_word_of_a_bounded_server():
    node = agent()
    effects = open_flow(node, 1, kind=NoteKind.PLACE_BOUNDED)
    [question] = [item for item in effects if isinstance(item, SendPeer)]
    assert question.message == LoadTell(0, 0, 0, False, 0)
    assert not to_backend(effects)
    effects = told(node, START + 0.004, cold_for_s=1.0, bound_per_s=6.0)
    assert len(to_backend(effects)) == 1


def test_without_word_it_takes_the_least_that_any_bound_allows():
    node = agent()
    for port in range(10):
        open_flow(node, port + 1, kind=NoteKind.PLACE_BOUNDED)
    effects = node.tick(START + DEFER_MAX_S)
    assert len(to_backend(effects)) == 4
    assert to_balancer(effects) == [NoteKind.FULL] * 6


def test_an_agent_that_knows_nothing_serves_an_unbounded_server_at_once():
    assert to_backend(open_flow(agent(), 1))


@pytest.mark.parametrize("noticed", ["told", "bounced", "checked"])
def test_a_server_that_started_again_is_cold_before_its_entry_says_so(noticed):
    node = agent()
    told(node, born_ms=1, bound_per_s=1.0, bound_lasts_s=2.0)
    accept(node, 1, START - 3.0)
    ask(node, 1, START - 3.0)
    if noticed == "told":
        told(node, revision=8, born_ms=2, bound_per_s=1.0, bound_lasts_s=2.0)
    elif noticed == "bounced":
        node.on_backend(bounced(request(data=b"x", seq=9, port=1)), START)
    else:
        node.on_checked(False, START)
        node.on_checked(True, START)
    taken = [port for port in (5, 6) if to_backend(open_flow(node, port))]
    assert taken == [5]


def test_flows_of_the_former_incarnation_are_handed_over_to_be_judged():
    """One may have opened at the new one before word of it came."""
    node = agent()
    told(node, born_ms=1, slots=1)
    for port in (1, 2):
        accept(node, port)
        ask(node, port)
    assert (len(node.board.active), len(node.board.waiting)) == (1, 1)
    effects = told(node, revision=8, born_ms=2)
    assert NoteKind.REFUSED in to_balancer(effects)
    assert not node.board.active
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.HELD))
    back = bounced(request(data=b"more", seq=10, ack=5001, port=1))
    assert to_balancer(node.on_backend(back, START)) == [NoteKind.RETURNED]


def test_a_clock_that_goes_back_is_another_incarnation():
    node = agent()
    told(node, born_ms=5000)
    told(node, revision=8, born_ms=4000)
    assert node.board.records.counters["backend_reborn"] == 1


def test_an_entry_without_a_start_time_changes_nothing():
    node = agent()
    told(node, born_ms=5000)
    told(node, revision=8, born_ms=0)
    assert node.board.records.counters["backend_reborn"] == 0


def test_a_question_of_an_earlier_version_is_answered():
    [answer] = agent().on_peer(BALANCER, LoadAsk(3), START)
    assert answer.message.state_revision == 0


def test_a_server_beside_an_agent_that_has_just_started_counts_as_cold():
    """Balancers took it for the dead one whose entry was still there."""
    node = agent(started=START - 0.2)
    told(node, bound_per_s=20.0, bound_lasts_s=2.0, cold_for_s=0.0)
    taken = sum(bool(to_backend(open_flow(node, n + 1))) for n in range(40))
    assert taken == 14
    later = START + 1.9
    taken = sum(
        bool(to_backend(open_flow(node, 50 + n, later))) for n in range(40)
    )
    assert taken == 40
