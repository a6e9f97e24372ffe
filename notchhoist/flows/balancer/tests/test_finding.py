"""A balancer searches for flows that it does not know, or resets them."""

import pytest

from notchhoist.flows.balancer.finding import UNCONFIRMED_RESET_DELAY_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.balancer.sample_packets import SAMPLE_WAIT_MIN_S
from notchhoist.flows.decisions.server_selection import CANDIDATES_MAX
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    ConfirmView,
)
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import (
    answer_query,
    balancer,
    open_flow,
    packets,
    queried_agents,
    report_sample_absent,
    resets,
    sample_packets,
    send_agent_note,
    tick_with_silent_hosts,
)
from notchhoist.flows.tests.crafting import CODEC, entry, request


def test_unknown_flow_is_searched_at_all_agents_and_found():
    node = balancer()
    lost = request(data=b"x", ack=77)
    asked = queried_agents(node.on_caller(lost, 0.0))
    assert asked == ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    answer_query(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = answer_query(node, "10.0.0.3", lost, NoteKind.PRESENT, 0.003)
    [(host, segment)] = packets(effects)
    assert (host, segment.size) == ("10.0.0.3", 1)


def test_large_service_is_queried_in_two_steps():
    """Otherwise each change makes all 44 agents get a query for each flow."""
    node = balancer(servers=44)
    lost = request(data=b"x")
    asked = set(queried_agents(node.on_caller(lost, 0.0)))
    assert len(asked) == CANDIDATES_MAX
    remaining = []
    for host in asked:
        effects = answer_query(node, host, lost, NoteKind.ABSENT, 0.002)
        remaining += queried_agents(effects)
    assert len(remaining) == 44 - CANDIDATES_MAX
    assert asked.isdisjoint(remaining)


def test_silent_agent_does_not_block_queries_to_others():
    node = balancer(servers=44)
    asked = queried_agents(node.on_caller(request(data=b"x"), 0.0))
    asked += queried_agents(node.tick(0.09))
    asked += queried_agents(node.tick(0.11))
    assert len(set(asked)) == 44


def test_search_starts_at_the_servers_that_placement_uses():
    node = balancer(servers=44)
    for port in range(40001, 40060):
        host = open_flow(node, port=port)
        lost = request(data=b"x", port=port)
        other = balancer(servers=44)
        assert host in queried_agents(other.on_caller(lost, 0.0))


def test_flow_reported_absent_by_every_agent_is_reset():
    node = balancer(servers=2)
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    assert not resets(
        send_agent_note(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    )
    assert not resets(
        send_agent_note(node, "10.0.0.2", lost, NoteKind.ABSENT, 0.003)
    )
    [effect] = resets(node.tick(0.003 + UNCONFIRMED_RESET_DELAY_S))
    assert CODEC.decode_answer(effect.datagram).seq == 77


def test_newly_known_server_is_queried_before_a_reset():
    """Another balancer opened the flow 0.4 s before the entry came here."""
    node = balancer(servers=1)
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    answer_query(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    node.fleet.on_entry(entry(2), 5, 0.4)
    [host] = queried_agents(node.tick(0.002 + UNCONFIRMED_RESET_DELAY_S))
    assert host == "10.0.0.2"
    effects = answer_query(node, host, lost, NoteKind.PRESENT, 0.71)
    assert packets(effects)
    assert not resets(effects)


def test_no_reset_while_an_agent_is_restarting():
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    send_agent_note(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    stopping = LoadTell(0, 0, 0, True)
    effects = node.on_peer("10.0.0.2", stopping, 0.003)
    for step in range(1, 20):
        effects += tick_with_silent_hosts(node, 0.1 * step)
    assert not resets(effects)


def test_unsure_agent_gets_one_sample_packet():
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    node.on_caller(request(data=b"y", seq=1), 0.001)
    answer_query(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = answer_query(node, "10.0.0.2", lost, NoteKind.UNSURE, 0.003)
    [(host, segment)] = sample_packets(effects)
    assert (host, notes.kind_of(segment.note)) == ("10.0.0.2", NoteKind.SAMPLE)


def test_silence_after_a_sample_packet_does_not_locate_the_flow():
    """Guards against the reset of an open flow.

    Silence must not place the flow at a host whose server is draining.
    """
    node = balancer(servers=2)
    lost = request(data=b"x")
    node.on_caller(lost, 0.0)
    answer_query(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    answer_query(node, "10.0.0.2", lost, NoteKind.UNSURE, 0.003)
    effects = node.tick(0.003 + SAMPLE_WAIT_MIN_S)
    assert lost.flow not in node.board.searches
    assert lost.flow not in node.board.flows
    assert not resets(effects)
    send_agent_note(node, "10.0.0.2", lost, NoteKind.PRESENT, 0.3)
    assert node.board.flows[lost.flow].server.entry.server_id == "s2"


def test_returned_packet_starts_a_search_at_other_agents():
    node = balancer()
    host = open_flow(node)
    data = request(data=b"x")
    node.on_caller(data, 0.01)
    note = notes.to_balancer(NoteKind.RETURNED, Load())
    effects = node.on_agent(host, crafting.with_note(data, note), 0.012)
    asked = queried_agents(effects)
    assert asked
    assert host not in asked


def report_absent_everywhere(node, lost, now, servers=2):
    """Reports a flow absent from every agent; returns the last effects."""
    effects = node.on_caller(lost, now)
    for number in range(1, servers + 1):
        host = f"10.0.0.{number}"
        effects = answer_query(node, host, lost, NoteKind.ABSENT, now + 0.002)
    return effects


def confirm(node, confirmed, now):
    """Completes a confirmation; returns the effects."""
    if confirmed:
        node.finder.on_view_confirmed(now)
    else:
        node.finder.confirmer.on_failed(now)
    return node.take_effects()


def confirms(effects):
    return [item for item in effects if isinstance(item, ConfirmView)]


def test_absent_flow_is_reset_once_the_server_list_is_confirmed():
    """Without it, callers wait 0.7 s more for each lost flow."""
    node = balancer(servers=2)
    lost = request(data=b"x", ack=77)
    effects = report_absent_everywhere(node, lost, 5.0)
    assert len(confirms(effects)) == 1
    assert not resets(effects)
    assert len(resets(confirm(node, True, 5.008))) == 1


def test_server_found_by_a_confirmation_is_queried_before_a_reset():
    node = balancer(servers=2)
    lost = request(data=b"x")
    report_absent_everywhere(node, lost, 5.0)
    node.fleet.on_entry(entry(3), 5, 5.008)
    effects = confirm(node, True, 5.008)
    assert not resets(effects)
    assert queried_agents(effects) == ["10.0.0.3"]


def test_confirmation_requested_before_the_search_is_not_used():
    node = balancer(servers=2)
    report_absent_everywhere(node, request(data=b"x"), 5.0)
    later = request(data=b"x", port=40002)
    assert not confirms(report_absent_everywhere(node, later, 5.004))
    effects = confirm(node, True, 5.008)
    assert len(resets(effects)) == 1
    assert later.flow in node.board.searches
    assert confirms(node.tick(5.21))
    assert len(resets(confirm(node, True, 5.22))) == 1


@pytest.mark.parametrize("failed_at", [3.5, 4.9])
def test_no_confirmation_soon_after_a_store_failure(failed_at):
    node = balancer(servers=2)
    node.board.store_failed_at = failed_at
    lost = request(data=b"x")
    assert not confirms(report_absent_everywhere(node, lost, 5.0))
    assert not resets(node.tick(5.3))
    assert len(resets(node.tick(5.002 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_no_confirmation_soon_after_the_balancer_started():
    node = balancer(servers=2, now=4.0)
    assert not confirms(report_absent_everywhere(node, request(data=b"x"), 5.0))


def test_confirmation_suffices_after_a_restart_of_the_whole_service():
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(n, warm_in_s=2.0), 1) for n in (1, 2)]
    node.fleet.on_listing(entries, 1, 4.0)
    assert confirms(report_absent_everywhere(node, request(data=b"x"), 5.0))


def test_confirmation_suffices_when_the_restarted_service_is_warm():
    """Otherwise callers wait 3.3 s for a reset where balancers start slowly."""
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(n, warm_in_s=0.7), 1) for n in (1, 2)]
    node.fleet.on_listing(entries, 1, 4.0)
    for number in (1, 2):
        node.fleet.on_entry(entry(number, warm_in_s=0.0), 2, 4.8)
    assert confirms(report_absent_everywhere(node, request(data=b"x"), 5.0))


def test_no_confirmation_if_one_server_did_not_restart():
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(1), 1), (entry(2, warm_in_s=2.0), 1)]
    node.fleet.on_listing(entries, 1, 4.0)
    assert not confirms(report_absent_everywhere(node, request(data=b"x"), 5.0))


def test_all_unsure_agents_get_a_sample_at_once():
    """Sent one after the other, samples to 98 agents take 98 round trips."""
    node = balancer(servers=8)
    lost = request(data=b"x" * 300, ack=77)
    node.on_caller(lost, 5.0)
    node.on_caller(request(seq=300), 5.001)
    node.on_caller(request(data=b"y", seq=300), 5.001)
    sampled = []
    for number in range(1, 9):
        host = f"10.0.0.{number}"
        effects = answer_query(node, host, lost, NoteKind.UNSURE, 5.002)
        sampled += sample_packets(effects)
    kinds = {notes.kind_of(segment.note) for _, segment in sampled}
    assert (len(sampled), kinds) == (8, {NoteKind.SAMPLE})
    assert {segment.size for _, segment in sampled} == {1}
    effects = []
    for host, segment in sampled:
        effects = report_sample_absent(node, host, segment, 5.004)
    assert confirms(effects)
    assert len(resets(confirm(node, True, 5.01))) == 1


def test_failed_confirmation_leaves_the_reset_delay():
    node = balancer(servers=2)
    lost = request(data=b"x")
    report_absent_everywhere(node, lost, 5.0)
    assert not resets(confirm(node, False, 5.5))
    assert len(resets(node.tick(5.002 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_found_flow_keeps_its_request_hints():
    """Without its latency objective a request counts as late at once."""
    node = balancer()
    lost = request(data=b"x", ack=77)
    node.on_caller(lost, 0.0)
    send_agent_note(node, "10.0.0.1", lost, NoteKind.ABSENT, 0.002)
    effects = send_agent_note(node, "10.0.0.3", lost, NoteKind.PRESENT, 0.003)
    [(_, segment)] = packets(effects)
    wish = notes.hints_of(segment.note)
    assert (wish.objective_s, wish.priority) == (0.225, 2)
