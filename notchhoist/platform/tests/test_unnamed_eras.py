"""A store that comes back from a copy and does not say so."""

from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.model.view import FleetView
from notchhoist.platform.items import ServersListed
from notchhoist.platform.tests.test_documents import CONFIGURATION, ENTRY
from notchhoist.platform.tests.test_feeding import fed
from notchhoist.platform.tests.test_store import changes, item, page
from notchhoist.platform.unnamed_eras import went_back

TABLE = item("op/config", CONFIGURATION, 40)


def known():
    """A balancer that knows everything up to 63."""
    feeder = fed(TABLE, item("servers/i-1", ENTRY, 61))
    feeder.next_call(0.5)
    feeder.on_answer(200, changes(as_of=63), 0.5)
    return feeder


def test_a_list_of_a_lower_revision_begins_an_era():
    """Lists were read without a pause and passed over as older."""
    feeder = known()
    feeder.next_call(1.0)
    feeder.on_answer(410, b"", 1.0)
    body = page(TABLE, item("servers/i-1", ENTRY, 41), as_of=60)
    for _ in range(2):
        assert "/kv-range" in feeder.next_call(1.1).target
        feeder.on_answer(200, body, 1.1)
    assert feeder.node.board.view.revision == make_revision(1, 60)
    assert "after=60" in feeder.next_call(1.2).target


def test_after_an_outage_a_list_that_shows_less_of_an_entry_begins_one():
    """The store's count had passed ours; a watch would have gone on."""
    feeder = known()
    feeder.next_call(1.0)
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=70), 1.5)
    assert "/kv-range" in feeder.next_call(1.6).target
    body = page(TABLE, item("servers/i-1", ENTRY, 41), as_of=70)
    feeder.on_answer(200, body, 1.6)
    assert feeder.node.board.store_era == 1


def test_an_entry_that_was_told_while_a_list_was_read_proves_nothing():
    view = FleetView(revision=63, changed_at={"s": 65})
    assert not went_back(ServersListed((), 64), view, 63)
    assert not went_back(ServersListed((), 64, refused=(("s", 41),)), view, 63)
    assert went_back(ServersListed((), 64, refused=(("s", 41),)), view, 65)


def test_a_usual_outage_begins_no_era():
    feeder = known()
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=63), 1.5)
    feeder.next_call(1.6)
    body = page(TABLE, item("servers/i-1", ENTRY, 61), as_of=64)
    feeder.on_answer(200, body, 1.6)
    assert feeder.node.board.store_era == 0
    assert feeder.node.board.view.revision == 64


def test_a_list_is_asked_for_though_others_tell_meanwhile():
    """What they told came first, and the reader went on from it."""
    feeder = known()
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=63), 1.5)
    feeder.node.board.view.advance_to(66)
    assert "/kv-range" in feeder.next_call(1.6).target


def test_one_list_is_enough_for_who_knows_nothing():
    """A store that was away at a start was listed twice on narrow links."""
    feeder = fed()
    feeder.on_failed("reset", 0.5)
    feeder.reader.list_again()
    feeder.next_call(1.0)
    feeder.on_answer(200, page(TABLE, as_of=70), 1.0)
    assert "after=70" in feeder.next_call(1.1).target


def test_who_was_told_by_others_for_long_lists_before_it_watches():
    """It made no call while the store came back, and went on from its count."""
    feeder = known()
    feeder.next_call(0.6)
    assert "/kv-watch" in feeder.next_call(0.6).target
    later = 0.6 + feeder.node.synchronizer.max_age_s + 0.1
    assert "/kv-range" in feeder.next_call(later).target
