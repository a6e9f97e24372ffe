"""New flows go to servers with a free slot, and wait where it is best."""

from msgspec.structs import replace

from notchhoist.flows.decisions.attempts import FULL_ATTEMPTS, MOST_ATTEMPTS
from notchhoist.flows.decisions.reaching import ACCEPT_WAIT_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.fleet import ColdBound, RequestKind
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests.balancing import balancer, packets, resets
from notchhoist.flows.tests.crafting import (
    SERVICE,
    SYN,
    request,
    route,
    with_note,
)

ONCE = [route(RequestKind.ONCE_ONLY)]


def kind_of(segment):
    return notes.kind_of(segment.note)


def begin(node, now=0.0, port=40001):
    """Returns the opening packet and where it was offered."""
    syn = request(flags=SYN, port=port)
    [(host, sent)] = packets(node.on_caller(syn, now))
    return syn, host, sent


def busy(node, host, syn, now=0.001, running=1):
    note = notes.to_balancer(NoteKind.BUSY, Load(1, running))
    return node.on_agent(host, with_note(syn, note), now)


def run_out(node, loads, syn, host):
    """Answers every attempt; returns what comes after the last one."""
    effects = []
    for _ in range(MOST_ATTEMPTS):
        effects = busy(node, host, syn, running=loads.get(host, 9))
        [(host, sent)] = packets(effects)
        if kind_of(sent) is not NoteKind.PLACE_IF_FREE:
            return host, sent
    raise AssertionError("it is offered on a condition for ever")


def test_a_new_flow_is_offered_where_a_slot_is_free():
    _, _, sent = begin(balancer())
    assert kind_of(sent) is NoteKind.PLACE_IF_FREE


def test_a_busy_server_costs_one_more_attempt():
    node = balancer()
    syn, first, _ = begin(node)
    [(second, sent)] = packets(busy(node, first, syn))
    assert second != first
    assert kind_of(sent) is NoteKind.PLACE_IF_FREE


def test_where_no_slot_is_free_it_waits_where_the_queue_is_shortest():
    node = balancer(servers=8, routes=ONCE)
    syn, first, _ = begin(node)
    loads = {f"10.0.0.{n}": 9 - n for n in range(1, 9)}
    host, sent = run_out(node, loads, syn, first)
    asked = node.board.openings[syn.flow].busy
    shortest = min(asked, key=lambda name: 9 - int(name[1:]))
    assert kind_of(sent) is NoteKind.PLACE
    assert host == node.board.servers[shortest].entry.host
    assert len(asked) == MOST_ATTEMPTS


def test_a_small_service_is_asked_once_through():
    node = balancer(servers=2, routes=ONCE)
    syn, first, _ = begin(node)
    [(second, _)] = packets(busy(node, first, syn, running=1))
    [(third, sent)] = packets(busy(node, second, syn, running=5))
    assert kind_of(sent) is NoteKind.PLACE
    assert third == first


def test_a_server_that_takes_it_not_even_to_wait_is_passed_over():
    node = balancer(servers=2, routes=ONCE)
    syn, first, _ = begin(node)
    [(second, _)] = packets(busy(node, first, syn))
    [(third, _)] = packets(busy(node, second, syn, running=5))
    refused = notes.to_balancer(NoteKind.REFUSED, Load())
    effects = node.on_agent(third, with_note(syn, refused), 0.01)
    assert len(resets(effects)) == 1


def test_a_doubled_word_of_a_busy_server_changes_nothing():
    node = balancer()
    syn, first, _ = begin(node)
    busy(node, first, syn)
    assert not packets(busy(node, first, syn))


def test_a_word_of_a_busy_server_that_is_lost_or_late_costs_one_wait():
    node = balancer()
    syn, first, _ = begin(node)
    [(second, _)] = packets(node.tick(ACCEPT_WAIT_S + 0.01))
    assert second != first
    assert not packets(busy(node, first, syn, 0.08))


def test_a_balancer_that_has_restarted_does_not_know_the_word():
    node = balancer()
    assert not packets(busy(node, "10.0.0.1", request(flags=SYN)))


def test_a_full_service_is_asked_less():
    node = balancer(servers=8, routes=ONCE)
    for _ in range(200):
        node.board.busy_shares.note(SERVICE, busy=True)
    syn, host, _ = begin(node)
    for _ in range(FULL_ATTEMPTS - 1):
        [(host, sent)] = packets(busy(node, host, syn))
        assert kind_of(sent) is NoteKind.PLACE_IF_FREE
    [(_, sent)] = packets(busy(node, host, syn))
    assert kind_of(sent) is NoteKind.PLACE


def test_an_upload_is_offered_without_a_condition():
    node = balancer(routes=[route(RequestKind.UPLOAD)])
    assert kind_of(begin(node)[2]) is NoteKind.PLACE


def test_a_cold_server_with_a_bound_keeps_its_own_condition():
    node = balancer()
    bound = ColdBound(SERVICE, 6.0, 2.0)
    node.board.table = replace(node.board.table, cold_bounds=(bound,))
    assert kind_of(begin(node)[2]) is NoteKind.PLACE_BOUNDED


def test_out_of_use_nothing_is_offered_on_a_condition():
    node = balancer()
    node.board.uses = ALL.without(["if_free"])
    assert kind_of(begin(node)[2]) is NoteKind.PLACE
