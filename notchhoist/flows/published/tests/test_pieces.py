"""Large views are sent compressed: cost, caching and lost pieces."""

import pytest

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.messages import ViewAsk, ViewPiece, ViewTell
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.published import pieces as pieces_module
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry

ROUTES = 1_600
SERVERS = 70
SENDER, RECEIVER = "10.0.0.101", "10.0.0.102"
SLOW_LINK_BYTES_S = 5 * 125_000


def make_sender(revision=9):
    sender = make_balancer("a", CODEC, "t", SENDER)
    routes = [crafting.route(port=1000 + n) for n in range(ROUTES)]
    sender.fleet.tables.on_table(crafting.table(3, routes), 5)
    servers = [(entry(n), 1) for n in range(SERVERS)]
    sender.fleet.on_listing(servers, revision, 0.0)
    sender.synchronizer.on_confirmed(0.0)
    sender.take_effects()
    return sender


def query_messages(node, host=RECEIVER, query=None):
    query = query or ViewAsk(0, 5, 1, reads_pieces=True)
    effects = node.on_peer(host, query, 0.1)
    return [
        encode_message(item.message)
        for item in effects
        if isinstance(item, SendPeer) and item.host == host
    ]


def deliver(node, datagrams, now=0.2):
    for data in datagrams:
        node.on_peer(SENDER, decode_message(data), now)


def test_full_view_takes_a_slow_link_less_than_50_ms():
    """Guards against large updates after a power loss.

    Three senders took 0.6 s to send each receiver 120 KB in 139 messages.
    """
    node = make_sender()
    node.synchronizer.membership.last_heard = {
        f"10.100.100.{100 + n}": 0.0 for n in range(20)
    }
    datagrams = query_messages(node)
    assert max(map(len, datagrams)) <= 1500 - 28
    assert sum(map(len, datagrams)) < SLOW_LINK_BYTES_S * 0.05
    receiver = make_balancer("a", CODEC, "x", RECEIVER)
    deliver(receiver, reversed(datagrams))
    assert receiver.is_ready
    assert len(receiver.board.table.routes) == ROUTES
    assert len(receiver.board.servers) == SERVERS


def test_view_is_packed_once_for_many_queries(monkeypatch):
    packed, node = [], make_sender()
    pack = pieces_module.ViewPacker.pack

    def count_pack(self, change):
        before_pack = self.packed_change
        result = pack(self, change)
        packed.append(self.packed_change is not before_pack)
        return result

    monkeypatch.setattr(pieces_module.ViewPacker, "pack", count_pack)
    for number in range(20):
        query_messages(node, f"10.0.1.{number}")
    assert packed == [True] + [False] * 19


def test_lost_piece_is_replaced_by_the_next_response():
    node, receiver = make_sender(), make_balancer("a", CODEC, "x", RECEIVER)
    first = query_messages(node)
    deliver(receiver, first[:3] + first[4:])
    assert not receiver.board.fleet_known
    deliver(receiver, query_messages(node)[3:4], 0.4)
    assert receiver.is_ready


def test_pieces_of_two_views_are_not_mixed():
    receiver = make_balancer("a", CODEC, "x", RECEIVER)
    one, other = query_messages(make_sender(9)), query_messages(make_sender(10))
    deliver(receiver, one[: len(one) // 2] + other[len(other) // 2 :])
    assert not receiver.board.fleet_known


def test_known_view_is_not_unpacked_again_but_confirms():
    node, receiver = make_sender(), make_balancer("a", CODEC, "x", RECEIVER)
    datagrams = query_messages(node)
    deliver(receiver, datagrams)
    receiver.synchronizer.query_sent_at[1] = 0.3
    deliver(receiver, datagrams[:-1], 0.4)
    assert not receiver.synchronizer.pieces.incoming
    assert receiver.board.confirmed_at == pytest.approx(0.2)


def test_view_of_an_earlier_era_confirms_nothing():
    receiver = make_balancer("a", CODEC, "x", RECEIVER)
    deliver(receiver, query_messages(make_sender(make_revision(1, 9))))
    receiver.synchronizer.query_sent_at[1] = 0.3
    before = receiver.board.confirmed_at
    deliver(receiver, query_messages(make_sender(9)), 0.4)
    assert receiver.board.confirmed_at == before


def test_view_requested_to_reconcile_is_applied_at_the_same_revision():
    node, receiver = make_sender(), make_balancer("a", CODEC, "x", RECEIVER)
    deliver(receiver, query_messages(node))
    receiver.board.view.servers["ghost"] = entry(9, server_id="ghost")
    deliver(
        receiver,
        query_messages(node, query=ViewAsk(0, 5, 0, reads_pieces=True)),
    )
    assert "ghost" not in receiver.board.view.servers


def test_invalid_pieces_are_refused_and_dropped():
    receiver = make_balancer("a", CODEC, "x", RECEIVER)
    piece = ViewPiece(9, 0, 0.0, (), 0, 1, b"no view")
    receiver.on_peer(SENDER, piece, 0.2)
    assert not receiver.board.fleet_known
    [refused] = [
        item
        for item in receiver.board.records.decisions
        if item.event == "view refused"
    ]
    assert refused.inputs["teller"] == SENDER
    deliver(receiver, query_messages(make_sender()))
    assert receiver.is_ready


@pytest.mark.parametrize("old", ["asker", "teller"])
def test_views_are_sent_in_parts_to_and_by_older_versions(old):
    uses = ALL.without(["pieces"])
    node, query = make_sender(), ViewAsk(0, 5, 1, reads_pieces=old != "asker")
    if old == "teller":
        node.board.uses = uses
    messages = [
        decode_message(data) for data in query_messages(node, query=query)
    ]
    assert all(isinstance(item, ViewTell) for item in messages)
    receiver = make_balancer("a", CODEC, "x", RECEIVER, uses=uses)
    for message in messages:
        receiver.on_peer(SENDER, message, 0.2)
    assert receiver.is_ready


def test_small_change_is_one_uncompressed_message():
    node = make_sender()
    node.fleet.on_entry(entry(1, draining=True), 12, 0.1)
    node.board.view.advance_to(12)
    [data] = query_messages(node, query=ViewAsk(9, 5, 1, reads_pieces=True))
    assert isinstance(decode_message(data), ViewTell)


def test_piece_carries_the_age_of_a_reroute():
    piece = ViewPiece(5, 0, 0.1, (), 0, 1, b"x", rerouted_for_ms=900)
    assert decode_message(encode_message(piece)).rerouted_for_ms == 900
