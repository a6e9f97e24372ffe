"""Puts decisions that were taken together into one line of the log.

One view can tell of every backend server at once, and each balancer reads it: a
line a server leaves no room for what became of callers in the same second.
"""

from collections.abc import Iterable

from notchhoist.flows.model.records import Decision

GROUPED = {"server": "servers"}
"""Events that are put together, with the name of the common line."""

GROUP_FROM = 4
"""So many of one event in a row become one line."""

NAMES_A_LINE = 40
"""Names in a line at the most for each outcome; 0.6 KB of them."""


def grouped(decisions: Iterable[Decision]) -> list[Decision]:
    """Returns the decisions with rows of grouped events put together.

    Examples:
        >>> row = [
        ...     Decision("server", b"", {"server": f"s{n}"}, "ready")
        ...     for n in range(5)
        ... ]
        >>> [line] = grouped(row)
        >>> line.event, line.outcome, line.inputs["ready"][:2]
        ('servers', '5 changed', ['s0', 's1'])

    Args:
        decisions: Decisions in the order in which they were taken.
    """
    lines: list[Decision] = []
    row: list[Decision] = []
    for decision in decisions:
        if row and decision.event != row[0].event:
            lines += _together(row)
            row = []
        if decision.event in GROUPED:
            row.append(decision)
        else:
            lines.append(decision)
    return lines + _together(row)


def _together(row: list[Decision]) -> list[Decision]:
    """Returns one line for a row of one event, if it is long."""
    if len(row) < GROUP_FROM:
        return row
    event = row[0].event
    names: dict[str, list[str]] = {}
    for decision in row:
        known = names.setdefault(decision.outcome, [])
        known.append(str(decision.inputs.get(event, "")))
    inputs: dict[str, object] = {
        outcome: found[:NAMES_A_LINE] for outcome, found in names.items()
    }
    left_out = sum(max(0, len(item) - NAMES_A_LINE) for item in names.values())
    if left_out:
        inputs["left_out"] = left_out
    revisions = [decision.inputs.get("revision") for decision in row]
    inputs["revision"] = max(
        (item for item in revisions if isinstance(item, int)), default=0
    )
    return [Decision(GROUPED[event], b"", inputs, f"{len(row)} changed")]
