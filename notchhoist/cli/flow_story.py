"""Tells the story of one flow from the logs of many processes.

    python -m notchhoist.cli.flow_story 100.64.0.12:1028-198.18.0.1:8443 LOG...

Lines that name the flow, and lines about the backend servers that it was placed
at, in the order of time; with ``--own`` the former only.
"""

import sys
from collections.abc import Iterable, Iterator, Set
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from notchhoist.cli.log_files import lines_of, lines_with, read_line

GROUP = "servers"
"""Event of a line that tells of several servers."""

LEFT_OUT = ("timestamp", "clock", "message_type", "host", "flow", "outcome")


@attrs.frozen(order=True)
class StoryLine:
    """One line of a log.

    Attributes:
        timestamp: Time of day, seconds.
        host: Host of the process that wrote it.
        event: What was decided.
        outcome: What came of it.
        details: The inputs of the decision.
        server: Id of the backend server that it names, or empty.
    """

    timestamp: float
    host: str
    event: str
    outcome: str
    details: str
    server: str = ""


def _to_story(line: dict[str, Any]) -> StoryLine:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in LEFT_OUT
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


def _groups(line: dict[str, Any], servers: Set[str]) -> bool:
    """Tells whether a line for several servers names one of some."""
    if line.get("message_type") != GROUP:
        return False
    lists = [value for value in line.values() if isinstance(value, list)]
    return any(not servers.isdisjoint(names) for names in lists)


def story_of(
    flow: str, lines: Iterable[str], own_only: bool = False
) -> list[StoryLine]:
    """Returns the lines that tell of a flow, in the order of time.

    Args:
        flow: The flow's id as the logs write it.
        lines: Lines of the logs of any processes, in any order.
        own_only: Lines about its backend servers are left out.
    """
    kept = list(lines_with([flow, '"server"', f'"{GROUP}"'], lines))
    own = [
        _to_story(line)
        for line in map(read_line, lines_with([flow], kept))
        if line is not None and line.get("flow") == flow
    ]
    if own_only:
        return sorted(own)
    servers = {item.server for item in own if item.server}
    about = [
        _to_story(line)
        for line in map(read_line, lines_with(servers, kept))
        if line is not None
        and "flow" not in line
        and (line.get("server") in servers or _groups(line, servers))
    ]
    return sorted([*own, *about])


def tell(story: Iterable[StoryLine]) -> Iterator[str]:
    """Yields a line of text for each line of a story."""
    for item in story:
        head = f"{item.timestamp:.3f} {item.host:<22} {item.event:<14}"
        yield f"{head} {item.outcome} {item.details}".rstrip()


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
    """Entry point; status 1 where no line tells of the flow."""
    command = cappa.parse(Command)
    try:
        lines = lines_of(command.logs)
        story = story_of(command.flow, lines, command.own)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    for text in tell(story):
        print(text)
    return 0 if story else 1


if __name__ == "__main__":
    sys.exit(main())
