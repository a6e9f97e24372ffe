"""Tests that decisions on many servers at once become one log line."""

from notchhoist.daemon.decision_groups import (
    MAX_NAMES_PER_OUTCOME,
    MIN_GROUP_SIZE,
    group_decisions,
)
from notchhoist.flows.model.records import Decision


def server_decision(number, outcome="ready"):
    inputs = {"server": f"s{number}", "revision": 10 + number}
    return Decision("server", b"", inputs, outcome)


def test_few_decisions_are_not_merged():
    run = [server_decision(n) for n in range(MIN_GROUP_SIZE - 1)]
    assert group_decisions(run) == run


def test_many_decisions_are_merged_by_outcome_with_the_newest_revision():
    run = [server_decision(n) for n in range(60)] + [
        server_decision(70, "draining")
    ]
    other = Decision("reset", b"f", {}, "no route")
    line, last = group_decisions([*run, other])
    assert (line.event, line.outcome) == ("servers", "61 changed")
    assert len(line.inputs["ready"]) == MAX_NAMES_PER_OUTCOME
    assert line.inputs["draining"] == ["s70"]
    assert (line.inputs["left_out"], line.inputs["revision"]) == (20, 80)
    assert last is other
