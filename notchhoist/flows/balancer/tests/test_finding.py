"""A balancer: flows that it does not know are found, or shown to be dead."""

import pytest

from notchhoist.flows.balancer.finding import UNCONFIRMED_RESET_DELAY_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.balancer.trying import SAMPLE_WAIT_MIN_S
from notchhoist.flows.decisions.placing import CHOICES
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    ConfirmView,
)
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancing import (
    asked_agents,
    balancer,
    open_flow,
    packets,
    resets,
    tell,
    tell_flow,
    tell_outcome,
    tick_among_dead,
    tried_agents,
)
from notchhoist.flows.tests.crafting import CODEC, entry, request


def test_an_unknown_flow_is_asked_for_everywhere_and_found():
    node = balancer()
    lost = request(data=b"x", ack=77)
    asked = asked_agents(node.on_caller(lost, 0.0))
    assert asked == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    tell_flow(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = tell_flow(node, "10.0.0.3", lost, NoteKind.PRESENT, 0.003)
    [(host, segment)] = packets(effects)
    assert (host, segment.size) == ("10.0.0.3", 1)


def test_a_large_service_is_asked_in_two_steps():
    """All 44 agents of a service were asked for each flow at each change."""
    node = balancer(servers=44)
    lost = request(data=b"x")
    asked = set(asked_agents(node.on_caller(lost, 0.0)))
    assert len(asked) == CHOICES
    rest = []
    for host in asked:
        effects = tell_flow(node, host, lost, NoteKind.ABSENT, 0.002)
        rest += asked_agents(effects)
    assert len(rest) == 44 - CHOICES
    assert asked.isdisjoint(rest)


def test_a_silent_agent_does_not_keep_the_others_from_being_asked():
    node = balancer(servers=44)
    asked = asked_agents(node.on_caller(request(data=b"x"), 0.0))
    asked += asked_agents(node.tick(0.09))
    asked += asked_agents(node.tick(0.11))
    assert len(set(asked)) == 44


def test_flows_of_a_large_service_are_placed_where_they_are_looked_for():
    node = balancer(servers=44)
    for port in range(40001, 40060):
        host = open_flow(node, port=port)
        lost = request(data=b"x", port=port)
        other = balancer(servers=44)
        assert host in asked_agents(other.on_caller(lost, 0.0))


def test_a_flow_that_every_agent_denies_is_reset():
    node = balancer(servers=2)
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    assert not resets(tell(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002))
    assert not resets(tell(node, "10.0.0.2", lost, NoteKind.ABSENT, 0.003))
    [effect] = resets(node.tick(0.003 + UNCONFIRMED_RESET_DELAY_S))
    assert CODEC.decode_answer(effect.datagram).seq == 77


def test_a_server_that_another_balancer_knew_first_is_asked_before_a_reset():
    """The flow was opened there 0.4 s before its entry was known here."""
    node = balancer(servers=1)
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    tell_flow(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    node.fleet.on_entry(entry(2), 5, 0.4)
    [host] = asked_agents(node.tick(0.002 + UNCONFIRMED_RESET_DELAY_S))
    assert host == "10.0.0.2"
    effects = tell_flow(node, host, lost, NoteKind.PRESENT, 0.71)
    assert packets(effects)
    assert not resets(effects)


def test_no_reset_while_an_agent_is_silent_and_may_come_back():
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    tell(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    stopping = LoadTell(0, 0, 0, True)
    effects = node.on_peer("10.0.0.2", stopping, 0.003)
    for step in range(1, 20):
        effects += tick_among_dead(node, 0.1 * step)
    assert not resets(effects)


def test_an_unsure_agent_gets_one_packet_to_find_out():
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    node.on_caller(request(data=b"y", seq=1), 0.001)
    tell_flow(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = tell_flow(node, "10.0.0.2", lost, NoteKind.UNSURE, 0.003)
    [(host, segment)] = tried_agents(effects)
    assert (host, notes.kind_of(segment.note)) == ("10.0.0.2", NoteKind.TRY)


def test_silence_of_an_agent_that_was_tried_is_no_find():
    """A living flow was taken to be at a host that was leaving, and reset."""
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    tell_flow(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    tell_flow(node, "10.0.0.2", lost, NoteKind.UNSURE, 0.003)
    effects = node.tick(0.003 + SAMPLE_WAIT_MIN_S)
    assert lost.flow not in node.board.searches
    assert lost.flow not in node.board.flows
    assert not resets(effects)
    tell(node, "10.0.0.2", lost, NoteKind.PRESENT, 0.3)
    assert node.board.flows[lost.flow].server.entry.server_id == "s2"


def test_a_returned_packet_starts_a_search_elsewhere():
    node = balancer()
    host = open_flow(node)
    data = request(data=b"x")
    node.on_caller(data, 0.01)
    note = notes.to_balancer(NoteKind.RETURNED, Load())
    effects = node.on_agent(host, crafting.with_note(data, note), 0.012)
    asked = asked_agents(effects)
    assert asked
    assert host not in asked


def deny_everywhere(node, lost, now, servers=2):
    """Lets every agent deny a flow; returns the last effects."""
    effects = node.on_caller(lost, now)
    for number in range(1, servers + 1):
        host = f"10.0.0.{number}"
        effects = tell_flow(node, host, lost, NoteKind.ABSENT, now + 0.002)
    return effects


def confirm(node, confirmed, now):
    """Brings the outcome of a confirmation."""
    if confirmed:
        node.finder.on_view_confirmed(now)
    else:
        node.finder.confirmer.on_failed(now)
    return node.take_effects()


def confirms(effects):
    return [item for item in effects if isinstance(item, ConfirmView)]


def test_a_denied_flow_is_reset_once_the_platform_has_confirmed_the_list():
    """After a power loss callers waited 0.7 s more for each dead flow."""
    node = balancer(servers=2)
    lost = request(data=b"x", ack=77)
    effects = deny_everywhere(node, lost, 5.0)
    assert len(confirms(effects)) == 1
    assert not resets(effects)
    assert len(resets(confirm(node, True, 5.008))) == 1


def test_a_server_that_a_confirmation_brings_is_asked_before_a_reset():
    node = balancer(servers=2)
    lost = request(data=b"x")
    deny_everywhere(node, lost, 5.0)
    node.fleet.on_entry(entry(3), 5, 5.008)
    effects = confirm(node, True, 5.008)
    assert not resets(effects)
    assert asked_agents(effects) == ["10.0.0.3"]


def test_a_confirmation_asked_for_before_the_packet_came_proves_nothing():
    node = balancer(servers=2)
    deny_everywhere(node, request(data=b"x"), 5.0)
    later = request(data=b"x", port=40002)
    assert not confirms(deny_everywhere(node, later, 5.004))
    effects = confirm(node, True, 5.008)
    assert len(resets(effects)) == 1
    assert later.flow in node.board.searches
    assert confirms(node.tick(5.21))
    assert len(resets(confirm(node, True, 5.22))) == 1


@pytest.mark.parametrize("failed_at", [3.5, 4.9])
def test_entries_may_have_lapsed_while_the_store_was_away(failed_at):
    node = balancer(servers=2)
    node.board.store_failed_at = failed_at
    lost = request(data=b"x")
    assert not confirms(deny_everywhere(node, lost, 5.0))
    assert not resets(node.tick(5.3))
    assert len(resets(node.tick(5.002 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_a_balancer_that_has_just_started_may_miss_a_lapsed_server():
    node = balancer(servers=2, now=4.0)
    assert not confirms(deny_everywhere(node, request(data=b"x"), 5.0))


def test_a_service_that_has_started_anew_holds_nothing_old():
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(n, warm_in_s=2.0), 1) for n in (1, 2)]
    node.fleet.on_listing(entries, 1, 4.0)
    assert confirms(deny_everywhere(node, request(data=b"x"), 5.0))


def test_a_service_that_started_anew_and_is_warm_holds_nothing_old():
    """Callers waited 3.3 s for a reset where balancers start slowly."""
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(n, warm_in_s=0.7), 1) for n in (1, 2)]
    node.fleet.on_listing(entries, 1, 4.0)
    for number in (1, 2):
        node.fleet.on_entry(entry(number, warm_in_s=0.0), 2, 4.8)
    assert confirms(deny_everywhere(node, request(data=b"x"), 5.0))


def test_one_old_server_may_have_company_that_is_not_listed():
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(1), 1), (entry(2, warm_in_s=2.0), 1)]
    node.fleet.on_listing(entries, 1, 4.0)
    assert not confirms(deny_everywhere(node, request(data=b"x"), 5.0))


def test_unsure_agents_are_tried_all_at_once():
    """One after the other, 98 of them took 98 round trips."""
    node = balancer(servers=8)
    lost = request(data=b"x" * 300, ack=77)
    node.on_caller(lost, 5.0)
    node.on_caller(request(seq=300), 5.001)
    node.on_caller(request(data=b"y", seq=300), 5.001)
    tried = []
    for number in range(1, 9):
        host = f"10.0.0.{number}"
        effects = tell_flow(node, host, lost, NoteKind.UNSURE, 5.002)
        tried += tried_agents(effects)
    kinds = {notes.kind_of(segment.note) for _, segment in tried}
    assert (len(tried), kinds) == (8, {NoteKind.TRY})
    assert {segment.size for _, segment in tried} == {1}
    effects = []
    for host, segment in tried:
        effects = tell_outcome(node, host, segment, 5.004)
    assert confirms(effects)
    assert len(resets(confirm(node, True, 5.01))) == 1


def test_a_confirmation_that_fails_leaves_the_wait():
    node = balancer(servers=2)
    lost = request(data=b"x")
    deny_everywhere(node, lost, 5.0)
    assert not resets(confirm(node, False, 5.5))
    assert len(resets(node.tick(5.002 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_a_found_flow_keeps_what_its_request_wishes_for():
    """Without its objective a request counted as late from the start."""
    node = balancer()
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    tell(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = tell(node, "10.0.0.3", lost, NoteKind.PRESENT, 0.003)
    [(_, segment)] = packets(effects)
    wish = notes.wish_of(segment.note)
    assert (wish.objective_s, wish.priority) == (0.225, 2)
