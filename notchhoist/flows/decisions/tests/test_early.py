"""Packets that come before routes are known: kept while they are of use."""

import pytest
from msgspec.structs import replace

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.decisions.early import (
    DATA_KEPT_S,
    PACKETS_MAX,
    EarlyPackets,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.wishes import TRY_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, SYN, request


def opening(port=1, copies=0):
    return request(flags=SYN, port=port, ack=copies)


def test_the_newest_copy_is_kept_and_grows_older():
    early = EarlyPackets()
    early.keep(opening(), 10.0)
    early.keep(opening(copies=1), 10.2)
    [segment] = early.take(10.5)
    assert segment.waited_s == pytest.approx(0.5)
    assert not early.take(10.5)


def test_a_packet_is_kept_while_its_caller_waits_for_the_answer():
    early = EarlyPackets()
    early.keep(opening(port=1), 10.0)
    early.keep(request(port=2, data=b"x"), 10.0)
    assert len(early.take(10.0 + DATA_KEPT_S - 0.01)) == 2
    early.keep(opening(port=1), 10.0)
    early.keep(request(port=2, data=b"x"), 10.0)
    [segment] = early.take(10.0 + DATA_KEPT_S)
    assert segment.opens
    early.keep(opening(port=1), 10.0)
    assert not early.take(10.0 + TRY_S)


def test_a_caller_that_resets_its_flow_waits_no_longer():
    early = EarlyPackets()
    early.keep(opening(), 10.0)
    early.keep(request(flags=crafting.RST, port=1), 10.1)
    assert not early.take(10.2)


def test_packets_are_kept_within_bounds_and_ended_ones_make_room():
    early = EarlyPackets()
    flows = [
        replace(opening(), flow=number.to_bytes(12))
        for number in range(PACKETS_MAX + 1)
    ]
    kept = [early.keep(segment, 10.0) for segment in flows]
    assert kept.count(False) == 1
    assert early.keep(flows[-1], 10.0 + TRY_S)


def test_only_tries_whose_former_one_was_unseen_may_be_retries():
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


def test_an_opening_that_comes_too_early_is_offered_once_routes_are_known():
    """It was thrown away, and cost its caller one of three tries."""
    node = balancer()
    node.tick(10.0)
    assert not node.on_caller(opening(copies=2), 10.1)
    effects = publish(node, 10.3)
    [sent] = [item for item in effects if isinstance(item, SendAgent)]
    wish = notes.wish_of(CODEC.decode_request(sent.datagram).note)
    assert wish.age_s == pytest.approx(0.7)
    assert wish.may_be_retry
    assert node.board.records.counters[Count.KEPT_EARLY] == 1


def test_an_early_packet_of_an_open_flow_is_searched_for_at_once():
    node = balancer()
    node.on_caller(request(port=4, data=b"x"), 10.1)
    publish(node, 10.2)
    assert request(port=4).flow in node.board.searches
