"""A flow opens at one server where one is enough."""

from notchhoist.flows.decisions.reaching import ACCEPT_WAIT_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests.balancing import balancer, packets, tell
from notchhoist.flows.tests.crafting import RST, SYN, request, with_note

LATE_S = ACCEPT_WAIT_S + 0.01


def begin(node, now=0.0):
    syn = request(flags=SYN)
    [(host, _)] = packets(node.on_caller(syn, now))
    return syn, host


def test_a_copy_of_an_opening_is_not_offered_while_an_answer_may_come():
    node = balancer()
    syn, _ = begin(node)
    assert not packets(node.on_caller(syn, ACCEPT_WAIT_S / 2))


def test_a_copy_of_an_opening_is_offered_once_no_answer_has_come():
    node = balancer()
    syn, first = begin(node)
    [(second, _)] = packets(node.on_caller(syn, LATE_S))
    assert second != first


def test_a_caller_that_goes_on_shows_who_has_accepted():
    """Word of the acceptance was lost; the flow was opened a second time."""
    node = balancer()
    _, host = begin(node)
    [(held, _)] = packets(node.on_caller(request(seq=1, data=b"x"), 0.01))
    assert held == host
    assert not packets(node.tick(LATE_S))
    assert not node.board.openings


def test_a_server_that_had_no_free_slot_has_not_accepted():
    node = balancer()
    syn, first = begin(node)
    busy = notes.to_balancer(NoteKind.BUSY, Load(1, 1))
    [(second, _)] = packets(node.on_agent(first, with_note(syn, busy), 0.001))
    node.on_caller(request(seq=1, data=b"x"), 0.01)
    assert node.board.flows[syn.flow].accepted
    assert node.board.flows[syn.flow].server.entry.host == second


def test_where_two_may_have_accepted_the_caller_shows_nothing():
    node = balancer()
    syn, _ = begin(node)
    assert packets(node.tick(LATE_S))
    node.on_caller(request(seq=1, data=b"x"), LATE_S + 0.01)
    assert syn.flow in node.board.openings


def test_a_caller_that_resets_shows_nothing():
    node = balancer()
    syn, _ = begin(node)
    node.on_caller(request(flags=RST, seq=1), 0.01)
    assert syn.flow in node.board.openings


def test_a_second_acceptance_is_counted():
    node = balancer()
    syn, first = begin(node)
    [(second, _)] = packets(node.tick(LATE_S))
    tell(node, second, syn, NoteKind.TAKEN, LATE_S + 0.001)
    tell(node, first, syn, NoteKind.TAKEN, LATE_S + 0.002)
    assert node.board.records.counters[Count.ACCEPTED_IN_VAIN] == 1
    assert node.board.flows[syn.flow].server.entry.host == second
