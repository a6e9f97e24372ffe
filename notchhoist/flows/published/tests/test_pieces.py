"""Large views travel compressed: at which cost, and when a piece is lost."""

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
TELLER, ASKER = "10.0.0.101", "10.0.0.102"
NARROW_BYTES_S = 5 * 125_000


def teller(revision=9):
    made = make_balancer("a", CODEC, "t", TELLER)
    routes = [crafting.route(port=1000 + n) for n in range(ROUTES)]
    made.fleet.tables.on_table(crafting.table(3, routes), 5)
    servers = [(entry(n), 1) for n in range(SERVERS)]
    made.fleet.on_listing(servers, revision, 0.0)
    made.sharer.on_confirmed(0.0)
    made.take_effects()
    return made


def told(node, host=ASKER, ask=None):
    ask = ask or ViewAsk(0, 5, 1, reads_pieces=True)
    effects = node.on_peer(host, ask, 0.1)
    return [
        encode_message(item.message)
        for item in effects
        if isinstance(item, SendPeer) and item.host == host
    ]


def take(node, datagrams, now=0.2):
    for data in datagrams:
        node.on_peer(TELLER, decode_message(data), now)


def test_a_whole_view_takes_a_narrow_link_a_twentieth_of_a_second():
    """139 messages of 120 KB to each asker took three tellers 0.6 s."""
    node = teller()
    node.sharer.membership.heard = {
        f"10.100.100.{100 + n}": 0.0 for n in range(20)
    }
    datagrams = told(node)
    assert max(map(len, datagrams)) <= 1500 - 28
    assert sum(map(len, datagrams)) < NARROW_BYTES_S * 0.05
    asker = make_balancer("a", CODEC, "x", ASKER)
    take(asker, reversed(datagrams))
    assert asker.is_ready
    assert len(asker.board.table.routes) == ROUTES
    assert len(asker.board.servers) == SERVERS


def test_it_is_made_once_however_many_ask(monkeypatch):
    made, node = [], teller()
    pack = pieces_module.ViewPacker.pack

    def counted(self, change):
        known = self.packed_change
        result = pack(self, change)
        made.append(self.packed_change is not known)
        return result

    monkeypatch.setattr(pieces_module.ViewPacker, "pack", counted)
    for number in range(20):
        told(node, f"10.0.1.{number}")
    assert made == [True] + [False] * 19


def test_a_lost_piece_is_filled_in_by_the_next_answer():
    node, asker = teller(), make_balancer("a", CODEC, "x", ASKER)
    first = told(node)
    take(asker, first[:3] + first[4:])
    assert not asker.board.fleet_known
    take(asker, told(node)[3:4], 0.4)
    assert asker.is_ready


def test_pieces_of_two_views_are_never_mixed():
    asker = make_balancer("a", CODEC, "x", ASKER)
    one, other = told(teller(9)), told(teller(10))
    take(asker, one[: len(one) // 2] + other[len(other) // 2 :])
    assert not asker.board.fleet_known


def test_a_view_that_is_known_is_not_read_again_but_confirms():
    node, asker = teller(), make_balancer("a", CODEC, "x", ASKER)
    datagrams = told(node)
    take(asker, datagrams)
    asker.sharer.asked_at[1] = 0.3
    take(asker, datagrams[:-1], 0.4)
    assert not asker.sharer.pieces.incoming
    assert asker.board.confirmed_at == pytest.approx(0.2)


def test_a_view_of_before_a_restore_confirms_nothing():
    asker = make_balancer("a", CODEC, "x", ASKER)
    take(asker, told(teller(make_revision(1, 9))))
    asker.sharer.asked_at[1] = 0.3
    before = asker.board.confirmed_at
    take(asker, told(teller(9)), 0.4)
    assert asker.board.confirmed_at == before


def test_a_view_that_is_to_mend_another_is_read_at_the_same_revision():
    node, asker = teller(), make_balancer("a", CODEC, "x", ASKER)
    take(asker, told(node))
    asker.board.view.servers["ghost"] = entry(9, server_id="ghost")
    take(asker, told(node, ask=ViewAsk(0, 5, 0, reads_pieces=True)))
    assert "ghost" not in asker.board.view.servers


def test_pieces_that_are_no_view_are_refused_and_forgotten():
    asker = make_balancer("a", CODEC, "x", ASKER)
    piece = ViewPiece(9, 0, 0.0, (), 0, 1, b"no view")
    asker.on_peer(TELLER, piece, 0.2)
    assert not asker.board.fleet_known
    [refused] = [
        item
        for item in asker.board.records.decisions
        if item.event == "view refused"
    ]
    assert refused.inputs["teller"] == TELLER
    take(asker, told(teller()))
    assert asker.is_ready


@pytest.mark.parametrize("old", ["asker", "teller"])
def test_with_a_former_version_views_travel_in_parts(old):
    uses = ALL.without(["pieces"])
    node, ask = teller(), ViewAsk(0, 5, 1, reads_pieces=old != "asker")
    if old == "teller":
        node.board.uses = uses
    messages = [decode_message(data) for data in told(node, ask=ask)]
    assert all(isinstance(item, ViewTell) for item in messages)
    asker = make_balancer("a", CODEC, "x", ASKER, uses=uses)
    for message in messages:
        asker.on_peer(TELLER, message, 0.2)
    assert asker.is_ready


def test_a_small_change_stays_one_plain_message():
    node = teller()
    node.fleet.on_entry(entry(1, draining=True), 12, 0.1)
    node.board.view.reach(12)
    [data] = told(node, ask=ViewAsk(9, 5, 1, reads_pieces=True))
    assert isinstance(decode_message(data), ViewTell)


def test_a_packed_view_tells_of_former_routes_too():
    piece = ViewPiece(5, 0, 0.1, (), 0, 1, b"x", rerouted_for_ms=900)
    assert decode_message(encode_message(piece)).rerouted_for_ms == 900
