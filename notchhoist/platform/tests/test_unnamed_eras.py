"""Tests with a store that is restored from a backup and names no era."""

from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.model.view import FleetView
from notchhoist.platform.items import ServersListed
from notchhoist.platform.tests.test_documents import CONFIGURATION, ENTRY
from notchhoist.platform.tests.test_feeding import make_feeder
from notchhoist.platform.tests.test_store import changes, item, page
from notchhoist.platform.unnamed_eras import shows_older_state

TABLE = item("op/config", CONFIGURATION, 40)


def informed_feeder():
    """Returns a feeder that knows everything up to 63."""
    feeder = make_feeder(TABLE, item("servers/i-1", ENTRY, 61))
    feeder.next_call(0.5)
    feeder.on_answer(200, changes(as_of=63), 0.5)
    return feeder


def test_a_listing_of_a_lower_revision_starts_an_era():
    """Listings must not be ignored as older and repeated without a pause."""
    feeder = informed_feeder()
    feeder.next_call(1.0)
    feeder.on_answer(410, b"", 1.0)
    body = page(TABLE, item("servers/i-1", ENTRY, 41), as_of=60)
    for _ in range(2):
        assert "/kv-range" in feeder.next_call(1.1).target
        feeder.on_answer(200, body, 1.1)
    assert feeder.node.board.view.revision == make_revision(1, 60)
    assert "after=60" in feeder.next_call(1.2).target


def test_a_listing_with_an_older_entry_after_an_outage_starts_an_era():
    """A watch would not show the restore.

    The store's counter has passed the known revision.
    """
    feeder = informed_feeder()
    feeder.next_call(1.0)
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=70), 1.5)
    assert "/kv-range" in feeder.next_call(1.6).target
    body = page(TABLE, item("servers/i-1", ENTRY, 41), as_of=70)
    feeder.on_answer(200, body, 1.6)
    assert feeder.node.board.store_era == 1


def test_a_change_received_during_a_listing_does_not_indicate_a_restore():
    view = FleetView(revision=63, changed_at={"s": 65})
    assert not shows_older_state(ServersListed((), 64), view, 63)
    assert not shows_older_state(
        ServersListed((), 64, refused=(("s", 41),)), view, 63
    )
    assert shows_older_state(
        ServersListed((), 64, refused=(("s", 41),)), view, 65
    )


def test_an_outage_without_a_restore_starts_no_era():
    feeder = informed_feeder()
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=63), 1.5)
    feeder.next_call(1.6)
    body = page(TABLE, item("servers/i-1", ENTRY, 61), as_of=64)
    feeder.on_answer(200, body, 1.6)
    assert feeder.node.board.store_era == 0
    assert feeder.node.board.view.revision == 64


def test_a_listing_is_requested_though_others_send_updates_meanwhile():
    """Updates of other balancers must not replace the listing.

    They arrived first, and the reader continued with a watch from them.
    """
    feeder = informed_feeder()
    feeder.on_failed("reset", 1.0)
    feeder.next_call(1.5)
    feeder.on_answer(200, changes(as_of=63), 1.5)
    feeder.node.board.view.advance_to(66)
    assert "/kv-range" in feeder.next_call(1.6).target


def test_one_listing_is_enough_for_a_process_without_state():
    """A store that was down at the start must not be listed twice.

    The second listing loaded low-bandwidth links.
    """
    feeder = make_feeder()
    feeder.on_failed("reset", 0.5)
    feeder.reader.restart_listing()
    feeder.next_call(1.0)
    feeder.on_answer(200, page(TABLE, as_of=70), 1.0)
    assert "after=70" in feeder.next_call(1.1).target


def test_a_listing_follows_a_long_time_without_own_calls():
    """A restore may happen while the view comes from other balancers.

    A balancer made no call during the restore and continued with a watch
    from the store's new counter.
    """
    feeder = informed_feeder()
    feeder.next_call(0.6)
    assert "/kv-watch" in feeder.next_call(0.6).target
    later = 0.6 + feeder.node.synchronizer.max_age_s + 0.1
    assert "/kv-range" in feeder.next_call(later).target
