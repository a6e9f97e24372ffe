"""The operator port: state dump, metrics and health over HTTP.

Every request shows the key of the settings as a bearer token.
"""

import hmac
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import attrs
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from notchhoist import documents, model
from notchhoist.daemon.dump import DumpRefusedError, dump_section, to_json
from notchhoist.daemon.metrics import metrics_text
from notchhoist.daemon.runtime import Runtime

MAX_PAGE = 1000
DEFAULT_PAGE = 100


@attrs.frozen
class Refused:
    """A typed refusal of an operator's request.

    Attributes:
        error: Type of the refusal.
        expected: What would have been accepted.
    """

    error: str
    expected: str


Handler = Callable[[Request], Awaitable[Response]]


def make_app(runtime: Runtime) -> Starlette:
    """Makes the HTTP application of the operator port."""
    key = runtime.settings.operator_key

    async def dump(request: Request) -> Response:
        return _dump(runtime, request)

    async def metrics(_: Request) -> Response:
        return PlainTextResponse(metrics_text(runtime))

    async def health(_: Request) -> Response:
        return _json(documents.unstructure(_health(runtime)))

    return Starlette(
        routes=[
            Route("/dump/{section}", _guarded(key, dump)),
            Route("/metrics", _guarded(key, metrics)),
            Route("/health", _guarded(key, health)),
        ]
    )


@attrs.frozen
class Health:
    """What a daemon says of itself in one line.

    Attributes:
        name: Name of its host.
        role: Its role.
        zone: Its availability zone.
        revision: Configuration revision in force.
        refused: Why the last refused document was refused, or empty.
        stopping: A planned stop has begun.
    """

    name: str
    role: str
    zone: str
    revision: int
    refused: str
    stopping: bool


def _health(runtime: Runtime) -> Health:
    board = runtime.node.board
    settings = runtime.settings
    refused = board.config.refused
    return Health(
        name=settings.name,
        role=settings.role.value,
        zone=settings.zone,
        revision=board.config.store.revision,
        refused=str(refused) if refused else "",
        stopping=board.stopping,
    )


def _guarded(key: str, handler: Handler) -> Handler:
    async def guarded(request: Request) -> Response:
        shown = request.headers.get("authorization", "")
        if not hmac.compare_digest(shown.encode(), f"Bearer {key}".encode()):
            refused = Refused("operator_key_refused", "Bearer and the key")
            return _refusal(refused, HTTPStatus.UNAUTHORIZED)
        return await handler(request)

    return guarded


def _json(value: object, status: int = HTTPStatus.OK) -> Response:
    return Response(to_json(value), status, media_type="application/json")


def _refusal(refused: Refused, status: HTTPStatus) -> Response:
    return _json(documents.unstructure(refused), status)


def _dump(runtime: Runtime, request: Request) -> Response:
    offset = _number(request, "offset", 0, 1 << 40)
    limit = _number(request, "limit", DEFAULT_PAGE, MAX_PAGE)
    if offset is None or limit is None:
        refused = Refused("bad_page", f"offset >= 0, limit 0 to {MAX_PAGE}")
        return _refusal(refused, HTTPStatus.BAD_REQUEST)
    try:
        page = dump_section(
            runtime.node.board, request.path_params["section"], offset, limit
        )
    except DumpRefusedError as error:
        refused = Refused("unknown_section", error.expected)
        return _refusal(refused, HTTPStatus.NOT_FOUND)
    return _json(page)


def _number(request: Request, name: str, default: int, most: int) -> int | None:
    text = request.query_params.get(name)
    if text is None:
        return default
    if not text.isdecimal() or int(text) > most:
        return None
    return int(text)


async def serve_operator(runtime: Runtime, at: model.Endpoint) -> None:
    """Serves the operator port until the runtime has stopped."""
    config = Config()
    config.bind = [f"{at.host}:{at.port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.1
    app: Any = make_app(runtime)
    await serve(app, config, shutdown_trigger=runtime.stopped.wait)
