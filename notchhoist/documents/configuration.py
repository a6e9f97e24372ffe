"""Parsing, validation and writing of the published configuration.

A document is the JSON form of ``model.Configuration``, with endpoints as
``ip:port``. It is applied only if all of it is valid.
"""

import ipaddress
from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import orjson
from returns.result import Failure, Result, Success

from notchhoist import model
from notchhoist.documents.structuring import (
    Problems,
    read_json,
    structure,
    unstructure,
)

MAX_DOCUMENT_BYTES = 1 << 20
"""Largest document, bytes: the platform stores values of up to a megabyte."""

MAX_REVISION = 2**53
MAX_WEIGHT = 100
MAX_SLOTS = 4096
MAX_MEMORY_S = 3600.0
MEMORY_PER_DEADLINE = 2.0
"""Least memory of the witnesses, in deadlines of a non-repeatable kind."""

MAX_DEADLINE_S = 45.0
"""Longest deadline, seconds: callers retransmit for as long.

This is MAX_TRANSMIT_SPAN of RFC 7252.
"""

METHODS = ("GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH")


@attrs.frozen
class _BalancerList:
    balancers: tuple[model.BalancerHost, ...]


def parse_configuration(
    text: bytes,
) -> Result[model.Configuration, model.ConfigurationRefusedError]:
    """Parses and validates a published document.

    Examples:
        >>> parse_configuration(b'{"revision": 3}').unwrap().revision
        3
        >>> refused = parse_configuration(b'{"revision": "3"}').failure()
        >>> print(refused)
        revision: expected int, got '3'

    Args:
        text: UTF-8 JSON, comments allowed.

    Returns:
        The configuration, or an error with every problem of the document.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        problem = model.ConfigurationProblem(
            "document", f"at most {MAX_DOCUMENT_BYTES} bytes", str(len(text))
        )
        return Failure(model.ConfigurationRefusedError(-1, (problem,)))
    read = read_json(text)
    revision = _revision_of(read.value_or(None))
    result = read.bind(
        lambda value: structure(value, model.Configuration)
    ).bind(_validate_configuration)
    return result.alt(
        lambda problems: model.ConfigurationRefusedError(revision, problems)
    )


def _revision_of(value: Any) -> int:
    revision = value.get("revision") if isinstance(value, dict) else None
    return revision if type(revision) is int else -1


def _validate_configuration(
    configuration: model.Configuration,
) -> Result[model.Configuration, Problems]:
    problems = tuple(_configuration_problems(configuration))
    return Failure(problems) if problems else Success(configuration)


def _configuration_problems(
    configuration: model.Configuration,
) -> Iterator[model.ConfigurationProblem]:
    if not 1 <= configuration.revision <= MAX_REVISION:
        yield _problem(
            "revision", f"1 to {MAX_REVISION}", configuration.revision
        )
    services = configuration.services
    yield from _duplicate_problems("services", [item.name for item in services])
    addresses = [str(item.address) for item in services]
    yield from _duplicate_problems("services", addresses, "address")
    servers = [server for item in services for server in item.servers]
    for field in ("name", "agent", "address"):
        values = [str(getattr(server, field)) for server in servers]
        yield from _duplicate_problems("servers", values, field)
    names = [item.name for item in configuration.balancers]
    yield from _duplicate_problems("balancers", names)
    for place, item in enumerate(services):
        yield from _service_problems(f"services[{place}]", item)
    for place, host in enumerate(configuration.balancers):
        yield from _address_problems(f"balancers[{place}].peer", host.peer)


def _service_problems(
    place: str, service: model.Service
) -> Iterator[model.ConfigurationProblem]:
    yield from _name_problems(f"{place}.name", service.name)
    yield from _address_problems(f"{place}.address", service.address)
    if not 0 <= service.epoch <= MAX_REVISION:
        yield _problem(f"{place}.epoch", f"0 to {MAX_REVISION}", service.epoch)
    if not 0.0 < service.memory_s <= MAX_MEMORY_S:
        yield _problem(f"{place}.memory_s", "0 to 3600 s", service.memory_s)
    yield from _duplicate_problems(
        f"{place}.kinds", [k.name for k in service.kinds]
    )
    for number, kind in enumerate(service.kinds):
        yield from _kind_problems(f"{place}.kinds[{number}]", kind)
        if not kind.repeatable:
            yield from _memory_problems(place, service, kind)
    for number, server in enumerate(service.servers):
        yield from _server_problems(f"{place}.servers[{number}]", server)


def _kind_problems(
    place: str, kind: model.Kind
) -> Iterator[model.ConfigurationProblem]:
    if kind.method not in METHODS:
        yield _problem(f"{place}.method", " or ".join(METHODS), kind.method)
    if not 1 <= kind.weight <= MAX_WEIGHT:
        yield _problem(f"{place}.weight", f"1 to {MAX_WEIGHT}", kind.weight)
    if not 0.0 < kind.deadline_s <= MAX_DEADLINE_S:
        expected = f"above 0 to {MAX_DEADLINE_S} s"
        yield _problem(f"{place}.deadline_s", expected, kind.deadline_s)


def _memory_problems(
    place: str, service: model.Service, kind: model.Kind
) -> Iterator[model.ConfigurationProblem]:
    """Checks that witnesses keep a grant as long as a fence may need it."""
    least = MEMORY_PER_DEADLINE * kind.deadline_s
    if service.memory_s < least:
        expected = f"{least} s or more for {kind.name}"
        yield _problem(f"{place}.memory_s", expected, service.memory_s)


def _server_problems(
    place: str, server: model.BackendServer
) -> Iterator[model.ConfigurationProblem]:
    yield from _name_problems(f"{place}.name", server.name)
    yield from _address_problems(f"{place}.agent", server.agent)
    yield from _address_problems(f"{place}.address", server.address)
    if not 1 <= server.slots <= MAX_SLOTS:
        yield _problem(f"{place}.slots", f"1 to {MAX_SLOTS}", server.slots)
    if not 0.0 < server.weight <= MAX_WEIGHT:
        yield _problem(
            f"{place}.weight", f"above 0 to {MAX_WEIGHT}", server.weight
        )


def _name_problems(
    place: str, name: str
) -> Iterator[model.ConfigurationProblem]:
    if not name or not name.replace("-", "").replace("_", "").isalnum():
        yield _problem(place, "letters, digits, - and _", name)


def _address_problems(
    place: str, endpoint: model.Endpoint
) -> Iterator[model.ConfigurationProblem]:
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError:
        yield _problem(place, "an IP number and a port", endpoint)


def _duplicate_problems(
    place: str, values: Sequence[str], field: str = "name"
) -> Iterator[model.ConfigurationProblem]:
    seen: set[str] = set()
    for number, value in enumerate(values):
        if value in seen:
            yield _problem(
                f"{place}[{number}].{field}", "a unique value", value
            )
        seen.add(value)


def _problem(place: str, expected: str, got: Any) -> model.ConfigurationProblem:
    return model.ConfigurationProblem(place, expected, repr(got))


def write_configuration(configuration: model.Configuration) -> bytes:
    """Encodes a document for the operator to publish."""
    return orjson.dumps(unstructure(configuration), option=orjson.OPT_INDENT_2)


def write_service(service: model.Service) -> bytes:
    """Encodes the configuration of one service for a peer."""
    return orjson.dumps(unstructure(service))


def write_balancers(balancers: Sequence[model.BalancerHost]) -> bytes:
    """Encodes the list of balancers for a peer."""
    return orjson.dumps(unstructure(_BalancerList(tuple(balancers))))


def parse_service(text: bytes) -> Result[model.Service, Problems]:
    """Parses and validates the configuration of one service from a peer."""
    return (
        read_json(text)
        .bind(lambda value: structure(value, model.Service))
        .bind(_validate_service)
    )


def _validate_service(
    service: model.Service,
) -> Result[model.Service, Problems]:
    problems = tuple(_service_problems("service", service))
    return Failure(problems) if problems else Success(service)


def parse_balancers(
    text: bytes,
) -> Result[tuple[model.BalancerHost, ...], Problems]:
    """Parses the list of balancers from a peer."""
    return (
        read_json(text)
        .bind(lambda value: structure(value, _BalancerList))
        .map(lambda parsed: parsed.balancers)
    )
