"""Tests of the store reader: the next call after each kind of answer."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.base.draws import make_draw
from notchhoist.base.errors import PlatformError
from notchhoist.platform import calls, items, store
from notchhoist.platform.tests.test_documents import (
    CONFIGURATION,
    ENTRY,
    json_values,
)


def item(key, value, revision=1):
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {
        "key": key,
        "value": text,
        "revision": revision,
        "created": revision,
        "lease": 0,
    }


def page(*items, more=False, as_of=50):
    body = {"items": list(items), "more_pages": more, "as_of": as_of}
    return json.dumps(body).encode()


def changes(*events, as_of=51):
    return json.dumps({"events": list(events), "as_of": as_of}).encode()


def reader():
    return store.StoreReader(make_draw("x"))


def listed():
    """Returns a reader that has read the first listing."""
    store_reader = reader()
    store_reader.next_call()
    store_reader.on_answer(200, page(item("servers/i-1", ENTRY)), 0.0)
    return store_reader


def test_one_call_reads_everything_and_a_watch_follows():
    store_reader = reader()
    assert store_reader.next_call().target == "/kv-range?path_prefix="
    events = store_reader.on_answer(
        200, page(item("op/config", CONFIGURATION), item("servers/i", ENTRY)), 0
    )
    kinds = [type(event) for event in events]
    assert kinds == [items.TablePublished, items.ServersListed]
    assert "/kv-watch?path_prefix=&after=50&" in store_reader.next_call().target


def test_all_pages_are_read_and_watched_from_the_first_pages_revision():
    store_reader = reader()
    store_reader.next_call()
    first = page(item("servers/a b", ENTRY), more=True, as_of=50)
    assert not store_reader.on_answer(200, first, 0.0)
    assert store_reader.next_call().target.endswith("&after=servers%2Fa%20b")
    second = page(item("servers/c", ENTRY), as_of=60)
    [event] = store_reader.on_answer(200, second, 0.0)
    assert [entry.server_id for entry, _ in event.entries] == ["a b", "c"]
    assert store_reader.revision == 50


def test_changes_are_returned_and_followed_by_a_batching_pause():
    store_reader = listed()
    removal = {"key": "servers/i-1", "revision": 51, "removed": True}
    [event] = store_reader.on_answer(200, changes(removal), 1.0)
    assert event == items.ServerRemoved("i-1", 51)
    assert (store_reader.revision, store_reader.due) == (
        51,
        1.0 + calls.BATCHING_PAUSE_S,
    )


def test_a_watch_lasts_for_the_watch_time():
    store_reader = listed()
    store_reader.watch_s = 3.25
    call = store_reader.next_call()
    assert call.target.endswith("wait_ms=3250")
    assert call.timeout_s > 3.25


def test_a_watch_without_changes_is_repeated_at_once():
    store_reader = listed()
    store_reader.on_answer(200, changes(as_of=50), 3.0)
    assert store_reader.due == 3.0


def test_a_watch_with_lost_history_is_followed_by_a_listing():
    store_reader = listed()
    store_reader.on_answer(410, b"", 1.0)
    assert store_reader.next_call().target.startswith("/kv-range")


@pytest.mark.parametrize("status", [429, 500, 503])
def test_refused_calls_are_repeated_after_growing_pauses(status):
    store_reader = listed()
    pauses = []
    for _ in range(8):
        with pytest.raises(PlatformError, match=str(status)):
            store_reader.on_answer(status, b"", 0.0)
        pauses.append(store_reader.due)
    assert pauses[0] <= calls.PAUSE_FIRST_S
    assert calls.PAUSE_MAX_S / 2 <= pauses[-1] <= calls.PAUSE_MAX_S


def test_a_process_without_state_retries_soon():
    """A process without state retries soon when the store is silent.

    Otherwise it noticed half a second late that the store was back.
    The timeout still grows, since the answer of a slow store takes longer.
    """
    store_reader = reader()
    timeouts = []
    for _ in range(12):
        timeouts.append(store_reader.next_call().timeout_s)
        store_reader.on_failed(0.0, silent=True)
        assert store_reader.due == 0.0
    short = [calls.SHORT_TIMEOUT_S, calls.SHORT_TIMEOUT_S]
    assert timeouts == [*short, 0.5, *short, 1.0, *short, 2.0, *short, 4.0]


def test_a_process_with_state_has_longer_timeouts_from_the_start():
    store_reader = listed()
    store_reader.next_read = store.ReadKind.LISTING
    timeouts = []
    for _ in range(5):
        timeouts.append(store_reader.next_call().timeout_s)
        store_reader.on_failed(0.0, silent=True)
        assert store_reader.due > 0.0
    assert timeouts == [0.5, 1.0, 2.0, 4.0, 4.0]


def test_a_process_without_state_backs_off_from_a_refusing_store():
    store_reader = reader()
    pauses = []
    for _ in range(8):
        store_reader.next_call()
        store_reader.on_failed(0.0)
        pauses.append(store_reader.due)
    assert pauses[-1] >= calls.PAUSE_MAX_S / 2


def test_a_malformed_answer_leads_to_a_new_listing():
    store_reader = listed()
    with pytest.raises(PlatformError, match="as_of"):
        store_reader.on_answer(200, b'{"events": []}', 1.0)
    assert store_reader.next_call().target.startswith("/kv-range")


def test_an_invalid_document_is_reported_and_the_rest_is_read():
    store_reader = listed()
    invalid = item("op/config", {"version": "x"})
    valid = item("servers/i-2", ENTRY)
    events = store_reader.on_answer(200, changes(invalid, valid), 1.0)
    kinds = [type(event) for event in events]
    assert kinds == [items.TableRefused, items.ServerPublished]


def test_an_invalid_entry_in_a_listing_does_not_remove_its_server():
    """An invalid entry in a listing must not discard the known server."""
    store_reader = reader()
    store_reader.next_call()
    body = page(item("servers/i-1", {"service": 4}), item("servers/i-2", ENTRY))
    events = store_reader.on_answer(200, body, 0.0)
    refused, listing = events
    assert isinstance(refused, items.EntryRefused)
    assert listing.refused == (("i-1", 1),)


@pytest.mark.parametrize(
    "invalid",
    [
        4,
        {"value": "x"},
        {"key": "op/config", "value": "@@"},
        {"key": "op/config"},
        {"key": "servers/i-9", "value": "@@"},
        {"key": "servers/i-9", "revision": "x"},
        {"key": "servers/i-9", "removed": "x"},
        {"key": "op/config", "removed": 3},
    ],
)
def test_an_unreadable_item_does_not_affect_other_items(invalid):
    """An unreadable item must not invalidate the answer or the next listing."""
    valid = item("servers/i-2", ENTRY)
    store_reader = listed()
    *_, published = store_reader.on_answer(200, changes(invalid, valid), 1.0)
    assert published.entry.server_id == "i-2"
    store_reader = reader()
    store_reader.next_call()
    *_, listing = store_reader.on_answer(200, page(invalid, valid), 0.0)
    assert [entry.server_id for entry, _ in listing.entries] == ["i-2"]


ITEM_FIELDS = ["key", "value", "revision", "created", "lease", "unheard-of"]


@given(st.sampled_from(ITEM_FIELDS), json_values)
def test_any_field_of_an_item_leaves_the_others_read(field, value):
    strange = {**item("servers/i-1", ENTRY), field: value}
    good = item("servers/i-2", ENTRY)
    made = listed()
    events = made.on_answer(200, changes(strange, good), 1.0)
    ids = [
        event.entry.server_id
        for event in events
        if isinstance(event, items.ServerPublished)
    ]
    assert "i-2" in ids


def test_unused_keys_are_ignored():
    store_reader = listed()
    events = store_reader.on_answer(200, changes(item("other/key", {})), 1.0)
    assert not events


@given(st.binary(max_size=80))
def test_any_body_is_read_or_refused(body):
    made = listed()
    try:
        made.on_answer(200, body, 1.0)
    except PlatformError:
        assert made.due > 1.0


def zone_item(zone, revision=1, value="e30="):
    key = f"op/evacuate/{zone}"
    return {"key": key, "value": value, "revision": revision}


@pytest.mark.parametrize("value", ["e30=", "@@", "", 7, None])
def test_an_evacuation_is_in_force_whatever_its_value_is(value):
    store_reader = reader()
    store_reader.next_call()
    [listing] = store_reader.on_answer(200, page(zone_item("a", 4, value)), 0.0)
    assert listing.evacuated == (("a", 4),)


def test_an_evacuation_is_watched_and_withdrawn():
    store_reader = listed()
    removal = {"key": "op/evacuate/a", "revision": 6, "removed": True}
    body = changes(zone_item("a", 5), removal, zone_item("a", 7))
    assert store_reader.on_answer(200, body, 1.0) == [
        items.ZoneEvacuated("a", 5),
        items.ZoneReturned("a", 6),
        items.ZoneEvacuated("a", 7),
    ]


def test_an_invalid_entry_is_reported_with_its_revision():
    store_reader = listed()
    invalid = item("servers/i-1", {"service": 4}, 60)
    [refused] = store_reader.on_answer(200, changes(invalid), 1.0)
    assert (refused.server_id, refused.revision) == ("i-1", 60)


@pytest.mark.parametrize("make", [reader, listed])
def test_pauses_and_timeouts_stay_bounded_after_thousands_of_failures(make):
    """Doubling overflowed after 1,024 failures, which ended the balancers."""
    store_reader = make()
    for _ in range(3000):
        assert store_reader.next_call().timeout_s <= 5.0
        store_reader.on_failed(0.0)
        assert 0.0 < store_reader.due <= calls.PAUSE_MAX_S


@pytest.mark.parametrize(
    "last", [{"key": 3}, 4, item("servers/a", ENTRY), item("other", {})]
)
def test_a_page_that_leads_to_no_further_key_is_no_end_of_a_listing(last):
    """Without a key it counted as the last page, so servers were removed."""
    store_reader = reader()
    store_reader.next_call()
    store_reader.on_answer(200, page(item("servers/a", ENTRY), more=True), 0)
    store_reader.next_call()
    with pytest.raises(PlatformError, match="more_pages: expected a key after"):
        store_reader.on_answer(200, page(last, more=True), 0.0)
    assert store_reader.due > 0.0
    assert store_reader.next_call().target == "/kv-range?path_prefix="


def test_pauses_grow_if_a_later_page_fails_again_and_again():
    """The first page reset them, so that 20 calls a second went on for good."""
    store_reader = reader()
    for _ in range(8):
        store_reader.next_call()
        first = page(item("servers/a", ENTRY), more=True)
        store_reader.on_answer(200, first, 0.0)
        with pytest.raises(PlatformError):
            store_reader.on_answer(200, b"{}", 0.0)
    assert store_reader.due >= calls.PAUSE_MAX_S / 2
    store_reader.on_answer(200, page(item("servers/a", ENTRY)), 0.0)
    assert store_reader.failures == 0


def test_listings_pause_if_no_watch_after_them_succeeds():
    """Listings and lost watches followed each other without any pause."""
    store_reader = listed()
    dues = []
    for _ in range(8):
        store_reader.on_answer(410, b"", 0.0)
        dues.append(store_reader.due)
        store_reader.on_answer(200, page(item("servers/i-1", ENTRY)), 0.0)
    assert dues[0] == 0.0
    assert dues[-1] >= calls.PAUSE_MAX_S / 2
    store_reader.on_answer(200, changes(as_of=52), 0.0)
    store_reader.on_answer(410, b"", 0.0)
    assert store_reader.due == 0.0


def test_a_key_that_is_too_long_is_neither_requested_nor_logged():
    """It stood whole in the next request, or in the text of an error."""
    store_reader = reader()
    store_reader.next_call()
    long_key = item("t" * 70_000, ENTRY)
    store_reader.on_answer(
        200, page(item("servers/a", ENTRY), long_key, more=True), 0.0
    )
    assert store_reader.next_call().target.endswith("&after=servers%2Fa")
    with pytest.raises(PlatformError) as caught:
        store_reader.on_answer(200, page(long_key, more=True), 0.0)
    assert len(str(caught.value)) < 200
