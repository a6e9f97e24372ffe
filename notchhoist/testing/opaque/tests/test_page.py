"""Records of runs, and the page that is drawn of them."""

import xml.etree.ElementTree as ElementTree

import pytest

from notchhoist.testing.opaque.experiment import play
from notchhoist.testing.opaque.page import page_text, picture
from notchhoist.testing.opaque.record import (
    make_record,
    read_record,
    write_record,
)


@pytest.fixture(scope="module")
def record():
    return make_record("a run <1>", play("kill-agents", 3, 6.0))


def test_a_record_is_read_as_it_was_written(record):
    assert read_record(write_record(record)) == record


def test_a_record_holds_each_second_of_each_kind(record):
    assert set(record.by_kind) == {
        "roster-feed",
        "slot-booking",
        "score-upload",
    }
    shares = [
        share for row in record.by_zone.values() for share in row.values()
    ]
    assert all(0.0 <= share <= 1.0 for share in shares)
    assert record.disruptions


@pytest.mark.parametrize("text", ["", "[]", '{"title": "x"}'])
def test_what_is_no_record_is_refused(text):
    with pytest.raises(ValueError):
        read_record(text)


def test_a_picture_is_well_formed(record):
    drawn = ElementTree.fromstring(picture(record.by_kind, record))
    lines = [item for item in drawn if item.tag == "polyline"]
    assert len(lines) == 3


def test_two_runs_stand_side_by_side_and_need_no_network(record):
    text = page_text([record, record])
    assert text.count("<section>") == 2
    assert "a run &lt;1&gt;" in text
    assert "http" not in text
