"""Tests that what is not understood is listed while it lasts, and counted."""

import json

from notchhoist.daemon.flow_state import answer_state
from notchhoist.daemon.tests.test_flow_health import gauges, health
from notchhoist.flows.model.records import Count
from notchhoist.flows.published.problems import MAX_LOGGED, MAX_UNKEYED
from notchhoist.platform.tests.test_documents import (
    CONFIGURATION,
    ENTRY,
    ROUTE,
)
from notchhoist.platform.tests.test_feeding import (
    logged_problems,
    make_feeder,
    update_from_another,
)
from notchhoist.platform.tests.test_store import changes, item, page

INVALID = {**ENTRY, "slots": "many"}
ODD_ROUTE = {**ROUTE, "path_prefix": "/9/", "kind": "odd"}
PARTLY_INVALID = {**CONFIGURATION, "routes": [ROUTE, ODD_ROUTE]}


def listed(feeder):
    reply = answer_state(feeder.node, "h", "a", "/dump/problems", 0.0)
    return [row["key"] for row in json.loads(reply.body)["entries"]]


def watch(feeder, *items, as_of=60):
    feeder.on_answer(200, changes(*items, as_of=as_of), 1.0)


def read_all(feeder, *items, as_of=70):
    feeder.reader.restart_listing()
    feeder.on_answer(200, page(*items, as_of=as_of), 2.0)


def test_a_mended_entry_is_no_longer_listed():
    feeder = make_feeder(
        item("op/config", CONFIGURATION), item("servers/i-1", INVALID)
    )
    assert listed(feeder) == ["servers/i-1"]
    assert health(feeder.node, 1.0)["entries_skipped"] == 1
    watch(feeder, item("servers/i-1", ENTRY, 60))
    assert listed(feeder) == []
    assert health(feeder.node, 1.0)["entries_skipped"] == 0
    watch(feeder, item("servers/i-1", INVALID, 61), as_of=61)
    assert listed(feeder) == ["servers/i-1"]
    assert len(logged_problems(feeder)) == 2


def test_a_removed_entry_is_no_longer_listed():
    feeder = make_feeder(item("servers/i-1", INVALID))
    removed = {"key": "servers/i-1", "revision": 60, "removed": True}
    watch(feeder, removed)
    assert listed(feeder) == []


def test_an_entry_that_stays_invalid_is_logged_once_and_counted():
    feeder = make_feeder(item("servers/i-1", INVALID))
    for revision in range(60, 90):
        entry = {**INVALID, "slots": f"many {revision}"}
        watch(feeder, item("servers/i-1", entry, revision), as_of=revision)
    assert len(logged_problems(feeder)) == 1
    counters = feeder.node.board.records.counters
    assert counters[Count.PARTS_REFUSED] == 31
    assert "many 89" in feeder.node.board.problems["servers/i-1"].texts[0]


def test_problems_beyond_200_are_still_logged():
    """Once 200 problems were listed, no further one was ever logged."""
    feeder = make_feeder(*[item(f"servers/i-{n}", INVALID) for n in range(250)])
    assert health(feeder.node, 1.0)["entries_skipped"] == 250
    feeder.node.board.records.decisions.clear()
    watch(feeder, item("servers/late", INVALID, 60))
    assert "servers/late.slots" in logged_problems(feeder)[0]


def test_many_problems_of_one_answer_do_not_crowd_out_other_records():
    feeder = make_feeder(*[item(f"servers/i-{n}", INVALID) for n in range(250)])
    lines = [
        record
        for record in feeder.node.board.records.decisions
        if record.event == "not understood"
    ]
    assert len(lines) == MAX_LOGGED + 1
    assert lines[-1].inputs["left_out"] == 250 - MAX_LOGGED


def test_a_listing_ends_problems_that_it_does_not_show():
    feeder = make_feeder(
        item("servers/i-1", INVALID), item("servers/i-2", INVALID), {"key": 7}
    )
    assert len(listed(feeder)) == 3
    read_all(feeder, item("servers/i-2", INVALID))
    assert listed(feeder) == ["servers/i-2"]
    assert len(logged_problems(feeder)) == 3


def test_items_without_a_key_are_listed_up_to_a_limit():
    items = [{"key": number} for number in range(MAX_UNKEYED + 50)]
    feeder = make_feeder(*items)
    assert len(listed(feeder)) == MAX_UNKEYED
    assert listed(feeder)[-1].endswith(f"got {MAX_UNKEYED + 49}")


def test_items_without_a_key_that_came_back_are_kept():
    feeder = make_feeder({"key": 1})
    read_all(feeder)
    assert listed(feeder) == []
    read_all(feeder, {"key": 1}, as_of=80)
    watch(feeder, *[{"key": n} for n in range(2, MAX_UNKEYED + 1)], as_of=81)
    assert len(listed(feeder)) == MAX_UNKEYED
    watch(feeder, {"key": 0}, as_of=82)
    assert len(listed(feeder)) == MAX_UNKEYED


def test_a_mended_configuration_is_no_longer_listed():
    feeder = make_feeder(item("op/config", PARTLY_INVALID))
    assert health(feeder.node, 1.0)["not_understood"] == 1
    watch(feeder, item("op/config", {**CONFIGURATION, "version": 8}, 60))
    assert health(feeder.node, 1.0)["not_understood"] == 0


def test_what_another_balancer_tells_ends_a_problem():
    feeder = make_feeder(
        item("op/config", {"version": 6}),
        item("servers/i-1", INVALID),
        as_of=40,
    )
    assert health(feeder.node, 1.0)["refused"]
    assert gauges(feeder.node, 1.0)["configuration_refused"] == "1"
    assert listed(feeder) == ["servers/i-1"]
    update_from_another(feeder, 1.0, revision=45)
    assert feeder.node.board.view.revision > 40
    assert listed(feeder) == []
    assert health(feeder.node, 1.0)["refused"] == ""
    assert gauges(feeder.node, 1.0)["entries_skipped"] == "0"


def test_a_refused_configuration_is_logged_once_while_it_lasts():
    refused = item("op/config", {"version": 8})
    feeder = make_feeder(item("servers/i-1", ENTRY), refused)
    read_all(feeder, item("servers/i-1", ENTRY), refused)
    decisions = feeder.node.board.records.decisions
    assert [item.event for item in decisions].count("refused") == 1


def test_the_text_of_a_problem_is_bounded():
    odd = {**ENTRY, "slots": "x" * 100_000}
    feeder = make_feeder(item("servers/" + "i" * 100_000, odd))
    [problem] = feeder.node.board.problems.values()
    assert all(len(text) <= 300 for text in problem.texts)
    assert len(listed(feeder)[0]) <= 300
