"""Prints the history of one flow from the logs of many processes.

    python -m notchhoist.cli.flow_story 100.64.0.12:1028-198.18.0.1:8443 LOG...

Prints the log lines of the flow and of the backend servers that it was placed
at, sorted by time; with ``--own``, only the lines of the flow.
"""

import sys
from collections.abc import Iterable, Iterator, Set
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from notchhoist.cli.log_files import filter_lines, parse_line, read_lines

SERVERS_EVENT = "servers"
"""Event of log lines about several servers, given as lists of ids."""

OMITTED_FIELDS = (
    "timestamp",
    "clock",
    "message_type",
    "host",
    "flow",
    "outcome",
)


@attrs.frozen(order=True)
class StoryLine:
    """One log line of a flow or of a backend server.

    Lines are ordered by timestamp first.

    Attributes:
        timestamp: Wall-clock time in seconds.
        host: Host of the process that wrote the line.
        event: Event of the line, such as ``place``.
        outcome: Outcome of the event.
        details: All other fields as ``name=value``.
        server: Id of the backend server that the line names, or empty.
    """

    timestamp: float
    host: str
    event: str
    outcome: str
    details: str
    server: str = ""


def _to_story_line(line: dict[str, Any]) -> StoryLine:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in OMITTED_FIELDS
    )
    outcome = str(line.get("outcome", ""))
    event = str(line.get("message_type", ""))
    placed = event in ("place", "find")
    return StoryLine(
        timestamp=float(line.get("timestamp", 0.0)),
        host=str(line.get("host", "")),
        event=event,
        outcome=outcome,
        details=details,
        server=outcome if placed else str(line.get("server", "")),
    )


def _names_any_server(line: dict[str, Any], servers: Set[str]) -> bool:
    """Returns whether a line about several servers names any of these."""
    if line.get("message_type") != SERVERS_EVENT:
        return False
    lists = [value for value in line.values() if isinstance(value, list)]
    return any(not servers.isdisjoint(names) for names in lists)


def story_of(
    flow: str, lines: Iterable[str], flow_only: bool = False
) -> list[StoryLine]:
    """Returns the log lines of a flow and of its backend servers by time.

    Args:
        flow: Id of the flow as written in the logs.
        lines: Log lines of any processes in any order.
        flow_only: Leaves out the lines of its backend servers.
    """
    candidates = list(
        filter_lines([flow, '"server"', f'"{SERVERS_EVENT}"'], lines)
    )
    flow_lines = [
        _to_story_line(line)
        for line in map(parse_line, filter_lines([flow], candidates))
        if line is not None and line.get("flow") == flow
    ]
    if flow_only:
        return sorted(flow_lines)
    servers = {item.server for item in flow_lines if item.server}
    server_lines = [
        _to_story_line(line)
        for line in map(parse_line, filter_lines(servers, candidates))
        if line is not None
        and "flow" not in line
        and (line.get("server") in servers or _names_any_server(line, servers))
    ]
    return sorted([*flow_lines, *server_lines])


def format_story(story: Iterable[StoryLine]) -> Iterator[str]:
    """Yields each line of a story as formatted text."""
    for item in story:
        prefix = f"{item.timestamp:.3f} {item.host:<22} {item.event:<14}"
        yield f"{prefix} {item.outcome} {item.details}".rstrip()


@cappa.command(
    name="flow-story", description="The story of one flow from the logs."
)
@attrs.define
class Command:
    """The command line.

    Attributes:
        flow: Id of the flow.
        logs: Log files.
        own: Leave out lines about its backend servers.
    """

    flow: Annotated[str, cappa.Arg(help="caller:port-address:port")]
    logs: Annotated[list[Path], cappa.Arg(help="Log files, .gz too.")]
    own: Annotated[bool, cappa.Arg(long=True)] = False


def main() -> int:
    """Runs the command and returns the exit status.

    The status is 1 if no line names the flow, 2 if a file cannot be read.
    """
    command = cappa.parse(Command)
    try:
        lines = read_lines(command.logs)
        story = story_of(command.flow, lines, command.own)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    for text in format_story(story):
        print(text)
    return 0 if story else 1


if __name__ == "__main__":
    sys.exit(main())
