"""Tests of the buffer of packets that arrive before routes are known."""

import pytest
from msgspec.structs import replace

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.decisions.early_packets import (
    DATA_KEPT_S,
    EARLY_PACKETS_MAX,
    EarlyPackets,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.model.service_names import decode_from_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, SYN, request


def opening(port=1, copies=0):
    return request(flags=SYN, port=port, ack=copies)


def test_newest_copy_is_kept_and_its_waiting_time_grows():
    early = EarlyPackets()
    early.keep(opening(), 10.0)
    early.keep(opening(copies=1), 10.2)
    [segment] = early.take(10.5)
    assert segment.waited_s == pytest.approx(0.5)
    assert not early.take(10.5)


def test_packet_is_kept_while_its_caller_waits_for_the_answer():
    early = EarlyPackets()
    early.keep(opening(port=1), 10.0)
    early.keep(request(port=2, data=b"x"), 10.0)
    assert len(early.take(10.0 + DATA_KEPT_S - 0.01)) == 2
    early.keep(opening(port=1), 10.0)
    early.keep(request(port=2, data=b"x"), 10.0)
    [segment] = early.take(10.0 + DATA_KEPT_S)
    assert segment.opens
    early.keep(opening(port=1), 10.0)
    assert not early.take(10.0 + ATTEMPT_TIMEOUT_S)


def test_packet_of_a_flow_that_its_caller_resets_is_dropped():
    early = EarlyPackets()
    early.keep(opening(), 10.0)
    early.keep(request(flags=crafting.RST, port=1), 10.1)
    assert not early.take(10.2)


def test_buffer_is_bounded_and_expired_packets_make_room():
    early = EarlyPackets()
    flows = [
        replace(opening(), flow=number.to_bytes(12))
        for number in range(EARLY_PACKETS_MAX + 1)
    ]
    kept = [early.keep(segment, 10.0) for segment in flows]
    assert kept.count(False) == 1
    assert early.keep(flows[-1], 10.0 + ATTEMPT_TIMEOUT_S)


def test_attempt_may_be_a_retry_only_if_a_previous_one_was_unseen():
    early = EarlyPackets()
    early.note_start(10.0)
    early.note_start(20.0)
    assert early.may_be_retry(10.7)
    assert not early.may_be_retry(10.9)


def balancer():
    return make_balancer("a", CODEC, "seed", "10.0.1.1")


def publish(node, now):
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_listing([(crafting.entry(1), 1)], 1, now)
    node.on_published(now)
    return node.take_effects()


def test_early_opening_packet_is_offered_once_routes_are_known():
    """If it is dropped, its caller loses one of three connection attempts."""
    node = balancer()
    node.tick(10.0)
    assert not node.on_caller(opening(copies=2), 10.1)
    effects = publish(node, 10.3)
    [sent] = [item for item in effects if isinstance(item, SendAgent)]
    offered, _ = decode_from_balancer(CODEC, sent.datagram)
    wish = notes.hints_of(offered.note)
    assert wish.waited_s == pytest.approx(0.7)
    assert wish.may_be_retry
    assert node.board.records.counters[Count.KEPT_EARLY] == 1


def test_early_packet_of_an_open_flow_starts_a_search_at_once():
    node = balancer()
    node.on_caller(request(port=4, data=b"x"), 10.1)
    publish(node, 10.2)
    assert request(port=4).flow in node.board.searches
