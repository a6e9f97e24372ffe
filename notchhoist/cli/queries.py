"""Executes query statements: ``show`` and ``why``.

The rows come from the state dumps of the daemons. Daemons for opaque flows have
other sections and are read by ``opaque_queries``.
"""

from collections.abc import Callable, Iterator
from operator import eq, ge, gt, le, lt, ne
from typing import Any

from notchhoist.cli import opaque_queries, statements
from notchhoist.cli.fleet_reader import (
    Daemon,
    FleetReader,
    Row,
    counter_rows,
)
from notchhoist.cli.opaque_queries import serves_opaque_flows

Comparison = Callable[[Any, Any], bool]

_COMPARISONS: dict[str, Comparison] = {
    "=": eq,
    "!=": ne,
    ">": gt,
    "<": lt,
    ">=": ge,
    "<=": le,
}

REASON_COUNTERS = (
    "busy",
    "not_run",
    "unknown",
    "delegated",
    "retried",
    "shed",
    "grants_lost",
    "fences_lost",
    "not_ready",
    "stale_dropped",
    "caller_malformed",
    "misdirected",
    "refused",
    "resets",
    "found_nowhere",
    "finds_given_up",
    "held_too_long",
    "turned_away",
    "left_to_others",
    "no_route",
)


def show(reader: FleetReader, statement: statements.Show) -> list[Row]:
    """Returns the filtered, sorted and limited rows of a ``show`` statement."""
    daemons = reader.fetch_daemons(statement.host)
    all_rows = _rows(reader, daemons, statement.subject)
    rows = [row for row in all_rows if _matches(row, statement)]
    if statement.order:
        rows.sort(
            key=lambda row: _order_key(row.get(statement.order)),
            reverse=statement.descending,
        )
    return rows[: statement.limit] if statement.limit else rows


def _rows(
    reader: FleetReader, daemons: list[Daemon], subject: str
) -> Iterator[Row]:
    """Yields the rows of a subject from CoAP and opaque-flow daemons."""
    opaque = [item for item in daemons if serves_opaque_flows(item)]
    coap = [item for item in daemons if item not in opaque]
    if coap:
        read_rows = _SUBJECTS.get(subject)
        yield from read_rows(reader, coap) if read_rows else ()
    if opaque or not coap:
        yield from opaque_queries.SUBJECTS[subject](reader, opaque)


def _matches(row: Row, statement: statements.Show) -> bool:
    return all(_meets_condition(row, item) for item in statement.conditions)


def _meets_condition(row: Row, condition: statements.Condition) -> bool:
    value = row.get(condition.field)
    if condition.operator == "~":
        return str(condition.value) in str(value)
    expected: Any = condition.value
    if isinstance(expected, str) or not isinstance(value, int | float):
        value, expected = str(value), str(expected)
    return _COMPARISONS[condition.operator](value, expected)


def _order_key(value: Any) -> tuple[bool, Any]:
    is_number = isinstance(value, int | float)
    return (not is_number, value if is_number else str(value))


