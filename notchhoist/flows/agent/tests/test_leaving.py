"""Tests of draining servers: agents stop balancers that are not informed."""

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.agent.opening_gate import CUTOFF_SHARE, OpeningLimits
from notchhoist.flows.agent.tests.test_flow_offers import (
    offer_flow,
    pause_of,
    report_state,
)
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import (
    START,
    accept,
    send,
    send_request,
    to_backend,
)
from notchhoist.flows.tests.crafting import CODEC, request

DRAIN_S = 3.0
CUTOFF = START + CUTOFF_SHARE * DRAIN_S


def agent():
    limits = OpeningLimits(drain_s=DRAIN_S)
    return make_agent(crafting.SERVICE, CODEC, START - 100.0, limits=limits)


def test_draining_server_gets_no_new_flow_after_half_of_the_time_limit():
    """Guards against new flows when no balancer has learnt of the drain.

    Only the placement by balancers excluded draining servers.
    """
    node = agent()
    report_state(node, draining=True)
    assert to_backend(offer_flow(node, 1, CUTOFF - 0.1))
    assert pause_of(offer_flow(node, 2, CUTOFF)) > 0


def test_open_flows_of_a_draining_server_continue():
    node = agent()
    accept(node, 1)
    send_request(node, 1)
    report_state(node, draining=True)
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.FORWARD, CUTOFF + 1.0))


def test_drain_time_counts_from_the_first_report():
    node = agent()
    report_state(node, draining=True)
    report_state(node, CUTOFF - 0.1, revision=8, draining=True)
    assert pause_of(offer_flow(node, 2, CUTOFF)) > 0


def test_report_from_a_store_backup_does_not_end_the_drain():
    """Guards against a balancer that reads an older backup of the store.

    It started after the store was restored, and knew nothing of the drain.
    """
    node = agent()
    report_state(node, revision=make_revision(1, 63), draining=True)
    report_state(node, START + 1.0, revision=make_revision(2, 40))
    assert pause_of(offer_flow(node, 2, CUTOFF)) > 0
    report_state(node, START + 1.0, revision=make_revision(2, 64))
    assert to_backend(offer_flow(node, 3, CUTOFF))


def test_restarted_server_gets_new_flows():
    node = agent()
    report_state(node, revision=make_revision(1, 63), draining=True, born_ms=5)
    report_state(node, revision=make_revision(2, 40), born_ms=9)
    assert to_backend(offer_flow(node, 2, CUTOFF))
