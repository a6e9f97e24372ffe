"""HTTP client for the operator ports of the daemons and for the platform."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import httpx
from returns.result import Failure, Result, Success

from notchhoist import documents, model

PAGE_SIZE = 500
REQUEST_TIMEOUT_S = 3.0


@attrs.frozen
class OperatorSettings:
    """Settings of the command-line tool.

    Attributes:
        operator_key: Bearer token for the operator ports.
        daemons: Operator ports of the daemons, ``ip:port``.
        platform: Base URL of the platform, ``http://ip:port``.
    """

    operator_key: str
    daemons: tuple[model.Endpoint, ...]
    platform: str = ""


@attrs.frozen(slots=False)
class DaemonError(model.NotchhoistError):
    """A request to the operator port of a daemon failed.

    Attributes:
        daemon: Operator port of the daemon, ``ip:port``.
        reason: Name of the exception, or the error text of the response.
    """

    daemon: str
    reason: str

    def __str__(self) -> str:
        """Returns the operator port and the reason in one line."""
        return f"{self.daemon}: {self.reason}"


Row = dict[str, Any]


@attrs.frozen
class Daemon:
    """A daemon that answered a health request.

    Attributes:
        operator_port: Operator port of the daemon.
        health: Body of the response of ``/health``.
    """

    operator_port: model.Endpoint
    health: Row

    @property
    def host(self) -> str:
        """Name of the host that the daemon runs on."""
        return self.health["name"]

    @property
    def is_agent(self) -> bool:
        """Whether the daemon is the agent of a backend server."""
        return self.health["role"] == "agent"


@attrs.define
class FleetReader:
    """Reads the state of daemons and the published document over HTTP.

    Attributes:
        settings: Settings of the tool.
        client: HTTP client for all requests.
        failures: Requests to daemons that failed since the last call of
            ``FleetReader.fetch_daemons``.
    """

    settings: OperatorSettings
    client: httpx.Client
    failures: list[DaemonError] = attrs.Factory(list)

    def fetch_daemons(self, host: str = "") -> list[Daemon]:
        """Asks all daemons for their health and returns those that answer.

        With a host, only the daemon of that host is returned. ``failures`` is
        cleared first.
        """
        answering = []
        self.failures.clear()
        for at in self.settings.daemons:
            result = self._get(at, "/health", {})
            if isinstance(result, Success):
                answering.append(Daemon(at, result.unwrap()))
            else:
                self.failures.append(result.failure())
        return [item for item in answering if host in ("", item.host)]

    def read_section(self, daemon: Daemon, name: str) -> Iterator[Any]:
        """Yields the entries of a section of a daemon's state dump.

        The section is read page by page. A failed request ends the iteration
        and is added to ``failures``.
        """
        offset = 0
        while True:
            query = {"offset": offset, "limit": PAGE_SIZE}
            result = self._get(daemon.operator_port, f"/dump/{name}", query)
            if not isinstance(result, Success):
                self.failures.append(result.failure())
                return
            page = result.unwrap()
            yield from page["entries"]
            offset += PAGE_SIZE
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

    def fetch_published(
        self,
    ) -> Result[model.Configuration, model.NotchhoistError]:
        """Fetches the published configuration document from the platform."""
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
        for entry in reader.read_section(daemon, "counters"):
            yield {
                "host": daemon.host,
                "counter": entry["key"],
                "count": entry["value"],
            }


def load_operator_settings(
    path: Path,
) -> Result[OperatorSettings, model.SettingsRefusedError]:
    """Reads the settings file of the tool: JSON with comments."""
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
        .alt(lambda problems: model.SettingsRefusedError(str(path), problems))
    )
