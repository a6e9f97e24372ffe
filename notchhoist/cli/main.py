"""``notchhoist``: the command-line tool for operators."""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import httpx
import orjson
from returns.result import Result, Success

from notchhoist import documents, model
from notchhoist.cli import document_changes, queries, statements
from notchhoist.cli.fleet_reader import (
    REQUEST_TIMEOUT_S,
    FleetReader,
    OperatorSettings,
    Row,
    load_operator_settings,
)

EXIT_OK = 0
EXIT_BAD_STATEMENT = 2
EXIT_NO_ANSWER = 3
EXIT_CONFLICT = 4
EXIT_NOT_IN_FORCE = 5
EXIT_REFUSED = 6
POLL_INTERVAL_S = 0.2
CLEAR_SCREEN = "\x1b[2J\x1b[H"
"""ANSI escape codes: clear the screen and move the cursor to its top left."""

HELP = """\
One statement of the command language; without one, reads them line by line.

  show services | servers | flows | requests | revisions | leaving
       | counters | peers | zones | pressure | splits | processes
       [where FIELD OP VALUE [and ...]]
       [order by FIELD [asc|desc]] [limit N] [at HOST]
  why flow IP:PORT [at HOST]      who owns a flow and who says so
  why requests [at HOST]          why requests were refused or retried
  why configuration [at HOST]     why a document was refused
  create service NAME on IP:PORT
  drop service NAME
  attach server NAME to SERVICE in ZONE agent IP:PORT address IP:PORT slots N
  detach server NAME from SERVICE
  drain server NAME of SERVICE    and: undrain
  weigh kind NAME of SERVICE N
  wait until revision N [for N s]

Operators: = != > < >= <= and ~ (contains). Change statements print the next
whole document for you to publish. Exit statuses: 0 done, 2 bad statement or
settings, 3 no daemon or platform answered, 4 another operator published first
(--expect), 5 not in force everywhere in time, 6 the change was refused.

Examples:
  notchhoist -s ops.json "show flows where streams > 0 order by server limit 9"
  notchhoist -s ops.json "drain server hallbook-3 of hallbook" > next.json
  notchhoist -s ops.json --expect 7 "weigh kind booking of hallbook 60"
"""


@cappa.command(name="notchhoist", description=HELP)
class Command:
    """The tool's command line.

    Attributes:
        settings: Settings file, JSON with comments.
        statement: The statement; empty to read them line by line.
        json: Write JSON instead of a table.
        document: Published document to change, instead of the platform's.
        expect: Revision that the published document must have.
        output: File for the next document, instead of standard output.
        watch: Ask again every so many seconds, until interrupted.
    """

    settings: Annotated[Path, cappa.Arg(short="-s", long=True)]
    statement: str = ""
    json: Annotated[bool, cappa.Arg(long=True)] = False
    document: Annotated[Path | None, cappa.Arg(long=True)] = None
    expect: Annotated[int | None, cappa.Arg(long=True)] = None
    output: Annotated[Path | None, cappa.Arg(long=True)] = None
    watch: Annotated[float, cappa.Arg(long=True)] = 0.0

    def __init__(
        self,
        settings: Path,
        statement: str = "",
        json: bool = False,
        document: Path | None = None,
        expect: int | None = None,
        output: Path | None = None,
        watch: float = 0.0,
    ) -> None:
        self.settings = settings
        self.statement = statement
        self.json = json
        self.document = document
        self.expect = expect
        self.output = output
        self.watch = watch


def execute(command: Command, text: str, reader: FleetReader) -> int:
    """Executes one statement and returns the exit status."""
    result = statements.parse_statement(text)
    if not isinstance(result, Success):
        _print_error(result.failure())
        return EXIT_BAD_STATEMENT
    statement = result.unwrap()
    match statement:
        case statements.WaitUntil():
            return anyio.run(_wait_in_force, reader, statement)
        case statements.Show():
            rows = queries.show(reader, statement)
        case statements.WhyFlow():
            rows = queries.why_flow(reader, statement)
        case statements.WhyRequests():
            rows = queries.why_requests(reader, statement)
        case statements.WhyConfiguration():
            rows = queries.why_configuration(reader, statement)
        case _:
            return _change(command, statement, reader)
    return _print_rows(command, rows, reader)


def _print_error(error: model.NotchhoistError) -> None:
    print(error, file=sys.stderr)


def _print_rows(command: Command, rows: list[Row], reader: FleetReader) -> int:
    for failure in reader.failures:
        _print_error(failure)
    if command.json:
        print(orjson.dumps(rows).decode())
    else:
        print(format_table(rows))
    no_answer = len(reader.failures) >= len(reader.settings.daemons)
    return EXIT_NO_ANSWER if no_answer else EXIT_OK


