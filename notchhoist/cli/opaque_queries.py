"""Query statements for daemons that serve opaque flows."""

from collections.abc import Callable, Iterator

from notchhoist.cli.fleet_reader import (
    Daemon,
    FleetReader,
    Row,
    counter_rows,
)

OPAQUE_PATH = "opaque"

REVISION_COLUMNS = (
    "role",
    "zone",
    "revision",
    "refused",
    "not_understood",
    "view_revision",
    "view_age_s",
    "reads_store",
    "ready",
    "isolated",
)

PROCESS_COLUMNS = (
    "role",
    "zone",
    "version",
    "uptime_s",
    "ready",
    "not_ready",
    "not_ready_s",
    "store_call",
    "store_failures",
    "store_error",
    "entries_skipped",
)


def serves_opaque_flows(daemon: Daemon) -> bool:
    """Returns whether a daemon serves opaque flows."""
    return daemon.health.get("path") == OPAQUE_PATH


def _newest_balancer(daemons: list[Daemon]) -> Daemon | None:
    """Returns the balancer with the highest view revision, or None."""
    balancers = [item for item in daemons if not item.is_agent]
    return max(
        balancers, key=lambda item: item.health["view_revision"], default=None
    )


def _section_rows(section: str, role: str = "") -> Callable[..., Iterator[Row]]:
    """Returns a function that yields a dump section of every daemon of a role.

    Without a role, the section is read from all daemons.
    """

    def rows(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
        for daemon in daemons:
            if role in ("", daemon.health["role"]):
                for entry in reader.read_section(daemon, section):
                    yield {"host": daemon.host} | entry

    return rows


def services(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields the routes known to the balancer with the newest view."""
    newest = _newest_balancer(daemons)
    if newest is not None:
        yield from reader.read_section(newest, "services")


def servers(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields backend servers as seen by a balancer and by their agents.

    ``failing`` and ``service_ms`` are measured by the agent; ``pace_ms`` and
    ``counts_as_slots`` are what the balancer derives from its reports.
    """
    newest = _newest_balancer(daemons)
    if newest is None:
        return
    agents = {
        item.operator_port.host: item for item in daemons if item.is_agent
    }
    for row in reader.read_section(newest, "servers"):
        agent = agents.get(row["server_host"])
        reports = reader.read_section(agent, "backend") if agent else iter(())
        yield row | next(reports, {})


def revisions(_: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields the revisions in force at each balancer and its view's age."""
    for daemon in daemons:
        if daemon.is_agent:
            continue
        health = daemon.health
        columns = {name: health[name] for name in REVISION_COLUMNS}
        yield {"host": daemon.host} | columns


def processes(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields each process, why it is not ready and how long it has run.

    A process that does not answer is listed by its operator port.
    """
    unanswered = list(reader.failures)
    for daemon in daemons:
        columns = {name: daemon.health.get(name) for name in PROCESS_COLUMNS}
        yield {"host": daemon.host} | columns
    for failure in unanswered:
        reason = f"no answer: {failure.reason}"
        yield {"host": failure.daemon, "ready": False, "not_ready": reason}


def problems(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields the problems that balancers found in published documents.

    A row names a refused document, or the field and value of an entry that was
    left out.
    """
    for daemon in daemons:
        if daemon.is_agent or not serves_opaque_flows(daemon):
            continue
        if daemon.health["refused"]:
            yield {"host": daemon.host, "refused": daemon.health["refused"]}
        for row in reader.read_section(daemon, "problems"):
            yield {"host": daemon.host} | row


def leaving(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields draining backend servers and stopping daemons."""
    for row in servers(reader, daemons):
        if row["state"] == "draining":
            host = row["server_host"]
            yield {"leaving": row["server"], "host": host, "by": "its entry"}
    for daemon in daemons:
        if daemon.health["stopping"]:
            yield {"leaving": daemon.host, "host": daemon.host, "by": "signal"}


SUBJECTS: dict[str, Callable[[FleetReader, list[Daemon]], Iterator[Row]]] = {
    "services": services,
    "servers": servers,
    "zones": _section_rows("zones", "balancer"),
    "pressure": _section_rows("pressure", "balancer"),
    "splits": _section_rows("splits", "balancer"),
    "distances": _section_rows("distances", "balancer"),
    "flows": _section_rows("flows"),
    "requests": _section_rows("requests", "agent"),
    "revisions": revisions,
    "processes": processes,
    "leaving": leaving,
    "counters": counter_rows,
    "peers": _section_rows("peers"),
}


def why_flow(
    reader: FleetReader, daemons: list[Daemon], caller: str
) -> Iterator[Row]:
    """Yields flows, requests and decisions of a caller from all daemons.

    Rows of a balancer that name a server also show the balancer's present load
    figures of that server.
    """
    for daemon in daemons:
        known = (
            {
                row["server"]: row
                for row in reader.read_section(daemon, "servers")
            }
            if not daemon.is_agent
            else {}
        )
        for section in ("flows", "requests", "decisions"):
            if section == "requests" and not daemon.is_agent:
                continue
            for row in reader.read_section(daemon, section):
                if not str(row["flow"]).startswith(f"{caller}-"):
                    continue
                yield (
                    {"host": daemon.host, "source": section}
                    | row
                    | _load_columns(known.get(row.get("server"), {}))
                )


def _load_columns(server: Row) -> Row:
    names = ("flows", "running", "pace_ms", "load_age_s", "takes_new_flows")
    return {name: server[name] for name in names if name in server}
