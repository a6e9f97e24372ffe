"""Flows lost in a power failure of a whole service are reset at once.

Guards against a sample packet of each lost flow to every server of its service,
which happens if all agents are unsure because they have just started.
"""

import pytest

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.decisions.completeness import CONTACT_S, RESTART_MIN_S
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsTell, ViewAsk, ViewTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import (
    packets,
    queried_agents,
    resets,
    sample_packets,
    send_agent_note,
)
from notchhoist.flows.tests.crafting import CODEC, entry, request

KNOWN_AT = 50.0
NOW = KNOWN_AT + 0.1
OLD_AGENT_MS = 200
"""Age of an agent that started before the balancer could place flows, ms."""

YOUNG_AGENT_MS = 40
LOST = request(data=b"more", seq=500, ack=900)


def balancer(servers=2, warm=(), contact_s=CONTACT_S):
    node = make_balancer("a", CODEC, "seed", contact_s=contact_s)
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [
        (entry(n, warm_in_s=0.0 if n in warm else 2.0), 1)
        for n in range(1, servers + 1)
    ]
    node.fleet.on_listing(entries, 1, KNOWN_AT)
    return node


def queue_of(node, host):
    queues = node.finder.queries.queues
    [queue] = [queue for (name, _), queue in queues.items() if name == host]
    return queue


def search_lost_flow(node, ages_ms, now=NOW):
    """Searches for a lost flow; unsure agents report their ages."""
    effects = node.on_caller(LOST, now)
    hosts = queried_agents(effects)
    for host, age_ms in zip(hosts, ages_ms, strict=True):
        tell = FlowsTell(
            queue_of(node, host).number, unsure=(LOST.flow,), age_ms=age_ms
        )
        effects = node.on_peer(host, tell, now)
    return effects


def is_reset_when_confirmed(node, now=NOW):
    node.finder.on_view_confirmed(now)
    return bool(resets(node.take_effects()))


def test_lost_flow_is_reset_after_one_round_of_queries():
    node = balancer()
    assert not sample_packets(search_lost_flow(node, [OLD_AGENT_MS] * 2))
    assert is_reset_when_confirmed(node)


def test_agent_started_shortly_after_first_placement_has_no_predecessor():
    node = balancer()
    assert not sample_packets(search_lost_flow(node, [YOUNG_AGENT_MS] * 2))
    assert is_reset_when_confirmed(node)


def test_agent_restarted_later_gets_a_sample():
    node = balancer()
    now = KNOWN_AT + RESTART_MIN_S + 0.2
    first, second = queried_agents(node.on_caller(LOST, now))
    for host, age_ms in ((first, 1000), (second, 100)):
        tell = FlowsTell(
            queue_of(node, host).number, unsure=(LOST.flow,), age_ms=age_ms
        )
        effects = node.on_peer(host, tell, now)
    assert [host for host, _ in sample_packets(effects)] == [second]
    assert not is_reset_when_confirmed(node, now)


def test_agents_get_samples_if_one_server_did_not_restart():
    """Only some hosts lost power, or a release is in progress."""
    node = balancer(warm=(2,))
    assert len(sample_packets(search_lost_flow(node, [OLD_AGENT_MS] * 2))) == 2


def test_agents_get_samples_once_promises_hold_for_them():
    """Guards against resets of flows that outlived two failures of all hosts.

    All lose power, flows are placed, and every daemon is killed while the
    servers are still in slow start: no process is left that saw flows begin.
    """
    node = balancer()
    contact_ms = round(CONTACT_S * 1000)
    now = KNOWN_AT + CONTACT_S
    effects = search_lost_flow(node, [contact_ms] * 2, now)
    assert len(sample_packets(effects)) == 2
    assert not is_reset_when_confirmed(node, now)


def test_flow_at_an_agent_with_a_sample_is_kept():
    node = balancer()
    now = KNOWN_AT + CONTACT_S
    effects = search_lost_flow(node, [round(CONTACT_S * 1000)] * 2, now)
    host, segment = sample_packets(effects)[0]
    send_agent_note(node, host, segment, NoteKind.PRESENT, now)
    assert node.board.flows[LOST.flow].server.entry.host == host


def test_answer_is_presumed_no_longer_than_promises_are_open():
    """Guards against a search that ends after its answers lost their worth."""
    node = balancer()
    assert not sample_packets(search_lost_flow(node, [OLD_AGENT_MS] * 2))
    node.finder.on_view_confirmed(KNOWN_AT + CONTACT_S)
    effects = node.take_effects()
    assert not resets(effects)
    assert len(sample_packets(effects)) == 2


def test_earlier_placement_that_is_told_during_a_search_counts():
    node = balancer()
    assert not sample_packets(search_lost_flow(node, [OLD_AGENT_MS] * 2))
    change = ViewChange(1, 1, 1, 15.0, (), (), (), (), 1, 2)
    node.on_peer(
        "10.0.9.9", ViewTell(change, 0.1, (), placing_for_ms=5000), NOW
    )
    node.finder.on_view_confirmed(NOW)
    effects = node.take_effects()
    assert not resets(effects)
    assert len(sample_packets(effects)) == 2


def test_contact_time_of_the_settings_counts():
    node = balancer(contact_s=1.5)
    late = search_lost_flow(node, [700] * 2, KNOWN_AT + 0.7)
    assert len(sample_packets(late)) == 2
    early = search_lost_flow(balancer(contact_s=1.5), [400] * 2, KNOWN_AT + 0.4)
    assert not sample_packets(early)


def test_agents_of_older_versions_report_no_age():
    assert len(sample_packets(search_lost_flow(balancer(), [0, 0]))) == 2


def test_balancer_learns_of_earlier_placements_by_others():
    """Others may have placed flows through an agent that has exited since."""
    node = balancer()
    change = ViewChange(1, 1, 1, 15.0, (), (), (), (), 1, 2)
    node.on_peer(
        "10.0.9.9", ViewTell(change, 0.1, (), placing_for_ms=5000), NOW
    )
    assert len(sample_packets(search_lost_flow(node, [OLD_AGENT_MS] * 2))) == 2


def test_balancer_reports_since_when_flows_may_be_placed():
    node = balancer()
    effects = node.on_peer("10.0.9.9", ViewAsk(0, 0, 1), KNOWN_AT + 2.0)
    sent = [e.message for e in effects if isinstance(e, SendPeer)]
    assert [m.placing_for_ms for m in sent if isinstance(m, ViewTell)] == [2000]


@pytest.mark.parametrize("age_ms", [OLD_AGENT_MS, YOUNG_AGENT_MS])
def test_flow_reported_present_is_found(age_ms):
    node = balancer()
    [first, _] = queried_agents(node.on_caller(LOST, NOW))
    tell = FlowsTell(
        queue_of(node, first).number, present=(LOST.flow,), age_ms=age_ms
    )
    [(host, _)] = packets(node.on_peer(first, tell, NOW))
    assert host == first
