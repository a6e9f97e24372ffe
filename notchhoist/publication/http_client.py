"""HTTP client of the platform's publication service, based on httpx."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

import attrs
import httpx
from returns.result import Failure, Result, Success

from notchhoist import documents, model
from notchhoist.publication.protocol import HostList

READ_TIMEOUT_S = 3.0


@attrs.frozen
class _HostListDocument:
    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


@attrs.define
class HttpPlatform:
    """Reads from the platform's service over HTTP.

    Attributes:
        client: HTTP client with the platform's address as its base URL.
    """

    client: httpx.AsyncClient

    async def read_configuration(
        self, after: int, wait_s: float
    ) -> Result[bytes, model.PlatformError]:
        """See ``Platform``."""
        response = await self._get(
            "configuration", {"after": after, "wait": wait_s}, wait_s
        )
        return response.map(lambda got: got.content)

    async def read_hosts(self) -> Result[HostList, model.PlatformError]:
        """See ``Platform``."""
        response = await self._get("hosts", {}, 0.0)
        return response.bind(lambda got: _host_list(got.content))

    async def _get(
        self, operation: str, query: dict[str, Any], wait_s: float
    ) -> Result[httpx.Response, model.PlatformError]:
        try:
            response = await self.client.get(
                f"/{operation}", params=query, timeout=READ_TIMEOUT_S + wait_s
            )
        except httpx.HTTPError as error:
            reason = f"{type(error).__name__}: {error}"
            return Failure(model.PlatformError(operation, reason))
        if response.status_code not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
            reason = f"status {response.status_code}"
            return Failure(model.PlatformError(operation, reason))
        return Success(response)


def _host_list(text: bytes) -> Result[HostList, model.PlatformError]:
    return (
        documents.read_json(text)
        .bind(lambda value: documents.structure(value, _HostListDocument))
        .map(lambda got: HostList(frozenset(got.live), frozenset(got.leaving)))
        .alt(lambda problems: model.PlatformError("hosts", str(problems[0])))
    )


@asynccontextmanager
async def open_http_platform(address: str) -> AsyncIterator[HttpPlatform]:
    """Opens a client for an address such as ``http://127.0.0.1:8400``."""
    async with httpx.AsyncClient(base_url=address, trust_env=False) as client:
        yield HttpPlatform(client)


def to_event(
    read: Result[bytes, model.PlatformError]
    | Result[HostList, model.PlatformError],
) -> model.ConfigurationRead | model.HostsRead:
    """Converts the result of a read to an event for a node."""
    value = read.value_or(None)
    if isinstance(value, HostList):
        return model.HostsRead(value.live, value.leaving, failed=False)
    if isinstance(value, bytes):
        return model.ConfigurationRead(value, failed=False)
    if read.failure().operation == "hosts":
        return model.HostsRead(frozenset(), frozenset(), failed=True)
    return model.ConfigurationRead(b"", failed=True)
