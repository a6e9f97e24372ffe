"""Stand-in for the platform: its HTTP read API, plus controls for tests.

The system reads ``GET /configuration?after=N&wait=S`` (long polling) and
``GET /hosts``. The paths under ``/test`` publish a configuration as the
operator does and inject faults: stale reads, an outage, a changed host list.
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
    """State of the platform.

    Attributes:
        document: Text of the published configuration.
        revision: Revision of the published configuration.
        stale: Older text that readers get instead, or None.
        down: Whether every read fails.
        live: Names of live hosts.
        leaving: Names of draining hosts.
        reads: Number of reads so far.
        lag_s: Delay until the host list shows a change, seconds.
        pending_changes: Changes that the host list does not show yet: when
            it will, and the names of the draining hosts from then on.
    """

    document: bytes = b""
    revision: int = 0
    stale: bytes | None = None
    down: bool = False
    live: list[str] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    reads: int = 0
    lag_s: float = 0.0
    pending_changes: list[tuple[float, list[str]]] = attrs.Factory(list)

    def announce_leaving(self, names: list[str], now: float) -> None:
        """Records the draining hosts; the list shows them after ``lag_s``."""
        self.pending_changes.append((now + self.lag_s, names))

    def refresh(self, now: float) -> None:
        """Applies the recorded changes whose time has come to the host list."""
        while self.pending_changes and self.pending_changes[0][0] <= now:
            self.leaving = self.pending_changes.pop(0)[1]

    def publish(self, text: bytes) -> bool:
        """Publishes a configuration; returns whether it was accepted.

        Only a valid configuration with the next revision is accepted.
        """
        result = documents.parse_configuration(text)
        if not isinstance(result, Success):
            return False
        if result.unwrap().revision != self.revision + 1:
            return False
        self.document = text
        self.revision = result.unwrap().revision
        return True

    def read(self, after: int) -> bytes | None:
        """Returns the text for a reader that has a revision.

        Returns:
            The stale text if one is set, else the published text if it is
            newer than the revision, else empty bytes; None during an outage.
        """
        if self.down:
            return None
        if self.stale is not None:
            return self.stale
        return self.document if self.revision > after else b""


def make_platform_app(state: PlatformState) -> Starlette:
    """Creates the HTTP application of the platform."""

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
        changes = orjson.loads(await request.body())
        state.down = changes.get("down", state.down)
        state.lag_s = changes.get("lag_s", state.lag_s)
        if "leaving" in changes:
            state.announce_leaving(changes["leaving"], anyio.current_time())
        if "stale" in changes:
            state.stale = state.document if changes["stale"] else None
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