def _services(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for service in _newest_services(reader, daemons):
        yield {
            "service": service["name"],
            "address": service["address"],
            "servers": len(service["servers"]),
            "slots": sum(item["slots"] for item in service["servers"]),
            "kinds": " ".join(
                f"{kind['name']}:{kind['weight']}" for kind in service["kinds"]
            ),
            "epoch": service["epoch"],
        }


def _newest_services(
    reader: FleetReader, daemons: list[Daemon]
) -> Iterator[Row]:
    """Yields the services known to the balancer of the highest revision."""
    balancers = [item for item in daemons if not item.is_agent]
    newest = max(
        balancers, key=lambda item: item.health["revision"], default=None
    )
    if newest is None:
        return
    for entry in reader.read_section(newest, "services"):
        yield entry["value"]


def _servers(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    agents = {item.host: item for item in daemons if item.is_agent}
    for service in _newest_services(reader, daemons):
        for server in service["servers"]:
            row = {
                "server": server["name"],
                "service": service["name"],
                "zone": server["zone"],
                "state": server["state"],
                "slots": server["slots"],
            }
            agent = agents.get(server["name"])
            yield row | (_server_load(reader, agent) if agent else {})


def _server_load(reader: FleetReader, agent: Daemon) -> Row:
    admission: Row = next(iter(reader.read_section(agent, "admission")), {})
    flows = sum(1 for _ in reader.read_section(agent, "flows"))
    return {
        "in_flight": admission.get("in_flight"),
        "limit": int(admission.get("ramp", {}).get("level", 0)),
        "flows": flows,
    }


def _flows(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for daemon in daemons:
        if not daemon.is_agent:
            continue
        for entry in reader.read_section(daemon, "flows"):
            flow = entry["value"]
            yield {
                "caller": entry["key"],
                "server": daemon.host,
                "streams": len(flow["streams"]),
                "uploads": len(flow["uploads"]),
                "restored": flow["restored"],
                "balancer": flow["balancer"],
            }


def _requests(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for daemon in daemons:
        if not daemon.is_agent:
            continue
        for entry in reader.read_section(daemon, "runs"):
            run = entry["value"]
            yield {
                "server": daemon.host,
                "caller": run["caller"],
                "request": run["request"],
                "kind": run["kind"],
                "state": run["state"],
                "repeatable": run["repeatable"],
                "tries": run["tries"],
            }


def _revisions(_: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for daemon in daemons:
        yield {
            "host": daemon.host,
            "role": daemon.health["role"],
            "zone": daemon.health["zone"],
            "revision": daemon.health["revision"],
            "refused": daemon.health["refused"],
        }


def _leaving(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for daemon in daemons:
        for config in reader.read_section(daemon, "config"):
            for name in config["leaving"]:
                yield {"leaving": name, "host": daemon.host, "by": "host list"}
        if daemon.health["stopping"]:
            yield {"leaving": daemon.host, "host": daemon.host, "by": "signal"}


def _peers(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    for daemon in daemons:
        if not daemon.is_agent:
            continue
        for entry in reader.read_section(daemon, "peers"):
            report = entry["value"]["report"]
            yield {
                "host": daemon.host,
                "peer": report["server"],
                "free": report["free"],
                "in_flight": report["in_flight"],
                "queued": report["queued"],
                "leaving": report["leaving"],
                "service_ms": report["service_ms"],
            }


_SUBJECTS: dict[str, Callable[[FleetReader, list[Daemon]], Iterator[Row]]] = {
    "services": _services,
    "servers": _servers,
    "flows": _flows,
    "requests": _requests,
    "revisions": _revisions,
    "leaving": _leaving,
    "counters": counter_rows,
    "peers": _peers,
}


def why_flow(reader: FleetReader, statement: statements.WhyFlow) -> list[Row]:
    """Returns which daemons know a flow, in which role and at which revision.

    On the CoAP path these are the owner, the home agents, which keep a pointer
    to the owner, and the balancers that hold a hint.
    """
    rows: list[Row] = []
    caller = str(statement.caller)
    daemons = reader.fetch_daemons(statement.host)
    opaque = [item for item in daemons if serves_opaque_flows(item)]
    rows.extend(opaque_queries.why_flow(reader, opaque, caller))
    for daemon in daemons:
        if daemon in opaque:
            continue
        sections = ("flows", "directory") if daemon.is_agent else ("hints",)
        for section in sections:
            rows.extend(_flow_rows(reader, daemon, section, caller))
    return rows


def _flow_rows(
    reader: FleetReader, daemon: Daemon, section: str, caller: str
) -> Iterator[Row]:
    revision = daemon.health["revision"]
    for entry in reader.read_section(daemon, section):
        if section == "directory":
            pointer = entry["pointers"].get(caller)
            if pointer:
                says = f"home's pointer to {pointer['owner']}"
                says += ", pinned" if pointer["pinned"] else ""
                yield {"host": daemon.host, "says": says, "revision": revision}
        elif section == "flows" and entry["key"] == caller:
            flow = entry["value"]
            says = f"owner, {len(flow['streams'])} streams"
            yield {"host": daemon.host, "says": says, "revision": revision}
        elif section == "hints" and entry["key"].get("caller") == caller:
            says = f"hint to {entry['value']}"
            yield {"host": daemon.host, "says": says, "revision": revision}


def why_requests(
    reader: FleetReader, statement: statements.WhyRequests
) -> list[Row]:
    """Returns counters of refusals and retries, then recent decisions.

    Only nonzero counters and decisions with a reason are listed.
    """
    query = statements.Show("counters", host=statement.host)
    counts = [
        row
        for row in show(reader, query)
        if row["counter"] in REASON_COUNTERS and row["count"]
    ]
    return counts + _recent_decisions(reader, statement.host)


def _recent_decisions(reader: FleetReader, host: str) -> list[Row]:
    return [
        {"host": daemon.host} | decision
        for daemon in reader.fetch_daemons(host)
        if daemon.is_agent or serves_opaque_flows(daemon)
        for decision in reader.read_section(daemon, "decisions")
        if decision["reason"]
    ]


def why_configuration(
    reader: FleetReader, statement: statements.WhyConfiguration
) -> list[Row]:
    """Returns the daemons that refused a document, with field and reason."""
    daemons = reader.fetch_daemons(statement.host)
    if any(serves_opaque_flows(daemon) for daemon in daemons):
        return list(opaque_queries.problems(reader, daemons))
    query = statements.Show("revisions", host=statement.host)
    return [row for row in show(reader, query) if row["refused"]]
