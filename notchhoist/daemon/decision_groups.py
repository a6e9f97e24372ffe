"""Merges decisions that were taken together into one log line.

One view can change every backend server at once, and every balancer applies it.
With one line for each server, the limit on log lines leaves none for the
requests of callers in the same second.
"""

from collections.abc import Iterable

from notchhoist.flows.model.records import Decision

GROUP_EVENTS = {"server": "servers"}
"""Events that are merged, with the event name of the merged line."""

MIN_GROUP_SIZE = 4
"""Fewest consecutive decisions of one event that are merged."""

MAX_NAMES_PER_OUTCOME = 40
"""Most names in a line for each outcome: they take 0.6 KB."""


def group_decisions(decisions: Iterable[Decision]) -> list[Decision]:
    """Returns the decisions, with runs of the events to group merged.

    Examples:
        >>> run = [
        ...     Decision("server", b"", {"server": f"s{n}"}, "ready")
        ...     for n in range(5)
        ... ]
        >>> [line] = group_decisions(run)
        >>> line.event, line.outcome, line.inputs["ready"][:2]
        ('servers', '5 changed', ['s0', 's1'])

    Args:
        decisions: Decisions in the order in which they were taken.
    """
    lines: list[Decision] = []
    run: list[Decision] = []
    for decision in decisions:
        if run and decision.event != run[0].event:
            lines += _merge(run)
            run = []
        if decision.event in GROUP_EVENTS:
            run.append(decision)
        else:
            lines.append(decision)
    return lines + _merge(run)


def _merge(run: list[Decision]) -> list[Decision]:
    """Merges a run of decisions of one event into one, if it is long enough."""
    if len(run) < MIN_GROUP_SIZE:
        return run
    event = run[0].event
    names_by_outcome: dict[str, list[str]] = {}
    for decision in run:
        names_of_outcome = names_by_outcome.setdefault(decision.outcome, [])
        names_of_outcome.append(str(decision.inputs.get(event, "")))
    inputs: dict[str, object] = {
        outcome: names[:MAX_NAMES_PER_OUTCOME]
        for outcome, names in names_by_outcome.items()
    }
    left_out = sum(
        max(0, len(item) - MAX_NAMES_PER_OUTCOME)
        for item in names_by_outcome.values()
    )
    if left_out:
        inputs["left_out"] = left_out
    revisions = [decision.inputs.get("revision") for decision in run]
    inputs["revision"] = max(
        (item for item in revisions if isinstance(item, int)), default=0
    )
    return [Decision(GROUP_EVENTS[event], b"", inputs, f"{len(run)} changed")]
