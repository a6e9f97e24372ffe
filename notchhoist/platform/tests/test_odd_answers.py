"""Odd items and answers of the store: a whole small fleet goes on following."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.flows.codec.compact import read_struct, write_struct
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.message_codec import encode_message
from notchhoist.flows.model import ranges
from notchhoist.flows.model.messages import ViewTell
from notchhoist.platform.documents import decode_json
from notchhoist.platform.json_fields import FieldError
from notchhoist.platform.tests import odd_data
from notchhoist.platform.tests.odd_data import (
    ODD_TEXTS,
    Fleet,
    with_odd_text,
)
from notchhoist.platform.tests.test_documents import CONFIGURATION, ENTRY

ODD = "servers/i-5"
ODD_ENTRY = {**ENTRY, "address": "10.128.0.50:8080", "born": 7}
SPLIT = [{"service": "hallbook", "weight": 9}, {"service": "b", "weight": 1}]
ROUTE = CONFIGURATION["routes"][0]
WIDE_CONFIGURATION = {
    **CONFIGURATION,
    "routes": [ROUTE, {**ROUTE, "path_prefix": "/9/", "split": SPLIT}],
    "services": [{"name": "hallbook", "cold_per_s": 6, "cold_start_s": 2}],
}
ENTRY_PATHS = [[name] for name in (*ODD_ENTRY, "unheard-of")]
CONFIGURATION_PATHS = [
    *([name] for name in (*WIDE_CONFIGURATION, "unheard-of")),
    *(["routes", 1, name] for name in (*ROUTE, "split", "unheard-of")),
    *(["routes", index] for index in (0, 1)),
    *(["routes", 1, "split", 0, name] for name in ("service", "weight")),
    ["routes", 1, "split", 1],
    *(["services", 0, name] for name in WIDE_CONFIGURATION["services"][0]),
    ["services", 0],
    ["limits", "idle_timeout_ms"],
]
ITEM_FIELDS = ["key", "value", "revision", "created", "lease", "removed"]
STORE_FIELDS = {
    "key": str,
    "revision": int,
    "created": int,
    "as_of": int,
    "removed": bool,
    "more_pages": bool,
}
"""Fields that only the store itself writes; valid values are believed."""

odd_documents = st.one_of(
    st.tuples(st.just("entry"), st.sampled_from(ENTRY_PATHS)),
    st.tuples(st.just("configuration"), st.sampled_from(CONFIGURATION_PATHS)),
)
odd_items = st.tuples(
    st.just("item"),
    st.tuples(
        st.sampled_from([ODD, "op/config", "op/evacuate/b", "other"]),
        st.sampled_from(ITEM_FIELDS),
    ),
)
odd_answers = st.tuples(
    st.just("answer"),
    st.sampled_from(
        ["items", "events", "as_of", "more_pages", "all", "element"]
    ),
)
examples = st.tuples(
    st.one_of(odd_documents, odd_items, odd_answers),
    st.sampled_from(ODD_TEXTS),
    st.sampled_from(["listing", "watch", "confirmation"]),
    st.sampled_from([1, 2, 3, 500]),
)


def fill(model):
    model.put("op/config", {**WIDE_CONFIGURATION, "version": 8})
    model.put("servers/i-9", {**ENTRY, "address": "10.128.0.90:1", "slots": 9})
    model.put("op/evacuate/b", {})
    model.put("other", {})
    model.put(ODD, ODD_ENTRY)


def make_fleet(page_size):
    fleet = Fleet(page_size)
    fleet.model.put("op/config", WIDE_CONFIGURATION)
    fleet.model.put("servers/i-1", ENTRY)
    fleet.model.put("servers/i-9", {**ENTRY, "address": "10.128.0.90:1"})
    fleet.follow()
    return fleet


def odd_item(body, key, field, text):
    """Returns an answer with a text in place of a field of an item."""
    answer = json.loads(body)
    listed = answer.get("items", answer.get("events", []))
    for index, item in enumerate(listed):
        if item["key"] == key:
            name = "items" if "items" in answer else "events"
            return with_odd_text(answer, [name, index, field], text)
    return body


def odd_answer(body, field, text):
    """Returns an answer with a text in place of a field, or of all of it."""
    answer = json.loads(body)
    if field == "all":
        return text.encode("utf-8", "surrogatepass")
    if field == "element":
        name = "items" if "items" in answer else "events"
        answer[name] = [0, *answer[name]]
        return with_odd_text(answer, [name, 0], text)
    return with_odd_text(answer, [field], text)


def read_odd(fleet, place, text, step):
    """Lets the balancer read answers in which something is odd."""
    kind, path = place
    change = bytes
    if kind == "entry":
        fleet.model.put_raw(ODD, with_odd_text(ODD_ENTRY, path, text))
    elif kind == "configuration":
        document = {**WIDE_CONFIGURATION, "version": 9}
        fleet.model.put_raw("op/config", with_odd_text(document, path, text))
    elif kind == "item":

        def change(body):
            return odd_item(body, *path, text) if body else body
    else:

        def change(body):
            return odd_answer(body, path, text) if body else body

    if step == "confirmation":
        fleet.confirm(change)
        return
    if step == "listing":
        fleet.model.compact()
        fleet.model.put("other", {})
        fleet.feeder.on_answer(410, b"", fleet.now, fleet.model.headers())
    for _ in range(12):
        fleet.call(change)


def is_believed(place, text):
    """Returns whether an odd value of the store itself has a valid form."""
    kind, path = place
    if kind not in ("item", "answer"):
        return False
    field = path[-1] if kind == "item" else path
    if field == "items":
        return text.startswith("[")
    kind_of_value = STORE_FIELDS.get(field)
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return False
    in_range = not isinstance(value, int) or 0 <= value <= ranges.MAX_REVISION
    return type(value) is kind_of_value and in_range


def costs_answer(place, text, page_size):
    """Returns whether the answer with an odd value is unusable as a whole."""
    kind, path = place
    if kind in ("entry", "configuration"):
        return False
    if kind == "answer" or (len(text) > 500 and text[0] in "[{"):
        return True
    try:
        decode_json(text, "text")
    except FieldError:
        return True
    # A page without any key does not tell where the next one starts.
    return path[-1] == "key" and page_size == 1


def check(example):
    place, text, step, page_size = example
    fleet = make_fleet(page_size)
    fill(fleet.model)
    read_odd(fleet, place, text, step)
    fleet.write_state()
    board = fleet.board
    if is_believed(place, text):
        return
    if not costs_answer(place, text, page_size):
        assert board.servers["i-9"].entry.slots == 9
        assert board.table.routes or text == "[]"
    # What is good is taken under the same keys, and removals of it too.
    version = board.table.version + 1
    if version > ranges.MAX_VERSION:
        return
    fleet.model.put("op/config", {**WIDE_CONFIGURATION, "version": version})
    fleet.model.put(ODD, {**ODD_ENTRY, "slots": 5})
    fleet.model.put("op/evacuate/c", {})
    fleet.follow()
    assert board.table.version == version
    assert len(board.table.routes) == 2
    assert board.view.servers["i-5"].slots == 5
    assert not board.view.servers["i-5"].draining
    assert "c" in board.view.evacuated
    fleet.model.remove(ODD)
    fleet.model.remove("op/evacuate/c")
    fleet.follow()
    assert sorted(board.view.servers) == ["i-1", "i-9"]
    assert "c" not in board.view.evacuated
    fleet.exchange()
    fleet.write_state()
    told = fleet.told.board.view
    assert told.table.version == version
    assert told.table.routes == board.table.routes
    assert told.servers == board.view.servers
    assert told.evacuated == board.view.evacuated
    problems = fleet.logged("not understood")
    assert len(problems) == len(set(problems))


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(examples)
def test_odd_items_and_answers_cost_only_themselves(example):
    check(example)


@pytest.mark.parametrize("step", ["watch", "listing", "confirmation"])
def test_a_view_past_the_revision_of_the_store_is_not_passed_on(step):
    """Balancers that got their view from others stopped following for good."""
    fleet = make_fleet(500)
    huge = str(ranges.MAX_REVISION)
    read_odd(fleet, ("answer", "as_of"), huge, step)
    version = fleet.board.table.version + 1
    fleet.model.put("op/config", {**WIDE_CONFIGURATION, "version": version})
    for _ in range(12):
        fleet.call()
    assert fleet.board.table.version == version
    assert fleet.told.synchronizer.stale_at() < fleet.now
    assert fleet.board.view.revision > fleet.board.store_revision


@pytest.mark.parametrize("era", [2, 2**31 - 1, 2**40])
def test_a_changed_era_in_one_control_message_stops_no_balancer_from_following(
    monkeypatch, era
):
    """Both took the era over and refused each later answer of the store."""
    fleet = Fleet()
    fleet.model.put("op/config", CONFIGURATION)
    fleet.model.put("servers/i-1", ENTRY)
    changed = []

    def encode_with_era(message):
        data = encode_message(message)
        is_view = isinstance(message, ViewTell) and message.change.servers
        if changed or not is_view:
            return data
        struct = ttypes.FlowMessage()
        read_struct(struct, data)
        struct.view_tell.era = era
        changed.append(message)
        return write_struct(struct)

    monkeypatch.setattr(odd_data, "encode_message", encode_with_era)
    for _ in range(12):
        fleet.call()
    assert changed
    fleet.model.put("servers/i-9", {**ENTRY, "address": "10.128.0.90:1"})
    for _ in range(40):
        fleet.call()
    assert "i-9" in fleet.board.servers
    assert "i-9" in fleet.told.board.servers
