"""Tests of the history of a flow from the logs of many processes."""

import json

from notchhoist.cli.flow_story import format_story, story_of

FLOW = "100.64.0.12:1028-198.18.0.1:8443"


def line(timestamp, event, **fields):
    common = {"timestamp": timestamp, "message_type": event, "host": "h"}
    return json.dumps({**common, **fields})


def test_lines_of_flow_and_its_server_are_sorted_by_time():
    lines = [
        line(3.0, "reset", flow=FLOW, outcome="agent lost", server="i-1"),
        line(1.0, "place", flow=FLOW, outcome="i-1", load_age_s=0.2),
        "12.5 front-1 " + line(2.0, "suspect", server="i-1", outcome="i-1"),
        line(2.5, "suspect", server="i-2", outcome="i-2"),
        line(1.5, "place", flow="another", outcome="i-1"),
        "no JSON {",
        "",
    ]
    story = story_of(FLOW, lines)
    assert [item.event for item in story] == ["place", "suspect", "reset"]
    [first, *_] = format_story(story)
    assert "load_age_s=0.2" in first


def test_line_about_several_servers_counts_for_each():
    lines = [
        line(1.0, "place", flow=FLOW, outcome="i-1"),
        line(2.0, "servers", outcome="4 changed", ready=["i-1", "i-3"]),
        line(3.0, "servers", outcome="4 changed", ready=["i-2", "i-3"]),
    ]
    assert [item.timestamp for item in story_of(FLOW, lines)] == [1.0, 2.0]
    assert [item.event for item in story_of(FLOW, lines, True)] == ["place"]


def test_flow_without_lines_has_empty_story():
    assert not story_of(FLOW, [line(1.0, "place", flow="another")])
