"""Tests of the counting of losses in logs."""

import gzip

from notchhoist.cli.log_files import read_lines
from notchhoist.cli.losses import causes_of, format_causes
from notchhoist.cli.tests.test_flow_story import FLOW, line


def test_causes_are_counted_by_moment_and_sorted_by_count():
    lines = [
        line(100.0, "start"),
        line(110.1, "refuse", flow=FLOW, outcome="no slot in time"),
        "110.3 a-1 " + line(110.3, "release", flow="f", outcome="late"),
        line(110.4, "release", flow="g", outcome="on time"),
        line(113.0, "release", flow="h", outcome="late"),
        line(113.1, "place", flow="h", outcome="i-1"),
        "no JSON",
    ]
    late, refused = causes_of(lines)
    assert (late.name, late.count, late.flow) == ("late: late", 2, "f")
    assert late.by_moment == {10: 1, 12: 1}
    assert refused.name == "refuse: no slot in time"
    [first, _] = format_causes([late, refused])
    assert "10s:1 12s:1" in first


def test_no_lines_give_no_causes():
    assert causes_of([]) == []


def test_dropped_log_lines_are_a_separate_cause():
    """Without this cause, a table from incomplete logs shows too few losses."""
    dropped = {"reset": 30, "place": 4}
    lines = [
        line(100.0, "start"),
        line(102.5, "lines_dropped", dropped=dropped),
    ]
    [cause] = causes_of(lines)
    assert (cause.name, cause.count) == ("lines not in the logs", 34)
    assert cause.by_moment == {2: 34}


def test_gzip_files_are_read(tmp_path):
    path = tmp_path / "a.log.gz"
    with gzip.open(path, "wt") as file:
        print(line(1.0, "reset", flow=FLOW, outcome="no route"), file=file)
    [cause] = causes_of(read_lines([path]))
    assert cause.flow == FLOW
