"""Tests of new flows at evacuated, cold and restarted backend servers."""

import pytest

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.agent.opening_gate import DEFER_MAX_S, OpeningLimits
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer, SendPeer
from notchhoist.flows.model.messages import LoadAsk, LoadTell, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import (
    BALANCER,
    START,
    accept,
    send,
    send_request,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, bounced, request

LIMITS = OpeningLimits(evacuate_s=5.0, cold_overage=1.5, cold_slack=5.0)


def agent(started=START - 100.0):
    return make_agent(crafting.SERVICE, CODEC, started, limits=LIMITS)


def report_state(node, now=START, slots=2, **state):
    state.setdefault("revision", 7)
    return node.on_peer(BALANCER, LoadAsk(slots, ServerState(**state)), now)


def offer_flow(node, port, now=START, kind=NoteKind.PLACE):
    return send(node, request(flags=SYN, port=port), kind, now)


def pause_of(effects):
    [back] = [item for item in effects if isinstance(item, SendBalancer)]
    note = CODEC.decode_request(back.datagram).note
    assert notes.kind_of(note) is NoteKind.AT_COLD_BOUND
    return notes.pause_of(note)


def test_evacuated_zone_gets_no_new_flow_and_keeps_open_ones():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    report_state(node, evacuated=True)
    assert pause_of(offer_flow(node, 2)) > 0
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.FORWARD))


def test_older_report_does_not_end_an_evacuation():
    node = agent()
    report_state(node, revision=9, evacuated=True)
    report_state(node, revision=8, evacuated=False)
    assert pause_of(offer_flow(node, 2)) > 0
    report_state(node, revision=10, evacuated=False)
    assert to_backend(offer_flow(node, 3))


def test_retransmitted_opening_is_refused_after_an_evacuation():
    node = agent()
    offer_flow(node, 2)
    report_state(node, evacuated=True)
    assert pause_of(offer_flow(node, 2, START + 0.01)) > 0


def test_accepted_flow_does_not_open_after_the_evacuation_cutoff():
    """Guards against flows that open after the time limit of an evacuation."""
    node = agent()
    accept(node, 2)
    accept(node, 3)
    report_state(node, evacuated=True, evacuated_for_s=1.0)
    assert to_backend(send_request(node, 2, START + 0.1))
    assert not to_backend(send_request(node, 3, START + 2.0))


def test_queued_request_is_refused_after_the_evacuation_cutoff():
    node = agent()
    report_state(node, slots=1)
    for port in (1, 2):
        accept(node, port)
        send_request(node, port)
    assert len(node.board.waiting) == 1
    report_state(node, START, revision=8, evacuated=True)
    node.tick(START + 0.1)
    assert len(node.board.waiting) == 1
    effects = node.tick(START + 2.6)
    assert to_balancer(effects) == [NoteKind.REFUSED]
    assert not node.board.waiting


def test_cold_server_gets_its_cold_bound_in_each_window():
    node = agent()
    report_state(node, cold_for_s=2.0, bound_per_s=6.0, bound_lasts_s=2.0)
    taken = [
        port
        for port in range(40)
        if to_backend(offer_flow(node, 1000 + port, START + port * 0.01))
    ]
    assert len(taken) == 6
    assert to_backend(offer_flow(node, 2000, START + 1.06))


def test_retransmitted_opening_counts_once():
    node = agent()
    report_state(node, cold_for_s=2.0, bound_per_s=1.0, bound_lasts_s=2.0)
    assert to_backend(offer_flow(node, 1))
    assert to_backend(offer_flow(node, 1, START + 0.01))
    assert pause_of(offer_flow(node, 2, START + 0.02)) > 0.9


def test_warm_server_has_no_cold_bound():
    node = agent()
    report_state(node, cold_for_s=0.5, bound_per_s=1.0, bound_lasts_s=2.0)
    offer_flow(node, 1)
    assert to_backend(offer_flow(node, 2, START + 0.6))


