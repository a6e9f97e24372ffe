"""A flow opens at a single server where one is enough."""

from notchhoist.flows.decisions.zone_distance import ACCEPT_WAIT_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.tests.balancer_harness import (
    balancer,
    packets,
    resets,
    send_agent_note,
    tick_with_silent_hosts,
)
from notchhoist.flows.tests.crafting import RST, SYN, request, with_note

OVERDUE_S = ACCEPT_WAIT_S + 0.01


def offer_flow(node, now=0.0):
    syn = request(flags=SYN)
    [(host, _)] = packets(node.on_caller(syn, now))
    return syn, host


def test_a_retransmitted_opening_is_not_offered_while_an_answer_may_come():
    node = balancer()
    syn, _ = offer_flow(node)
    assert not packets(node.on_caller(syn, ACCEPT_WAIT_S / 2))


def test_a_retransmitted_opening_is_offered_after_an_answer_is_overdue():
    node = balancer()
    syn, first = offer_flow(node)
    [(second, _)] = packets(node.on_caller(syn, OVERDUE_S))
    assert second != first


def test_a_flow_is_not_offered_once_its_caller_has_given_up():
    """Regression: a balancer that resumed after a stall offered it again."""
    node = balancer()
    syn, _ = offer_flow(node)
    effects = node.tick(ATTEMPT_TIMEOUT_S)
    assert not packets(effects)
    assert not resets(effects)
    assert not node.board.openings
    assert packets(node.on_caller(syn, ATTEMPT_TIMEOUT_S + 0.1))


def test_data_of_the_caller_shows_that_the_only_server_has_accepted():
    """The report of the acceptance was lost; the flow was opened twice."""
    node = balancer()
    _, host = offer_flow(node)
    [(held, _)] = packets(node.on_caller(request(seq=1, data=b"x"), 0.01))
    assert held == host
    assert not packets(node.tick(OVERDUE_S))
    assert not node.board.openings


def test_a_server_that_had_no_free_slot_has_not_accepted():
    node = balancer()
    syn, first = offer_flow(node)
    busy = notes.to_balancer(NoteKind.BUSY, Load(1, 1))
    [(second, _)] = packets(node.on_agent(first, with_note(syn, busy), 0.001))
    node.on_caller(request(seq=1, data=b"x"), 0.01)
    assert node.board.flows[syn.flow].accepted
    assert node.board.flows[syn.flow].server.entry.host == second


def test_no_acceptance_is_inferred_if_two_servers_may_have_accepted():
    node = balancer()
    syn, _ = offer_flow(node)
    assert packets(node.tick(OVERDUE_S))
    node.on_caller(request(seq=1, data=b"x"), OVERDUE_S + 0.01)
    assert syn.flow in node.board.openings


def test_no_acceptance_is_inferred_from_a_reset():
    node = balancer()
    syn, _ = offer_flow(node)
    node.on_caller(request(flags=RST, seq=1), 0.01)
    assert syn.flow in node.board.openings


def test_a_redundant_acceptance_is_counted():
    node = balancer()
    syn, first = offer_flow(node)
    [(second, _)] = packets(node.tick(OVERDUE_S))
    send_agent_note(node, second, syn, NoteKind.ACCEPTED, OVERDUE_S + 0.001)
    send_agent_note(node, first, syn, NoteKind.ACCEPTED, OVERDUE_S + 0.002)
    assert node.board.records.counters[Count.ACCEPTED_IN_VAIN] == 1
    assert node.board.flows[syn.flow].server.entry.host == second


def resets_with_unreachable_host(acceptance_reported, heard_later=False):
    """Returns the number of resets of a flow whose host is unreachable.

    Its caller goes on sending, and the other agents answer all the time.

    Args:
        acceptance_reported: Its agent has reported the acceptance.
        heard_later: Its agent was heard again after it got the data.
    """
    node = balancer()
    syn, unreachable = offer_flow(node)
    data = request(seq=1, data=b"x")
    found = []
    node.on_caller(data, 0.01)
    if acceptance_reported:
        send_agent_note(node, unreachable, syn, NoteKind.ACCEPTED, 0.012)
    if heard_later:
        node.on_peer(unreachable, LoadTell(1, 0, 0, False), 0.15)
    for step in range(1, 41):
        now = step / 20
        for host in node.board.by_host:
            if host != unreachable:
                node.on_peer(host, LoadTell(0, 0, 0, False), now)
        if now in (0.2, 0.6, 1.0):
            found += resets(node.on_caller(data, now))
        found += resets(tick_with_silent_hosts(node, now))
    assert node.board.by_host[unreachable].lost
    assert found or syn.flow in node.board.searches
    return len(found)


def test_an_acceptance_alone_resets_nothing_if_the_host_is_unreachable():
    """Another balancer may have offered the flow to a server that is up.

    Regression: a flow was reset for the loss of a server that never had it.
    """
    assert resets_with_unreachable_host(acceptance_reported=False) == 0
    assert resets_with_unreachable_host(acceptance_reported=True) == 0


def test_a_flow_that_a_lost_server_had_is_reset():
    assert resets_with_unreachable_host(True, heard_later=True) == 1
