"""Tests that every value can be logged, in a line of bounded length."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.daemon.flow_journal import MAX_LINE_BYTES, FlowJournal


class Unprintable:
    def __str__(self):
        raise ValueError("has no text")

    __repr__ = __str__


def nested(levels, wrap, value=1):
    for _ in range(levels):
        value = wrap(value)
    return value


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.integers().map(lambda number: number << 20_000),
    st.floats(),
    st.text(st.characters(exclude_categories=[])),
    st.text(max_size=5).map(lambda text: text * 3000),
    st.binary(),
    st.builds(Unprintable),
    st.complex_numbers(),
    st.just("\ud800"),
)
KEYS = st.one_of(
    st.text(st.characters(exclude_categories=[])),
    st.integers(),
    st.none(),
    st.binary(),
    st.tuples(st.integers(), st.text()),
    st.floats(),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner),
        st.dictionaries(KEYS, inner),
        st.tuples(inner, inner),
        st.frozensets(st.integers()),
        inner.map(lambda value: nested(300, lambda item: [item], value)),
    ),
    max_leaves=8,
)


def write_line(**fields):
    lines = []
    FlowJournal("h", lambda: 1.0, lambda: 0.0, lines.append).log("e", **fields)
    [line] = lines
    return line


def check(line):
    assert line.endswith(b"\n")
    assert line.count(b"\n") == 1
    assert len(line) <= MAX_LINE_BYTES
    fields = json.loads(line)
    assert (fields["message_type"], fields["host"]) == ("e", "h")
    return fields


NAMES = st.one_of(
    st.text(st.characters(codec="ascii")), st.sampled_from(["flow", "cut"])
)


@settings(deadline=None)
@given(st.dictionaries(NAMES, VALUES, max_size=5))
def test_every_value_can_be_logged(fields):
    fields.pop("event", None)
    fields.pop("self", None)
    check(write_line(**fields))


@pytest.mark.parametrize(
    "value",
    [
        "\ud800",
        {"\ud800": 1},
        10**5000,
        nested(100_000, lambda item: [item]),
        nested(100_000, lambda item: {"a": item}),
        Unprintable(),
        [Unprintable()],
        "x" * 1_000_000,
        ["x" * 100] * 10_000,
        {n: n for n in range(10_000)},
    ],
    ids=lambda value: type(value).__name__,
)
def test_an_odd_value_leaves_the_other_fields_as_they_are(value):
    fields = check(write_line(odd=value, outcome="found nowhere", asked=7))
    assert (fields["outcome"], fields["asked"]) == ("found nowhere", 7)
    assert "odd" in fields
    assert fields["cut"] is True


def test_a_line_of_many_fields_is_cut_and_says_so():
    fields = check(write_line(**{f"f{n}": "x" * 90 for n in range(500)}))
    assert fields["cut"] is True
    assert fields["f0"] == "x" * 90


def test_what_is_no_number_in_json_is_null():
    assert check(write_line(a=math.nan))["a"] is None


@pytest.mark.parametrize(
    "flow",
    ["\ud800", 10**5000, Unprintable()],
    ids=lambda value: type(value).__name__,
)
def test_a_flow_with_an_odd_text_can_be_logged(flow):
    lines = []
    journal = FlowJournal("h", lambda: 1.0, lambda: 0.0, lines.append)
    journal.log("place", flow=flow)
    assert json.loads(lines[0])["message_type"] == "place"
