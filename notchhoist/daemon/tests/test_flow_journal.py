"""Tests of the log writer: limits per second, and writing without blocking."""

import json
import os

import pytest

from notchhoist.daemon.flow_journal import (
    MAX_FLOW_LINES,
    MAX_LINES_PER_EVENT,
    MAX_LINES_PER_SECOND,
    MAX_OTHER_LINES,
    MAX_UNSAMPLED_FLOW_LINES,
    FlowJournal,
    is_sampled,
    open_output,
)

COSTLESS_LINES = 100
"""Most lines a second of all events that cost no caller anything."""


class Reader:
    """Collects lines, or raises an error as a full pipe does."""

    def __init__(self):
        self.lines = []
        self.blocked = False

    def write(self, line):
        if self.blocked:
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


def test_lines_beyond_the_limit_are_dropped_and_counted_by_event():
    reader, now = Reader(), [10.0]
    log_writer = journal(reader, now)
    for _ in range(MAX_LINES_PER_SECOND + 30):
        log_writer.log("reset")
    assert len(reader.lines) == MAX_LINES_PER_SECOND
    now[0] += 1.0
    log_writer.log("place")
    assert reader.lines[-2]["dropped"] == {"reset": 30}


def test_a_blocked_reader_loses_lines_but_does_not_block_the_writer():
    reader, now = Reader(), [10.0]
    log_writer = journal(reader, now)
    reader.blocked = True
    for _ in range(5):
        log_writer.log("reset")
    reader.blocked = False
    now[0] += 1.0
    log_writer.log("place")
    assert reader.lines[0]["dropped"] == {"reset": 5}


def test_values_without_a_json_form_are_written_as_text():
    reader = Reader()
    journal(reader, [0.0]).log("reset", reason=ValueError("x"))
    assert reader.lines[0]["reason"] == "x"


def test_an_input_does_not_replace_the_host_of_a_line():
    """An input named host must not replace the host of the process.

    Lines about a server named the host of the server as that of the process.
    """
    reader = Reader()
    journal(reader, [0.0]).log("server", host="10.0.0.9")
    assert reader.lines[0]["host"] == "h"
    assert reader.lines[0]["input_host"] == "10.0.0.9"


def test_costly_decisions_keep_their_share_of_lines():
    """Lines about servers must not use up the limit of failed requests.

    Lines of failed requests were dropped because lines about servers came
    first.
    """
    reader, now = Reader(), [10.0]
    log_writer = journal(reader, now)
    for number in range(500):
        log_writer.log("place", flow=f"f{number}")
        log_writer.log(f"event {number}")
    for number in range(MAX_LINES_PER_SECOND - COSTLESS_LINES):
        log_writer.log("reset", flow=f"f{number}")
    events = [line["message_type"] for line in reader.lines]
    assert events.count("reset") == MAX_LINES_PER_SECOND - COSTLESS_LINES
    assert len(events) <= MAX_LINES_PER_SECOND


def test_every_host_keeps_the_lines_of_the_same_flows():
    kept = []
    unsampled = next(f"g{n}" for n in range(9) if not is_sampled(f"g{n}"))
    for earlier_lines in (
        MAX_UNSAMPLED_FLOW_LINES,
        MAX_UNSAMPLED_FLOW_LINES + 7,
    ):
        reader = Reader()
        log_writer = journal(reader, [10.0])
        for _ in range(earlier_lines):
            log_writer.log("place", flow=unsampled)
        reader.lines.clear()
        for number in range(100):
            log_writer.log("place", flow=f"f{number}")
        kept.append([line["flow"] for line in reader.lines if "flow" in line])
    assert kept[0] == kept[1]
    assert all(is_sampled(flow) for flow in kept[0])
    assert kept[0]


def test_fleet_events_do_not_use_up_the_lines_of_flows():
    """Lines about servers must not use up the limit of lines about flows.

    One host dropped the lines of 840 placements because lines about servers
    came first.
    """
    reader = Reader()
    log_writer = journal(reader, [10.0])
    for event in ("server", "suspect", "agent regained"):
        for _ in range(200):
            log_writer.log(event)
    for number in range(2000):
        log_writer.log("find", flow=f"f{number}")
    events = [line["message_type"] for line in reader.lines]
    assert events.count("server") == MAX_LINES_PER_EVENT
    assert events.count("find") == MAX_FLOW_LINES
    assert len(events) == MAX_OTHER_LINES + MAX_FLOW_LINES <= COSTLESS_LINES


def test_a_line_that_was_cut_off_does_not_spoil_the_next_one():
    receiver, sender = os.pipe()
    output = open_output(sender)
    long_line = b"x" * 1_000_000 + b"\n"
    with pytest.raises(OSError):
        output.write(long_line)
    with pytest.raises(OSError):
        output.write(b"lost\n")
    received = os.read(receiver, 1_000_000)
    output.write(b"next\n")
    assert (received + os.read(receiver, 100)).endswith(b"x\nnext\n")
    os.close(receiver)
    os.close(sender)


def test_a_pipe_without_a_reader_raises_an_error():
    receiver, sender = os.pipe()
    os.close(receiver)
    with pytest.raises(BrokenPipeError):
        open_output(sender).write(b"line\n")
    os.close(sender)
