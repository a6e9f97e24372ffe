"""Settings of ``notchhoistd``, read from a file in JSON with comments."""

import enum
import ipaddress
from collections.abc import Iterator
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

from notchhoist import documents, model

MIN_KEY_CHARACTERS = 8
MAX_DURATION_S = 86_400.0


class Role(enum.StrEnum):
    """Role of a daemon."""

    BALANCER = "balancer"
    AGENT = "agent"


@attrs.frozen
class Settings:
    """Settings that a daemon reads when it starts.

    Attributes:
        role: ``balancer`` on an entry host, ``agent`` beside a backend
            server.
        name: Name of the host: letters, digits, ``-`` and ``_``. For an
            agent, the name of its backend server in the configuration.
        zone: Availability zone of the host.
        peer: ``ip:port`` for messages between processes, UDP and TCP.
        operator: ``ip:port`` of the operator port; the callers' network
            must not reach it.
        operator_key: Key that operators present; 8 characters or more.
        platform: Address of the platform's API, ``http://ip:port``.
        service: Agent only: service of the backend server.
        backend: Agent only: ``ip:port`` of the backend server.
        listen_ip: Balancer only: IP address to listen on instead of the
            service's own, if several balancers share a machine; empty to
            listen on the service's address.
        peers: ``ip:port`` of some balancers, which are queried for the
            configuration, so that a daemon can start while the platform is
            down.
        idle_s: Time without packets after which a flow without a stream is
            removed: above 0 to 86,400 s; the same at all agents of a service.
        drain_s: Longest time that a planned stop waits for requests in
            progress, 0 to 86,400 s.
        seed: Seed of the random numbers; 0 takes one from the system.
    """

    role: Role
    name: str
    zone: str
    peer: model.Endpoint
    operator: model.Endpoint
    operator_key: str
    platform: str
    service: str = ""
    backend: model.Endpoint | None = None
    listen_ip: str = ""
    peers: tuple[model.Endpoint, ...] = ()
    idle_s: float = 60.0
    drain_s: float = 20.0
    seed: int = 0


def load_settings(
    path: Path,
) -> Result[Settings, model.SettingsRefusedError]:
    """Reads and checks a settings file.

    Args:
        path: Path of the settings file.

    Returns:
        The settings, or an error with all problems found.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        problem = model.ConfigurationProblem(
            "file", "a readable file", str(error.strerror)
        )
        return Failure(model.SettingsRefusedError(str(path), (problem,)))
    return parse_settings(text).alt(
        lambda problems: model.SettingsRefusedError(str(path), problems)
    )


def parse_settings(
    text: bytes,
) -> Result[Settings, tuple[model.ConfigurationProblem, ...]]:
    """Parses and checks the text of a settings file."""
    return (
        documents.read_json(text)
        .bind(lambda value: documents.structure(value, Settings))
        .bind(_checked)
    )


def _checked(
    settings: Settings,
) -> Result[Settings, tuple[model.ConfigurationProblem, ...]]:
    problems = tuple(_problems(settings))
    return Failure(problems) if problems else Success(settings)


def _problems(settings: Settings) -> Iterator[model.ConfigurationProblem]:
    if not settings.name:
        yield _problem("name", "a name that is not empty", settings.name)
    if len(settings.operator_key) < MIN_KEY_CHARACTERS:
        expected = f"{MIN_KEY_CHARACTERS} characters or more"
        yield _problem("operator_key", expected, "a shorter one")
    if not settings.platform.startswith("http://"):
        yield _problem("platform", "http://ip:port", settings.platform)
    for field in ("peer", "operator", "backend"):
        yield from _address_problems(field, getattr(settings, field))
    if settings.role is Role.AGENT:
        yield from _agent_problems(settings)
    elif settings.service or settings.backend:
        yield _problem(
            "service", "no service or backend for a balancer", settings.service
        )
    if not 0.0 < settings.idle_s <= MAX_DURATION_S:
        yield _problem("idle_s", "above 0 to 86400 s", settings.idle_s)
    if not 0.0 <= settings.drain_s <= MAX_DURATION_S:
        yield _problem("drain_s", "0 to 86400 s", settings.drain_s)


def _agent_problems(settings: Settings) -> Iterator[model.ConfigurationProblem]:
    if not settings.service:
        yield _problem("service", "a service for an agent", settings.service)
    if settings.backend is None:
        yield _problem("backend", "ip:port for an agent", settings.backend)


def _address_problems(
    place: str, endpoint: model.Endpoint | None
) -> Iterator[model.ConfigurationProblem]:
    if endpoint is None:
        return
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError:
        yield _problem(place, "an IP address and a port", endpoint)


def _problem(
    place: str, expected: str, got: object
) -> model.ConfigurationProblem:
    return model.ConfigurationProblem(place, expected, repr(got))