def test_agent_without_state_defers_a_flow_under_a_cold_bound():
    node = agent()
    effects = offer_flow(node, 1, kind=NoteKind.PLACE_BOUNDED)
    [load_report] = [item for item in effects if isinstance(item, SendPeer)]
    assert load_report.message == LoadTell(0, 0, 0, False, 0, crafting.SERVICE)
    assert not to_backend(effects)
    effects = report_state(node, START + 0.004, cold_for_s=1.0, bound_per_s=6.0)
    assert len(to_backend(effects)) == 1


def test_deferred_flow_is_not_offered_once_its_caller_has_given_up():
    """The agent stood still while it waited for the report."""
    node = agent(started=START)
    offer_flow(node, 1, kind=NoteKind.PLACE_BOUNDED)
    assert not to_backend(node.tick(START + ATTEMPT_TIMEOUT_S))
    assert node.board.records.counters[Count.OPENINGS_EXPIRED] == 1


def test_deferred_flows_get_the_lowest_limit_without_a_report():
    node = agent()
    for port in range(10):
        offer_flow(node, port + 1, kind=NoteKind.PLACE_BOUNDED)
    effects = node.tick(START + DEFER_MAX_S)
    assert len(to_backend(effects)) == 4
    assert to_balancer(effects) == [NoteKind.AT_COLD_BOUND] * 6


def test_agent_without_state_offers_a_flow_without_a_cold_bound():
    assert to_backend(offer_flow(agent(), 1))


@pytest.mark.parametrize("noticed", ["told", "bounced", "checked"])
def test_restarted_server_is_cold_before_its_entry_shows_it(noticed):
    node = agent()
    report_state(node, born_ms=1, bound_per_s=1.0, bound_lasts_s=2.0)
    accept(node, 1, START - 3.0)
    send_request(node, 1, START - 3.0)
    if noticed == "told":
        report_state(
            node, revision=8, born_ms=2, bound_per_s=1.0, bound_lasts_s=2.0
        )
    elif noticed == "bounced":
        node.on_backend(bounced(request(data=b"x", seq=9, port=1)), START)
    else:
        node.on_backend_checked(False, START)
        node.on_backend_checked(True, START)
    taken = [port for port in (5, 6) if to_backend(offer_flow(node, port))]
    assert taken == [5]


def test_packets_of_flows_from_before_a_restart_are_forwarded():
    """Guards against resets of flows at the new incarnation.

    A flow may have opened there before the restart was reported.
    """
    node = agent()
    report_state(node, born_ms=1, slots=1)
    for port in (1, 2):
        accept(node, port)
        send_request(node, port)
    assert (len(node.board.active), len(node.board.waiting)) == (1, 1)
    effects = report_state(node, revision=8, born_ms=2)
    assert NoteKind.REFUSED in to_balancer(effects)
    assert not node.board.active
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.FORWARD))
    back = bounced(request(data=b"more", seq=10, ack=5001, port=1))
    assert to_balancer(node.on_backend(back, START)) == [NoteKind.RETURNED]


def test_earlier_start_time_is_another_incarnation():
    node = agent()
    report_state(node, born_ms=5000)
    report_state(node, revision=8, born_ms=4000)
    assert node.board.records.counters["backend_reborn"] == 1


def test_entry_without_a_start_time_is_no_restart():
    node = agent()
    report_state(node, born_ms=5000)
    report_state(node, revision=8, born_ms=0)
    assert node.board.records.counters["backend_reborn"] == 0


def test_load_query_of_an_earlier_version_is_answered():
    [answer] = agent().on_peer(BALANCER, LoadAsk(3), START)
    assert answer.message.state_revision == 0


def test_server_of_an_agent_that_has_just_started_counts_as_cold():
    """Guards against too many new flows for a server in slow start.

    Balancers took it for the previous server, whose entry was still published.
    """
    node = agent(started=START - 0.2)
    report_state(node, bound_per_s=20.0, bound_lasts_s=2.0, cold_for_s=0.0)
    taken = sum(bool(to_backend(offer_flow(node, n + 1))) for n in range(40))
    assert taken == 14
    later = START + 1.9
    taken = sum(
        bool(to_backend(offer_flow(node, 50 + n, later))) for n in range(40)
    )
    assert taken == 40
