"""Records of runs, and the page that shows them."""

import xml.etree.ElementTree as ElementTree

import pytest

from notchhoist.testing.opaque.experiment import simulate
from notchhoist.testing.opaque.page import chart, page_text
from notchhoist.testing.opaque.record import (
    make_record,
    read_record,
    write_record,
)


@pytest.fixture(scope="module")
def record():
    return make_record("a run <1>", simulate("kill-agents", 3, 6.0))


def test_a_record_survives_writing_and_reading(record):
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
def test_other_texts_are_rejected(text):
    with pytest.raises(ValueError):
        read_record(text)


def test_a_chart_is_well_formed(record):
    drawn = ElementTree.fromstring(chart(record.by_kind, record))
    lines = [item for item in drawn if item.tag == "polyline"]
    assert len(lines) == 3


def test_two_runs_are_shown_without_external_resources(record):
    text = page_text([record, record])
    assert text.count("<section>") == 2
    assert "a run &lt;1&gt;" in text
    assert "http" not in text
