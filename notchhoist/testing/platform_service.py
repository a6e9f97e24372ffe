"""Stand-in of the platform: read and watch over HTTP, plus test controls.

``GET /configuration?after=N&wait=S`` and ``GET /hosts`` are what the system
uses. Everything under ``/test`` stands for the operator's own means and for
faults: publish, go stale, go down, change the host list.
"""

import anyio
import attrs
import orjson
from hypercorn.asyncio import serve
from hypercorn.config import Config
from returns.result import Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from notchhoist import documents, model

OK = 200
NO_CONTENT = 204
CONFLICT = 409
UNAVAILABLE = 503
POLL_S = 0.02


@attrs.define
class PlatformState:
    """What the platform holds.

    Attributes:
        document: The published text.
        revision: Its revision.
        stale: An older text that readers get instead, or None.
        down: Every read fails.
        live: Names of live hosts.
        leaving: Names of leaving hosts.
        reads: Reads so far.
        lag_s: The host list shows a change this late, seconds.
        coming: Leaving hosts that the list does not show yet, and when it
            will.
    """

    document: bytes = b""
    revision: int = 0
    stale: bytes | None = None
    down: bool = False
    live: list[str] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    reads: int = 0
    lag_s: float = 0.0
    coming: list[tuple[float, list[str]]] = attrs.Factory(list)

    def announce_leaving(self, names: list[str], now: float) -> None:
        """Notes which hosts are leaving; the list shows it later."""
        self.coming.append((now + self.lag_s, names))

    def refresh(self, now: float) -> None:
        """Lets the list show what is due."""
        while self.coming and self.coming[0][0] <= now:
            self.leaving = self.coming.pop(0)[1]

    def publish(self, text: bytes) -> bool:
        """Publishes a document; False where its revision is not the next."""
        result = documents.parse_configuration(text)
        if not isinstance(result, Success):
            return False
        if result.unwrap().revision != self.revision + 1:
            return False
        self.document = text
        self.revision = result.unwrap().revision
        return True

    def read(self, after: int) -> bytes | None:
        """Returns the text if it is newer, empty if not, None when down."""
        if self.down:
            return None
        if self.stale is not None:
            return self.stale
        return self.document if self.revision > after else b""


def make_platform_app(state: PlatformState) -> Starlette:
    """Makes the HTTP application of the platform."""

    async def configuration(request: Request) -> Response:
        state.reads += 1
        after = int(request.query_params["after"])
        until = anyio.current_time() + float(request.query_params["wait"])
        while True:
            text = state.read(after)
            if text is None:
                return Response(status_code=UNAVAILABLE)
            if text or anyio.current_time() >= until:
                return Response(text, OK if text else NO_CONTENT)
            await anyio.sleep(POLL_S)

    async def hosts(_: Request) -> Response:
        state.reads += 1
        state.refresh(anyio.current_time())
        if state.down:
            return Response(status_code=UNAVAILABLE)
        lists = {"live": state.live, "leaving": state.leaving}
        return Response(orjson.dumps(lists))

    async def publish(request: Request) -> Response:
        accepted = state.publish(await request.body())
        return Response(status_code=OK if accepted else CONFLICT)

    async def control(request: Request) -> Response:
        wanted = orjson.loads(await request.body())
        state.down = wanted.get("down", state.down)
        state.lag_s = wanted.get("lag_s", state.lag_s)
        if "leaving" in wanted:
            state.announce_leaving(wanted["leaving"], anyio.current_time())
        if "stale" in wanted:
            state.stale = state.document if wanted["stale"] else None
        return Response()

    return Starlette(
        routes=[
            Route("/configuration", configuration),
            Route("/hosts", hosts),
            Route("/test/publish", publish, methods=["POST"]),
            Route("/test/control", control, methods=["POST"]),
        ]
    )


async def serve_platform(state: PlatformState, at: model.Endpoint) -> None:
    """Serves the platform until cancelled."""
    config = Config()
    config.bind = [f"{at.host}:{at.port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.1
    stopped = anyio.Event()
    await serve(
        make_platform_app(state),  # type: ignore[arg-type]
        config,
        shutdown_trigger=stopped.wait,
    )
