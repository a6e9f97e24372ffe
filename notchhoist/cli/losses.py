"""Counts failed and late requests and flows in logs, by cause and time.

    python -m notchhoist.cli.losses LOG... [--most 8] [--seconds 2]

Prints the causes of losses, the most frequent first, each with the times of
most losses and the id of one flow, whose history is shown by:

    python -m notchhoist.cli.flow_story FLOW LOG...
"""

import collections
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from notchhoist.cli.log_files import filter_lines, parse_line, read_lines

LOSS_EVENTS = ("reset", "refuse", "give up finding", "leave to others")
"""Events that mean a loss; their outcome is its cause."""

LATE_OUTCOMES = ("late", "waited too long")
"""Outcomes of ``release`` that mean an answer after the objective."""

DROPPED_EVENT = "lines_dropped"
"""Event that counts log lines dropped by the rate limit of the log."""

MOMENTS_SHOWN = 6


@attrs.define
class Cause:
    """A cause of losses and how often it occurred.

    Attributes:
        name: Event and outcome of the log lines.
        count: Number of losses.
        by_moment: Number of losses by moment; a moment is an interval, given
            by its start in seconds after the first line.
        flow: Id of the first affected flow.
    """

    name: str
    count: int = 0
    by_moment: collections.Counter[int] = attrs.Factory(collections.Counter)
    flow: str = ""

    def add(self, flow: str, moment: int, weight: int = 1) -> None:
        """Adds a loss, or several if the line stands for dropped lines."""
        self.count += weight
        self.by_moment[moment] += weight
        self.flow = self.flow or flow


def cause_of(line: dict[str, Any]) -> str:
    """Returns the cause if a line means a loss, else an empty string.

    Examples:
        >>> cause_of({"message_type": "reset", "outcome": "no route"})
        'reset: no route'
        >>> cause_of({"message_type": "release", "outcome": "on time"})
        ''
    """
    event, outcome = line.get("message_type"), line.get("outcome")
    if event == "release":
        return f"late: {outcome}" if outcome in LATE_OUTCOMES else ""
    if event == DROPPED_EVENT:
        return "lines not in the logs"
    return f"{event}: {outcome}" if event in LOSS_EVENTS else ""


def weight_of(line: dict[str, Any]) -> int:
    """Returns the number of log lines that a line stands for.

    This is 1, except for a line that counts dropped lines by event.
    """
    dropped = line.get("dropped")
    return sum(dropped.values()) if isinstance(dropped, dict) else 1


def causes_of(lines: Iterable[str], step_s: float = 2.0) -> list[Cause]:
    """Returns the causes of losses, the most frequent first.

    Args:
        lines: Log lines of any processes in any order. Moments are counted from
            the earliest ``start``, ``release`` or loss among them.
        step_s: Length of a moment in seconds.
    """
    words = [
        f'"{event}"'
        for event in (*LOSS_EVENTS, "release", "start", DROPPED_EVENT)
    ]
    parsed = [
        line
        for line in map(parse_line, filter_lines(words, lines))
        if line is not None
    ]
    timestamps = [float(line.get("timestamp", 0.0)) for line in parsed]
    start = min(timestamps, default=0.0)
    causes: dict[str, Cause] = {}
    for line, timestamp in zip(parsed, timestamps, strict=True):
        name = cause_of(line)
        if not name:
            continue
        moment = int((timestamp - start) / step_s) * int(step_s)
        cause = causes.setdefault(name, Cause(name))
        cause.add(str(line.get("flow", "")), moment, weight_of(line))
    return sorted(causes.values(), key=lambda cause: -cause.count)


def format_causes(causes: Iterable[Cause]) -> Iterator[str]:
    """Yields a line of text for each cause, with its most frequent moments."""
    for cause in causes:
        largest = sorted(cause.by_moment.most_common(MOMENTS_SHOWN))
        moments = " ".join(f"{moment}s:{count}" for moment, count in largest)
        yield f"{cause.count:6d}  {cause.name:<32} {moments}  {cause.flow}"


@cappa.command(name="losses", description="Where callers lose, by cause.")
@attrs.define
class Command:
    """The command line.

    Attributes:
        logs: Log files.
        most: Causes shown.
        seconds: Length of a moment, seconds.
    """

    logs: Annotated[list[Path], cappa.Arg(help="Log files, .gz too.")]
    most: Annotated[int, cappa.Arg(long=True)] = 8
    seconds: Annotated[float, cappa.Arg(long=True)] = 2.0


def main() -> int:
    """Runs the command; the exit status is 2 for an unreadable file."""
    command = cappa.parse(Command)
    try:
        causes = causes_of(read_lines(command.logs), command.seconds)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    for text in format_causes(causes[: command.most]):
        print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
