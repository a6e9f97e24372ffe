"""Operator port: serves state dump, metrics and health over HTTP.

Every request must carry the operator key of the settings as a bearer token.
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

MAX_PAGE_ENTRIES = 1000
DEFAULT_PAGE_ENTRIES = 100


@attrs.frozen
class RefusalBody:
    """Error body of a refused request.

    Attributes:
        error: Type of the error.
        expected: What the request should have contained.
    """

    error: str
    expected: str


Handler = Callable[[Request], Awaitable[Response]]


def make_app(runtime: Runtime) -> Starlette:
    """Creates the HTTP application of the operator port."""
    key = runtime.settings.operator_key

    async def dump(request: Request) -> Response:
        return _dump(runtime, request)

    async def metrics(_: Request) -> Response:
        return PlainTextResponse(metrics_text(runtime))

    async def health(_: Request) -> Response:
        return _json(documents.unstructure(_health(runtime)))

    return Starlette(
        routes=[
            Route("/dump/{section}", _require_key(key, dump)),
            Route("/metrics", _require_key(key, metrics)),
            Route("/health", _require_key(key, health)),
        ]
    )


@attrs.frozen
class Health:
    """Health summary of a daemon.

    Attributes:
        name: Name of the daemon's host.
        role: Role of the daemon.
        zone: Availability zone of the host.
        revision: Configuration revision in force.
        refused: Why the last configuration was refused, or empty.
        stopping: Whether a planned stop has begun.
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


def _require_key(key: str, handler: Handler) -> Handler:
    async def guarded(request: Request) -> Response:
        presented = request.headers.get("authorization", "")
        if not hmac.compare_digest(
            presented.encode(), f"Bearer {key}".encode()
        ):
            refusal = RefusalBody(
                "operator_key_refused", "Bearer and the operator key"
            )
            return _refusal_response(refusal, HTTPStatus.UNAUTHORIZED)
        return await handler(request)

    return guarded


def _json(value: object, status: int = HTTPStatus.OK) -> Response:
    return Response(to_json(value), status, media_type="application/json")


def _refusal_response(refusal: RefusalBody, status: HTTPStatus) -> Response:
    return _json(documents.unstructure(refusal), status)


def _dump(runtime: Runtime, request: Request) -> Response:
    offset = _parse_number(request, "offset", 0, 1 << 40)
    limit = _parse_number(
        request, "limit", DEFAULT_PAGE_ENTRIES, MAX_PAGE_ENTRIES
    )
    if offset is None or limit is None:
        refusal = RefusalBody(
            "bad_page", f"offset >= 0, limit 0 to {MAX_PAGE_ENTRIES}"
        )
        return _refusal_response(refusal, HTTPStatus.BAD_REQUEST)
    try:
        page = dump_section(
            runtime.node.board, request.path_params["section"], offset, limit
        )
    except DumpRefusedError as error:
        refusal = RefusalBody("unknown_section", error.expected)
        return _refusal_response(refusal, HTTPStatus.NOT_FOUND)
    return _json(page)


def _parse_number(
    request: Request, name: str, default: int, maximum: int
) -> int | None:
    text = request.query_params.get(name)
    if text is None:
        return default
    if not text.isdecimal() or int(text) > maximum:
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
