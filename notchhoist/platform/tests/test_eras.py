"""Tests with a store that is restored from a backup and names its era.

Its revisions go back and then stand for other changes.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.revisions import make_revision
from notchhoist.platform.eras import read_era
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.json_fields import FieldError
from notchhoist.platform.store import ReadKind
from notchhoist.platform.tests.test_documents import CONFIGURATION, ENTRY
from notchhoist.platform.tests.test_feeding import make_feeder
from notchhoist.platform.tests.test_store import (
    changes,
    item,
    page,
    reader,
)

ERA_1 = {"store-era": "1"}
ERA_2 = {"store-era": "2"}
DRAINING = {**ENTRY, "state": "draining"}


def informed_feeder() -> StoreFeeder:
    """Returns a feeder that knows everything up to 63 of the first era."""
    feeder = make_feeder()
    feeder.reader.next_read = ReadKind.LISTING
    feeder.next_call(0.0)
    body = page(
        item("op/config", CONFIGURATION, 40),
        item("servers/i-1", ENTRY, 41),
        as_of=63,
    )
    feeder.on_answer(200, body, 0.0, ERA_1)
    return feeder


def is_draining(feeder: StoreFeeder) -> bool:
    return feeder.node.board.servers["i-1"].entry.draining


def next_target(feeder: StoreFeeder, now: float) -> str:
    call = feeder.next_call(now)
    assert call is not None
    return call.target


def test_changes_after_a_restore_apply_whatever_their_revision():
    """A watch from a revision of the former era must not continue.

    The store's counter passed the known revision, so that the watch missed
    the changes that were written after the restore.
    """
    feeder = informed_feeder()
    assert "after=63" in next_target(feeder, 1.0)
    feeder.on_answer(410, b"", 1.0, ERA_2)
    assert "/kv-range" in next_target(feeder, 1.0)
    body = page(
        item("op/config", CONFIGURATION, 40),
        item("servers/i-1", ENTRY, 41),
        as_of=60,
    )
    feeder.on_answer(200, body, 1.1, ERA_2)
    assert "after=60" in next_target(feeder, 1.1)
    feeder.on_answer(
        200, changes(item("servers/i-1", DRAINING, 62), as_of=62), 1.2, ERA_2
    )
    assert is_draining(feeder)


def test_a_watch_answered_in_a_new_era_is_discarded():
    """The store's counter may pass the known revision before the next call."""
    feeder = informed_feeder()
    next_target(feeder, 1.0)
    body = changes(item("servers/i-2", ENTRY, 64), as_of=64)
    feeder.on_answer(200, body, 1.0, ERA_2)
    assert "i-2" not in feeder.node.board.servers
    assert feeder.node.board.view.revision == make_revision(1, 63)
    assert "/kv-range" in next_target(feeder, 1.0)


def test_a_refused_watch_confirms_nothing():
    feeder = informed_feeder()
    feeder.on_answer(410, b"", 1.0, ERA_1)
    assert feeder.node.board.confirmed_at == 0.0


def test_a_confirmation_of_another_era_confirms_nothing():
    feeder = informed_feeder()
    feeder.on_confirmation(200, changes(as_of=64), 1.0, ERA_2)
    assert feeder.node.board.view.revision == make_revision(1, 63)
    assert feeder.node.board.confirmed_at == 0.0


def test_an_answer_of_an_earlier_era_is_rejected():
    """Such an answer was on its way when the store was restored."""
    feeder = informed_feeder()
    feeder.on_answer(410, b"", 1.0, ERA_2)
    feeder.on_answer(200, page(as_of=63), 1.0, ERA_1)
    assert "i-1" in feeder.node.board.servers
    assert feeder.last_call_failed


def test_pages_of_two_eras_are_not_combined_into_a_listing():
    store_reader = reader()
    store_reader.next_call()
    first = page(item("servers/i-1", ENTRY), more=True, as_of=63)
    assert not store_reader.on_answer(200, first, 0.0, 1)
    assert "after=servers" in store_reader.next_call().target
    assert not store_reader.on_answer(200, page(as_of=60), 0.0, 2)
    assert store_reader.next_call().target == "/kv-range?path_prefix="
    [listing] = store_reader.on_answer(200, page(as_of=61), 0.0, 2)
    assert listing.revision == make_revision(2, 61)
    assert not listing.entries


def test_a_refusal_names_the_era_too():
    store_reader = reader()
    store_reader.next_call()
    with pytest.raises(PlatformError, match="503"):
        store_reader.on_answer(503, b"", 0.0, 2)
    assert store_reader.era == 2


@given(st.text(max_size=12))
def test_an_era_is_a_count_or_an_error(text):
    try:
        assert read_era({"store-era": text}, 1) == int(text)
    except FieldError as error:
        assert error.problem.place == "store-era"


def test_an_answer_that_names_no_era_is_taken_as_of_the_known_one():
    """An intermediary may answer in place of the store."""
    feeder = informed_feeder()
    feeder.on_answer(200, changes(item("servers/i-1", DRAINING, 64)), 1.0)
    assert is_draining(feeder)


def test_a_second_listing_follows_the_grace_period_after_a_restore():
    """Entries that the backup lacks are kept until then."""
    feeder = informed_feeder()
    feeder.on_answer(410, b"", 1.0, ERA_2)
    next_target(feeder, 1.0)
    body = page(item("op/config", CONFIGURATION, 40), as_of=45)
    feeder.on_answer(200, body, 1.0, ERA_2)
    assert feeder.node.board.servers["i-1"].listed
    assert "after=45" in next_target(feeder, 1.1)
    feeder.on_answer(200, changes(as_of=45), 3.4, ERA_2)
    assert "/kv-range" in next_target(feeder, 3.6)
    feeder.on_answer(200, body, 3.7, ERA_2)
    assert not feeder.node.board.servers["i-1"].listed
    assert "after=45" in next_target(feeder, 3.8)


def test_an_older_configuration_in_the_backup_is_not_applied():
    feeder = informed_feeder()
    older = json.loads(json.dumps(CONFIGURATION)) | {"version": 3}
    feeder.on_answer(410, b"", 1.0, ERA_2)
    next_target(feeder, 1.0)
    body = page(item("op/config", older, 30), as_of=45)
    feeder.on_answer(200, body, 1.0, ERA_2)
    table = feeder.node.board.table
    assert table is not None
    assert table.version == CONFIGURATION["version"]
