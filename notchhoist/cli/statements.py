"""Parser of the command language: turns a line of text into a statement."""

from functools import cache
from pathlib import Path
from typing import Any

import attrs
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput
from returns.result import Failure, Result, Success

from notchhoist import model

GRAMMAR = Path(__file__).with_name("statements.lark")
DEFAULT_WAIT_S = 10
MAX_EXPECTED_TOKENS = 6


@attrs.frozen
class Condition:
    """One condition of a ``where`` clause: field, operator and value."""

    field: str
    operator: str
    value: str | float


@attrs.frozen
class Show:
    """Lists entries of the state of daemons as rows.

    Attributes:
        subject: What to list.
        conditions: A row is listed if it meets all of them.
        order: Field to sort by; empty for none.
        descending: Sorts in descending order.
        limit: Maximum number of rows; 0 for no limit.
        host: Only the daemon of this host; empty for all.
    """

    subject: str
    conditions: tuple[Condition, ...] = ()
    order: str = ""
    descending: bool = False
    limit: int = 0
    host: str = ""


@attrs.frozen
class WhyFlow:
    """Asks which daemons know a flow and what they decided about it."""

    caller: model.Endpoint
    host: str = ""


@attrs.frozen
class WhyRequests:
    """Asks for the reasons of refused, queued and retried requests."""

    host: str = ""


@attrs.frozen
class WhyConfiguration:
    """Asks which daemons refused a configuration, and for what reason."""

    host: str = ""


@attrs.frozen
class CreateService:
    """Creates a service without backend servers at an address."""

    service: str
    address: model.Endpoint


@attrs.frozen
class DropService:
    """Removes a service."""

    service: str


@attrs.frozen
class AttachServer:
    """Attaches a backend server to a service."""

    server: str
    service: str
    zone: str
    agent: model.Endpoint
    address: model.Endpoint
    slots: int


@attrs.frozen
class DetachServer:
    """Detaches a backend server from a service."""

    server: str
    service: str


@attrs.frozen
class DrainServer:
    """Starts or ends the draining of a backend server.

    ``state`` is DRAINING for ``drain`` and ACTIVE for ``undrain``.
    """

    server: str
    service: str
    state: model.ServerState


@attrs.frozen
class WeighKind:
    """Sets the weight of a request kind of a service."""

    kind: str
    service: str
    weight: int


@attrs.frozen
class WaitUntil:
    """Waits until a revision is in force at every daemon."""

    revision: int
    seconds: int


Change = (
    CreateService
    | DropService
    | AttachServer
    | DetachServer
    | DrainServer
    | WeighKind
)
Statement = Show | WhyFlow | WhyRequests | WhyConfiguration | Change | WaitUntil


class _StatementBuilder(Transformer):  # type: ignore[type-arg]
    """Turns a parse tree into a statement; a method for each grammar rule."""

    def number(self, items: list[Token]) -> float:
        return float(items[0])

    def text(self, items: list[Token]) -> str:
        return str(items[0])

    def quoted(self, items: list[Token]) -> str:
        return str(items[0])[1:-1]

    def subject(self, items: list[Token]) -> str:
        return str(items[0]).lower()

    def condition(self, items: list[Any]) -> Condition:
        return Condition(str(items[0]), str(items[1]), items[2])

    def where(self, items: list[Condition]) -> tuple[Condition, ...]:
        return tuple(items)

    def order(self, items: list[Token | None]) -> tuple[str, bool]:
        direction = str(items[1]).lower() if items[1] else "asc"
        return str(items[0]), direction == "desc"

    def limit(self, items: list[Token]) -> int:
        return int(items[0])

    def at(self, items: list[Token]) -> str:
        return str(items[0])

    def show(self, items: list[Any]) -> Show:
        subject, conditions, order, limit, host = items
        field, descending = order or ("", False)
        return Show(
            subject, conditions or (), field, descending, limit or 0, host or ""
        )

    def why_flow(self, items: list[Token]) -> WhyFlow:
        return WhyFlow(model.parse_endpoint(str(items[0])))

    def why_requests(self, _: list[Any]) -> WhyRequests:
        return WhyRequests()

    def why_configuration(self, _: list[Any]) -> WhyConfiguration:
        return WhyConfiguration()

    def why(self, items: list[Any]) -> Statement:
        statement, host = items
        return attrs.evolve(statement, host=host or "")

    def create(self, items: list[Token]) -> CreateService:
        return CreateService(str(items[0]), model.parse_endpoint(items[1]))

    def drop(self, items: list[Token]) -> DropService:
        return DropService(str(items[0]))

    def attach(self, items: list[Token]) -> AttachServer:
        server, service, zone, agent, address, slots = items
        return AttachServer(
            str(server),
            str(service),
            str(zone),
            model.parse_endpoint(agent),
            model.parse_endpoint(address),
            int(slots),
        )

    def detach(self, items: list[Token]) -> DetachServer:
        return DetachServer(str(items[0]), str(items[1]))

    def drain(self, items: list[Token]) -> DrainServer:
        state = model.ServerState.DRAINING
        return DrainServer(str(items[0]), str(items[1]), state)

    def undrain(self, items: list[Token]) -> DrainServer:
        state = model.ServerState.ACTIVE
        return DrainServer(str(items[0]), str(items[1]), state)

    def weigh(self, items: list[Token]) -> WeighKind:
        return WeighKind(str(items[0]), str(items[1]), int(items[2]))

    def wait(self, items: list[Token | None]) -> WaitUntil:
        seconds = int(items[1]) if items[1] else DEFAULT_WAIT_S
        return WaitUntil(int(items[0] or 0), seconds)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR.read_text(), parser="lalr", maybe_placeholders=True)


def parse_statement(text: str) -> Result[Statement, model.StatementError]:
    """Parses one statement.

    Examples:
        >>> parse_statement("show flows limit 3").unwrap().limit
        3
        >>> print(parse_statement("show flows limit x").failure())
        column 18: expected INT, got 'x'

    Args:
        text: The statement.

    Returns:
        The statement, or an error with the column of the first unexpected
        token and the tokens expected there.
    """
    try:
        tree = _parser().parse(text)
        return Success(_StatementBuilder().transform(tree))
    except UnexpectedInput as error:
        return Failure(_to_statement_error(error, text))


def _to_statement_error(
    error: UnexpectedInput, text: str
) -> model.StatementError:
    at_end = getattr(getattr(error, "token", None), "type", "") == "$END"
    column = len(text) + 1 if at_end else error.column
    names = getattr(error, "accepts", None) or getattr(error, "expected", [])
    if isinstance(error, UnexpectedCharacters):
        names = error.allowed or []
    readable = sorted(_readable_token(str(name)) for name in names)
    expected = " or ".join(readable[:MAX_EXPECTED_TOKENS]) or "a different word"
    got = text[column - 1 :].split(" ")[0]
    return model.StatementError(column, expected, repr(got) if got else "end")


def _readable_token(name: str) -> str:
    return {"$END": "end of statement", "SEMICOLON": "';'"}.get(name, name)