def format_table(rows: list[Row]) -> str:
    """Formats rows as a text table with aligned columns.

    The columns are the keys of all rows in order of first appearance; a
    missing value is shown as ``-``.

    Examples:
        >>> print(format_table([{"server": "a", "flows": 3}]))
        server  flows
        a       3
    """
    if not rows:
        return "(nothing)"
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [
        names,
        *([_format_cell(row.get(name)) for name in names] for row in rows),
    ]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(names))
    ]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value: object) -> str:
    """Returns a cell's text; other writers may have put control codes in it."""
    if value is None:
        return "-"
    text = str(value)
    return text if text.isprintable() else repr(text)[1:-1]


def _change(
    command: Command, change: statements.Change, reader: FleetReader
) -> int:
    published = _load_published(command, reader)
    if not isinstance(published, Success):
        _print_error(published.failure())
        return EXIT_NO_ANSWER
    current = published.unwrap()
    if command.expect is not None and current.revision != command.expect:
        expected = f"revision {command.expect}, as --expect says"
        got = f"revision {current.revision}: another operator published first"
        _print_error(model.StatementError(0, expected, got))
        return EXIT_CONFLICT
    result = document_changes.next_document(current, change)
    if not isinstance(result, Success):
        _print_error(result.failure())
        return EXIT_REFUSED
    _write_document(command, documents.write_configuration(result.unwrap()))
    return EXIT_OK


def _load_published(
    command: Command, reader: FleetReader
) -> Result[model.Configuration, model.NotchhoistError]:
    if command.document is None:
        return reader.fetch_published()
    return documents.parse_configuration(command.document.read_bytes())


def _write_document(command: Command, text: bytes) -> None:
    if command.output is not None:
        command.output.write_bytes(text)
    else:
        print(text.decode())


async def _wait_in_force(
    reader: FleetReader, statement: statements.WaitUntil
) -> int:
    """Polls all daemons until a revision is in force or the time is up.

    A daemon that does not answer counts as lagging.
    """
    deadline = anyio.current_time() + statement.seconds
    while True:
        daemons = reader.fetch_daemons()
        lagging = [
            f"{item.host} at {item.health['revision']}"
            for item in daemons
            # Agents for opaque flows read no configuration: no revision.
            if item.health["revision"] is not None
            and item.health["revision"] < statement.revision
        ]
        lagging += [str(failure) for failure in reader.failures]
        if not lagging:
            print(f"revision {statement.revision} in force everywhere")
            return EXIT_OK
        if anyio.current_time() >= deadline:
            print("\n".join(["lagging:", *lagging]))
            return EXIT_NOT_IN_FORCE
        await anyio.sleep(POLL_INTERVAL_S)


def run(command: Command, read_line: Callable[[str], str]) -> int:
    """Runs the tool and returns the exit status.

    Args:
        command: The command line.
        read_line: Shows a prompt and returns the line that the user enters;
            raises EOFError at the end of input.

    Returns:
        The exit status; after several statements, that of the last one.
    """
    loaded = load_operator_settings(command.settings)
    if not isinstance(loaded, Success):
        _print_error(loaded.failure())
        return EXIT_BAD_STATEMENT
    settings: OperatorSettings = loaded.unwrap()
    with httpx.Client(timeout=REQUEST_TIMEOUT_S, trust_env=False) as client:
        reader = FleetReader(settings, client)
        if command.statement and command.watch > 0:
            return _watch(command, reader)
        if command.statement:
            return execute(command, command.statement, reader)
        return _interact(command, reader, read_line)


def _watch(command: Command, reader: FleetReader) -> int:
    """Repeats a statement and redraws the screen with each result.

    Stops at the first exit status other than ``EXIT_OK``.
    """
    while True:
        print(CLEAR_SCREEN, end="")
        status = execute(command, command.statement, reader)
        if status != EXIT_OK:
            return status
        try:
            time.sleep(command.watch)
        except KeyboardInterrupt:
            return EXIT_OK


def _interact(
    command: Command, reader: FleetReader, read_line: Callable[[str], str]
) -> int:
    status = EXIT_OK
    while True:
        try:
            text = read_line("notchhoist> ").strip()
        except EOFError:
            return status
        if text in ("quit", "exit"):
            return status
        if text:
            status = execute(command, text, reader)


def main() -> None:
    """Entry point of ``notchhoist``."""
    sys.exit(run(cappa.parse(Command), input))


if __name__ == "__main__":
    main()
