"""A store that comes back from a copy: revisions go back and out again."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.revisions import make_revision
from notchhoist.platform.checking import FieldError
from notchhoist.platform.eras import read_era
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.store import Want
from notchhoist.platform.tests.test_documents import CONFIGURATION, ENTRY
from notchhoist.platform.tests.test_feeding import fed
from notchhoist.platform.tests.test_store import (
    changes,
    item,
    page,
    reader,
)

ERA_1 = {"store-era": "1"}
ERA_2 = {"store-era": "2"}
LEAVING = {**ENTRY, "state": "draining"}


def known() -> StoreFeeder:
    """A balancer that knows everything up to 63 of the first era."""
    feeder = fed()
    feeder.reader.want = Want.LISTING
    feeder.next_call(0.0)
    body = page(
        item("op/config", CONFIGURATION, 40),
        item("servers/i-1", ENTRY, 41),
        as_of=63,
    )
    feeder.on_answer(200, body, 0.0, ERA_1)
    return feeder


def is_leaving(feeder: StoreFeeder) -> bool:
    return feeder.node.board.servers["i-1"].entry.draining


def asked(feeder: StoreFeeder, now: float) -> str:
    call = feeder.next_call(now)
    assert call is not None
    return call.target


def test_what_is_written_after_a_restore_is_news_whatever_its_revision():
    """Its counter passed ours, and the watch went on as if nothing lacked."""
    feeder = known()
    assert "after=63" in asked(feeder, 1.0)
    feeder.on_answer(410, b"", 1.0, ERA_2)
    assert "/kv-range" in asked(feeder, 1.0)
    body = page(
        item("op/config", CONFIGURATION, 40),
        item("servers/i-1", ENTRY, 41),
        as_of=60,
    )
    feeder.on_answer(200, body, 1.1, ERA_2)
    assert "after=60" in asked(feeder, 1.1)
    feeder.on_answer(
        200, changes(item("servers/i-1", LEAVING, 62), as_of=62), 1.2, ERA_2
    )
    assert is_leaving(feeder)


def test_a_watch_that_the_new_era_answers_is_of_no_use():
    """The counter had passed ours before anybody asked again."""
    feeder = known()
    asked(feeder, 1.0)
    body = changes(item("servers/i-2", ENTRY, 64), as_of=64)
    feeder.on_answer(200, body, 1.0, ERA_2)
    assert "i-2" not in feeder.node.board.servers
    assert feeder.node.board.view.revision == make_revision(1, 63)
    assert "/kv-range" in asked(feeder, 1.0)


def test_a_refused_watch_confirms_nothing():
    feeder = known()
    feeder.on_answer(410, b"", 1.0, ERA_1)
    assert feeder.node.board.confirmed_at == 0.0


def test_a_confirmation_of_another_era_confirms_nothing():
    feeder = known()
    feeder.on_confirmation(200, changes(as_of=64), 1.0, ERA_2)
    assert feeder.node.board.view.revision == make_revision(1, 63)
    assert feeder.node.board.confirmed_at == 0.0


def test_an_answer_of_an_earlier_era_is_of_no_use():
    """It was under way when the store came back."""
    feeder = known()
    feeder.on_answer(410, b"", 1.0, ERA_2)
    feeder.on_answer(200, page(as_of=63), 1.0, ERA_1)
    assert "i-1" in feeder.node.board.servers
    assert feeder.lost


def test_pages_of_two_eras_make_no_list():
    made = reader()
    made.next_call()
    first = page(item("servers/i-1", ENTRY), more=True, as_of=63)
    assert not made.on_answer(200, first, 0.0, 1)
    assert "after=servers" in made.next_call().target
    assert not made.on_answer(200, page(as_of=60), 0.0, 2)
    assert made.next_call().target == "/kv-range?path_prefix="
    [whole] = made.on_answer(200, page(as_of=61), 0.0, 2)
    assert whole.revision == make_revision(2, 61)
    assert not whole.entries


def test_a_refusal_tells_the_era_too():
    made = reader()
    made.next_call()
    with pytest.raises(PlatformError, match="503"):
        made.on_answer(503, b"", 0.0, 2)
    assert made.era == 2


@given(st.text(max_size=12))
def test_an_era_is_a_count_or_an_error(text):
    try:
        assert read_era({"store-era": text}, 1) == int(text)
    except FieldError as error:
        assert error.problem.place == "store-era"


def test_an_answer_that_names_no_era_is_of_the_known_one():
    """Somebody between may answer in the store's place."""
    feeder = known()
    feeder.on_answer(200, changes(item("servers/i-1", LEAVING, 64)), 1.0)
    assert is_leaving(feeder)


def test_everything_is_read_once_more_when_the_store_has_settled():
    """What only the time before the restore knew is kept until then."""
    feeder = known()
    feeder.on_answer(410, b"", 1.0, ERA_2)
    asked(feeder, 1.0)
    body = page(item("op/config", CONFIGURATION, 40), as_of=45)
    feeder.on_answer(200, body, 1.0, ERA_2)
    assert feeder.node.board.servers["i-1"].listed
    assert "after=45" in asked(feeder, 1.1)
    feeder.on_answer(200, changes(as_of=45), 3.4, ERA_2)
    assert "/kv-range" in asked(feeder, 3.6)
    feeder.on_answer(200, body, 3.7, ERA_2)
    assert not feeder.node.board.servers["i-1"].listed
    assert "after=45" in asked(feeder, 3.8)


def test_an_older_configuration_in_the_copy_does_not_come_into_force():
    feeder = known()
    older = json.loads(json.dumps(CONFIGURATION)) | {"version": 3}
    feeder.on_answer(410, b"", 1.0, ERA_2)
    asked(feeder, 1.0)
    body = page(item("op/config", older, 30), as_of=45)
    feeder.on_answer(200, body, 1.0, ERA_2)
    table = feeder.node.board.table
    assert table is not None
    assert table.version == CONFIGURATION["version"]
