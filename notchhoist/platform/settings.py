"""The settings file that the platform lays out for each process."""

import os
from collections.abc import Mapping

from msgspec import Struct

from notchhoist.base.errors import ConfigurationProblem, SettingsRefusedError
from notchhoist.platform.checking import FieldError, Fields, split_address
from notchhoist.platform.documents import decode_json

PATH_VARIABLE = "NOTCHHOIST_NODE_FILE"

Address = tuple[str, int]
"""IP number and port, as sockets take them."""


class HostSettings(Struct, frozen=True):
    """What a process on the platform's machines is told.

    Attributes:
        name: Name of its host.
        zone: Availability zone.
        ip: IP number of the host, as other processes know it.
        bind_ip: IP number to bind; another one behind address translation.
        balances: It is a balancer; else an agent.
        packets: Where packets arrive from routers or balancers.
        ready: Where the platform asks whether it is ready.
        outbound: Agent only: where the backend server's packets arrive.
        backend: Agent only: the backend server.
        service: Agent only: its service.
        peer_ports: Ports for our own use, first and last.
        peers: Hosts of some balancers, perhaps stale or down.
        link_mbps: What the host's link carries, Mbit/s.
        store: The platform's store.
        drain_s: A leaving server must get no new work after this, seconds.
        apply_s: A configuration must be in force after this, seconds.
        grace_s: Time from a request to stop to a kill, seconds.
    """

    name: str
    zone: str
    ip: str
    bind_ip: str
    balances: bool
    packets: Address
    ready: Address
    outbound: Address | None
    backend: Address | None
    service: str
    peer_ports: tuple[int, int]
    peers: tuple[str, ...]
    link_mbps: int
    store: Address
    drain_s: float
    apply_s: float
    grace_s: float


def settings_path(environment: Mapping[str, str] = os.environ) -> str | None:
    """Returns the settings file, or None outside the platform."""
    return environment.get(PATH_VARIABLE) or None


def load_host_settings(path: str) -> HostSettings:
    """Reads and checks the settings file.

    Raises:
        SettingsRefusedError: It cannot be read, or a field is wrong.
    """
    try:
        with open(path, "rb") as file:
            return decode_host_settings(file.read())
    except OSError as error:
        problem = ConfigurationProblem(
            "file", "a readable file", str(error.strerror)
        )
        raise SettingsRefusedError(path, (problem,)) from error
    except FieldError as error:
        raise SettingsRefusedError(path, (error.problem,)) from error


def decode_host_settings(text: bytes) -> HostSettings:
    """Decodes the text of the settings file.

    Raises:
        FieldError: A field is wrong; the error says which.
    """
    fields = Fields(decode_json(text, "settings"), "")
    serves = fields.texts("serves")
    if "front" not in serves and "side" not in serves:
        raise FieldError("serves", "'front' or 'side'", serves)
    balances = "front" in serves
    listen = fields.inner("listen")
    bounds = fields.inner("bounds")
    ports = _ports(fields)
    return HostSettings(
        name=fields.text("node"),
        zone=fields.text("zone"),
        ip=fields.text("ip"),
        # Not among the platform's fields; our own harnesses give it.
        bind_ip=fields.text("bind_ip" if fields.has("bind_ip") else "ip"),
        balances=balances,
        packets=_address(listen, "datagram_addr"),
        ready=_address(listen, "ready"),
        outbound=None if balances else _address(listen, "outbound"),
        # ``app`` is the backend server beside an agent.
        backend=None if balances else _address(fields, "app"),
        service="" if balances else fields.text("service"),
        peer_ports=ports,
        peers=_peers(fields),
        link_mbps=int(
            fields.inner("limits").number("link_mbps", 0, 1e6, default=0)
        ),
        store=_address(fields.inner("platform"), "address"),
        drain_s=bounds.number("drain_ms", 1, 1e9, default=3000) / 1000,
        apply_s=bounds.number("config_apply_ms", 1, 1e9, default=3000) / 1000,
        grace_s=bounds.number("grace_s", 0, 1e6, default=6),
    )


def _address(fields: Fields, name: str) -> Address:
    place = f"{fields.place}.{name}" if fields.place else name
    return split_address(fields.text(name), place)


def _ports(fields: Fields) -> tuple[int, int]:
    value = fields.values.get("internal_ports")
    if (
        not isinstance(value, list)
        or len(value) != 2
        or not all(isinstance(port, int) for port in value)
        or not 0 < value[0] < value[1] <= 65535
    ):
        raise FieldError("internal_ports", "two ports, rising", value)
    return value[0], value[1]


def _peers(fields: Fields) -> tuple[str, ...]:
    if not fields.has("seeds"):
        return ()
    return tuple(
        split_address(text, "seeds")[0] for text in fields.texts("seeds")
    )
