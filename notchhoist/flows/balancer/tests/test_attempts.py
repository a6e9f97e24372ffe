"""New flows go to servers with a free slot, or to the best queue."""

from msgspec.structs import replace

from notchhoist.flows.decisions.attempts import ATTEMPTS_MAX, ATTEMPTS_WHEN_FULL
from notchhoist.flows.decisions.zone_distance import ACCEPT_WAIT_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.fleet import ColdBound, RequestKind
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests.balancer_harness import balancer, packets, resets
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


def offer_flow(node, now=0.0, port=40001):
    """Opens a flow; returns its opening packet, the host and the offer."""
    syn = request(flags=SYN, port=port)
    [(host, sent)] = packets(node.on_caller(syn, now))
    return syn, host, sent


def answer_busy(node, host, syn, now=0.001, running=1):
    note = notes.to_balancer(NoteKind.BUSY, Load(1, running))
    return node.on_agent(host, with_note(syn, note), now)


def answer_all_busy(node, loads, syn, host):
    """Answers every conditional offer as busy; returns the final offer."""
    effects = []
    for _ in range(ATTEMPTS_MAX):
        effects = answer_busy(node, host, syn, running=loads.get(host, 9))
        [(host, sent)] = packets(effects)
        if kind_of(sent) is not NoteKind.PLACE_IF_FREE:
            return host, sent
    raise AssertionError("the flow only gets conditional offers")


def test_the_first_offer_is_conditional():
    _, _, sent = offer_flow(balancer())
    assert kind_of(sent) is NoteKind.PLACE_IF_FREE


def test_a_busy_server_causes_another_conditional_offer():
    node = balancer()
    syn, first, _ = offer_flow(node)
    [(second, sent)] = packets(answer_busy(node, first, syn))
    assert second != first
    assert kind_of(sent) is NoteKind.PLACE_IF_FREE


def test_a_flow_queues_at_the_shortest_queue_if_no_slot_is_free():
    node = balancer(servers=8, routes=ONCE)
    syn, first, _ = offer_flow(node)
    loads = {f"10.0.0.{n}": 9 - n for n in range(1, 9)}
    host, sent = answer_all_busy(node, loads, syn, first)
    asked = node.board.openings[syn.flow].busy
    shortest = min(asked, key=lambda name: 9 - int(name[1:]))
    assert kind_of(sent) is NoteKind.PLACE
    assert host == node.board.servers[shortest].entry.host
    assert len(asked) == ATTEMPTS_MAX


def test_each_server_of_a_small_service_gets_one_conditional_offer():
    node = balancer(servers=2, routes=ONCE)
    syn, first, _ = offer_flow(node)
    [(second, _)] = packets(answer_busy(node, first, syn, running=1))
    [(third, sent)] = packets(answer_busy(node, second, syn, running=5))
    assert kind_of(sent) is NoteKind.PLACE
    assert third == first


def test_a_flow_refused_by_every_server_is_reset():
    node = balancer(servers=2, routes=ONCE)
    syn, first, _ = offer_flow(node)
    [(second, _)] = packets(answer_busy(node, first, syn))
    [(third, _)] = packets(answer_busy(node, second, syn, running=5))
    refused = notes.to_balancer(NoteKind.REFUSED, Load())
    effects = node.on_agent(third, with_note(syn, refused), 0.01)
    assert len(resets(effects)) == 1


def test_a_duplicate_busy_answer_changes_nothing():
    node = balancer()
    syn, first, _ = offer_flow(node)
    answer_busy(node, first, syn)
    assert not packets(answer_busy(node, first, syn))


def test_a_lost_or_late_busy_answer_costs_one_timeout():
    node = balancer()
    syn, first, _ = offer_flow(node)
    [(second, _)] = packets(node.tick(ACCEPT_WAIT_S + 0.01))
    assert second != first
    assert not packets(answer_busy(node, first, syn, 0.08))


def test_a_busy_answer_to_an_unknown_offer_is_ignored():
    node = balancer()
    assert not packets(answer_busy(node, "10.0.0.1", request(flags=SYN)))


def test_a_full_service_gets_fewer_conditional_offers():
    node = balancer(servers=8, routes=ONCE)
    for _ in range(200):
        node.board.busy_shares.record(SERVICE, busy=True)
    syn, host, _ = offer_flow(node)
    for _ in range(ATTEMPTS_WHEN_FULL - 1):
        [(host, sent)] = packets(answer_busy(node, host, syn))
        assert kind_of(sent) is NoteKind.PLACE_IF_FREE
    [(_, sent)] = packets(answer_busy(node, host, syn))
    assert kind_of(sent) is NoteKind.PLACE


def test_an_upload_is_offered_unconditionally():
    node = balancer(routes=[route(RequestKind.UPLOAD)])
    assert kind_of(offer_flow(node)[2]) is NoteKind.PLACE


def test_a_cold_server_with_a_bound_gets_a_bounded_offer():
    node = balancer()
    bound = ColdBound(SERVICE, 6.0, 2.0)
    node.board.table = replace(node.board.table, cold_bounds=(bound,))
    assert kind_of(offer_flow(node)[2]) is NoteKind.PLACE_BOUNDED


def test_offers_are_unconditional_if_the_mechanism_is_disabled():
    node = balancer()
    node.board.uses = ALL.without(["if_free"])
    assert kind_of(offer_flow(node)[2]) is NoteKind.PLACE
