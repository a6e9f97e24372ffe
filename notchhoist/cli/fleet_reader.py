"""Reads the operator ports of daemons and the platform."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import httpx
from returns.result import Failure, Result, Success

from notchhoist import documents, model

PAGE = 500
TIMEOUT_S = 3.0


@attrs.frozen
class OperatorSettings:
    """What the command-line tool is told.

    Attributes:
        operator_key: Key of the daemons' operator ports.
        daemons: ``ip:port`` of the operator ports.
        platform: Address of the platform's service, ``http://ip:port``.
    """

    operator_key: str
    daemons: tuple[model.Endpoint, ...]
    platform: str = ""


@attrs.frozen(slots=False)
class DaemonError(model.NotchhoistError):
    """A daemon did not answer as it should.

    Attributes:
        daemon: Its operator port.
        reason: Why, in a few words.
    """

    daemon: str
    reason: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"{self.daemon}: {self.reason}"


Row = dict[str, Any]


@attrs.frozen
class Daemon:
    """A daemon that answered.

    Attributes:
        at: Its operator port.
        health: What it says of itself.
    """

    at: model.Endpoint
    health: Row

    @property
    def host(self) -> str:
        """Name of its host."""
        return self.health["name"]

    @property
    def is_agent(self) -> bool:
        """True beside a backend server."""
        return self.health["role"] == "agent"


@attrs.define
class FleetReader:
    """Asks daemons over HTTP.

    Attributes:
        settings: What the tool was told.
        client: The HTTP client.
        failures: Daemons that did not answer.
    """

    settings: OperatorSettings
    client: httpx.Client
    failures: list[DaemonError] = attrs.Factory(list)

    def daemons(self, host: str = "") -> list[Daemon]:
        """Returns the daemons that answer, or the one of a host."""
        found = []
        self.failures.clear()
        for at in self.settings.daemons:
            result = self._get(at, "/health", {})
            if isinstance(result, Success):
                found.append(Daemon(at, result.unwrap()))
            else:
                self.failures.append(result.failure())
        return [item for item in found if host in ("", item.host)]

    def section(self, daemon: Daemon, name: str) -> Iterator[Any]:
        """Yields every entry of a section of a daemon's dump."""
        offset = 0
        while True:
            query = {"offset": offset, "limit": PAGE}
            result = self._get(daemon.at, f"/dump/{name}", query)
            if not isinstance(result, Success):
                self.failures.append(result.failure())
                return
            page = result.unwrap()
            yield from page["entries"]
            offset += PAGE
            if offset >= page["total"]:
                return

    def _get(
        self, at: model.Endpoint, path: str, query: dict[str, int]
    ) -> Result[Row, DaemonError]:
        headers = {"authorization": f"Bearer {self.settings.operator_key}"}
        try:
            response = self.client.get(
                f"http://{at}{path}", params=query, headers=headers
            )
            body = response.json()
        except (httpx.HTTPError, ValueError) as error:
            return Failure(DaemonError(str(at), type(error).__name__))
        if response.is_error:
            return Failure(DaemonError(str(at), body.get("error", "refused")))
        return Success(body)

    def published(self) -> Result[model.Configuration, model.NotchhoistError]:
        """Reads the published document from the platform."""
        url = f"{self.settings.platform}/configuration"
        try:
            response = self.client.get(url, params={"after": 0, "wait": 0})
            response.raise_for_status()
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            reason = type(error).__name__
            return Failure(model.PlatformError("configuration", reason))
        return documents.parse_configuration(response.content)


def counter_rows(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields every counter of every daemon."""
    for daemon in daemons:
        for entry in reader.section(daemon, "counters"):
            yield {
                "host": daemon.host,
                "counter": entry["key"],
                "count": entry["value"],
            }


def load_operator_settings(
    path: Path,
) -> Result[OperatorSettings, model.SettingsRefusedError]:
    """Reads the tool's settings, JSON with comments."""
    try:
        text = path.read_bytes()
    except OSError as error:
        problem = model.ConfigurationProblem(
            "file", "a readable file", str(error.strerror)
        )
        return Failure(model.SettingsRefusedError(str(path), (problem,)))
    return (
        documents.read_json(text)
        .bind(lambda value: documents.structure(value, OperatorSettings))
        .alt(lambda found: model.SettingsRefusedError(str(path), found))
    )
