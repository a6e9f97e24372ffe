"""One line a view: what is told of many servers at once is one line."""

from notchhoist.daemon.decision_groups import (
    GROUP_FROM,
    NAMES_A_LINE,
    grouped,
)
from notchhoist.flows.model.records import Decision


def server(number, outcome="ready"):
    inputs = {"server": f"s{number}", "revision": 10 + number}
    return Decision("server", b"", inputs, outcome)


def test_a_few_servers_keep_their_lines():
    row = [server(n) for n in range(GROUP_FROM - 1)]
    assert grouped(row) == row


def test_many_are_one_line_by_outcome_with_the_newest_revision():
    row = [server(n) for n in range(60)] + [server(70, "draining")]
    other = Decision("reset", b"f", {}, "no route")
    line, last = grouped([*row, other])
    assert (line.event, line.outcome) == ("servers", "61 changed")
    assert len(line.inputs["ready"]) == NAMES_A_LINE
    assert line.inputs["draining"] == ["s70"]
    assert (line.inputs["left_out"], line.inputs["revision"]) == (20, 80)
    assert last is other
