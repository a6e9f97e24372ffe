"""Query statements on daemons that carry opaque flows."""

from collections.abc import Callable, Iterator

from notchhoist.cli.fleet_reader import (
    Daemon,
    FleetReader,
    Row,
    counter_rows,
)

PATH = "opaque"

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


def carries_opaque(daemon: Daemon) -> bool:
    """Tells whether a daemon is on the opaque-flow path."""
    return daemon.health.get("path") == PATH


def _newest(daemons: list[Daemon]) -> Daemon | None:
    """Returns the balancer that knows most of what is published."""
    balancers = [item for item in daemons if not item.is_agent]
    return max(
        balancers, key=lambda item: item.health["view_revision"], default=None
    )


def _from(section: str, role: str = "") -> Callable[..., Iterator[Row]]:
    """Returns what yields a section of every daemon of a role."""

    def rows(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
        for daemon in daemons:
            if role in ("", daemon.health["role"]):
                for entry in reader.section(daemon, section):
                    yield {"host": daemon.host} | entry

    return rows


def services(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields the routes at the balancer that knows most."""
    newest = _newest(daemons)
    if newest is not None:
        yield from reader.section(newest, "services")


def servers(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields backend servers, each with what its agent says and balancers see.

    ``failing`` and ``service_ms`` are the agent's evidence, ``pace_ms`` and
    ``counts_as_slots`` what a balancer makes of it.
    """
    newest = _newest(daemons)
    if newest is None:
        return
    agents = {item.at.host: item for item in daemons if item.is_agent}
    for row in reader.section(newest, "servers"):
        agent = agents.get(row["server_host"])
        told = reader.section(agent, "backend") if agent else iter(())
        yield row | next(told, {})


def revisions(_: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields what each balancer has in force, and how fresh it is."""
    for daemon in daemons:
        if daemon.is_agent:
            continue
        health = daemon.health
        shown = {name: health[name] for name in REVISION_COLUMNS}
        yield {"host": daemon.host} | shown


def problems(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields what balancers refused or left out, with field and value."""
    for daemon in daemons:
        if daemon.is_agent or not carries_opaque(daemon):
            continue
        if daemon.health["refused"]:
            yield {"host": daemon.host, "refused": daemon.health["refused"]}
        for row in reader.section(daemon, "problems"):
            yield {"host": daemon.host} | row


def leaving(reader: FleetReader, daemons: list[Daemon]) -> Iterator[Row]:
    """Yields servers that drain and daemons that stop."""
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
    "zones": _from("zones", "balancer"),
    "pressure": _from("pressure", "balancer"),
    "splits": _from("splits", "balancer"),
    "distances": _from("distances", "balancer"),
    "flows": _from("flows"),
    "requests": _from("requests", "agent"),
    "revisions": revisions,
    "leaving": leaving,
    "counters": counter_rows,
    "peers": _from("peers"),
}


def why_flow(
    reader: FleetReader, daemons: list[Daemon], caller: str
) -> Iterator[Row]:
    """Yields who knows a caller's flow, why it was reset, and what it met.

    The rows of a placement carry what the balancer knows of the server now.
    """
    for daemon in daemons:
        known = (
            {row["server"]: row for row in reader.section(daemon, "servers")}
            if not daemon.is_agent
            else {}
        )
        for section in ("flows", "requests", "decisions"):
            if section == "requests" and not daemon.is_agent:
                continue
            for row in reader.section(daemon, section):
                if not str(row["flow"]).startswith(f"{caller}-"):
                    continue
                yield (
                    {"host": daemon.host, "source": section}
                    | row
                    | _load(known.get(row.get("server"), {}))
                )


def _load(server: Row) -> Row:
    names = ("flows", "running", "pace_ms", "load_age_s", "takes_new_flows")
    return {name: server[name] for name in names if name in server}
