"""Logs of the opaque-flow daemons: bounded, and never blocking."""

import json

from notchhoist.daemon.flow_journal import (
    ANY_FLOW_LINES,
    FLOW_LINES,
    LINES_A_KIND,
    LINES_A_SECOND,
    OTHER_LINES,
    FlowJournal,
    is_sampled,
)

FORMER_LINES = 100
"""What cost no caller anything could take so many lines before."""


class Reader:
    """Takes lines, or refuses them like a full pipe."""

    def __init__(self):
        self.lines = []
        self.stuck = False

    def write(self, line):
        if self.stuck:
            raise BlockingIOError
        self.lines.append(json.loads(line))


def journal(reader, now):
    return FlowJournal("h", lambda: now[0], lambda: 0.0, reader.write)


def test_a_line_is_one_json_object():
    reader = Reader()
    journal(reader, [1.5]).log("place", flow="f", load_age_s=0.2)
    [line] = reader.lines
    assert (line["message_type"], line["host"]) == ("place", "h")
    assert (line["clock"], line["flow"]) == (1.5, "f")


def test_a_storm_is_cut_and_what_is_dropped_is_counted_by_kind():
    reader, now = Reader(), [10.0]
    made = journal(reader, now)
    for _ in range(LINES_A_SECOND + 30):
        made.log("reset")
    assert len(reader.lines) == LINES_A_SECOND
    now[0] += 1.0
    made.log("place")
    assert reader.lines[-2]["dropped"] == {"reset": 30}


def test_a_reader_that_stops_costs_lines_and_never_waits():
    reader, now = Reader(), [10.0]
    made = journal(reader, now)
    reader.stuck = True
    for _ in range(5):
        made.log("reset")
    reader.stuck = False
    now[0] += 1.0
    made.log("place")
    assert reader.lines[0]["dropped"] == {"reset": 5}


def test_values_that_json_does_not_know_are_written_as_text():
    reader = Reader()
    journal(reader, [0.0]).log("reset", reason=ValueError("x"))
    assert reader.lines[0]["reason"] == "x"


def test_an_input_never_hides_whose_line_it_is():
    """Lines about a server named its host as that of the process."""
    reader = Reader()
    journal(reader, [0.0]).log("server", host="10.0.0.9")
    assert reader.lines[0]["host"] == "h"
    assert reader.lines[0]["input_host"] == "10.0.0.9"


def test_what_cost_a_caller_something_is_never_crowded_out():
    """The lines of failed requests were dropped behind those of servers."""
    reader, now = Reader(), [10.0]
    made = journal(reader, now)
    for number in range(500):
        made.log("place", flow=f"f{number}")
        made.log(f"event {number}")
    for number in range(LINES_A_SECOND - FORMER_LINES):
        made.log("reset", flow=f"f{number}")
    events = [line["message_type"] for line in reader.lines]
    assert events.count("reset") == LINES_A_SECOND - FORMER_LINES
    assert len(events) <= LINES_A_SECOND


def test_every_host_keeps_the_lines_of_the_same_flows():
    kept = []
    unsampled = next(f"g{n}" for n in range(9) if not is_sampled(f"g{n}"))
    for busy in (ANY_FLOW_LINES, ANY_FLOW_LINES + 7):
        reader = Reader()
        made = journal(reader, [10.0])
        for _ in range(busy):
            made.log("place", flow=unsampled)
        reader.lines.clear()
        for number in range(100):
            made.log("place", flow=f"f{number}")
        kept.append([line["flow"] for line in reader.lines if "flow" in line])
    assert kept[0] == kept[1]
    assert all(is_sampled(flow) for flow in kept[0])
    assert kept[0]


def test_lines_of_the_fleet_leave_room_for_those_of_flows():
    """One host dropped the lines of 840 placements behind those of servers."""
    reader = Reader()
    made = journal(reader, [10.0])
    for event in ("server", "suspect", "agent regained"):
        for _ in range(200):
            made.log(event)
    for number in range(2000):
        made.log("find", flow=f"f{number}")
    events = [line["message_type"] for line in reader.lines]
    assert events.count("server") == LINES_A_KIND
    assert events.count("find") == FLOW_LINES
    assert len(events) == OTHER_LINES + FLOW_LINES <= FORMER_LINES
