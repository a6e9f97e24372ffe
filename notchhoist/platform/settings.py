"""The settings file that the platform lays out for each process."""

import os
from collections.abc import Mapping
from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base.errors import ConfigurationProblem, SettingsRefusedError
from notchhoist.flows.model.mechanisms import ALL, NAMES, Mechanisms
from notchhoist.platform.checking import (
    FieldError,
    Fields,
    Problems,
    SeveralFieldsError,
    split_address,
)
from notchhoist.platform.documents import decode_json

PATH_VARIABLE = "NOTCHHOIST_NODE_FILE"

OFF_VARIABLE = "NOTCHHOIST_OFF"
"""Names of mechanisms that are out of use, between blanks or commas."""

Address = tuple[str, int]
"""IP number and port, as sockets take them."""

NO_ADDRESS: Address = ("", 0)
NO_FIELDS = Fields({}, "")
"""Stand where something is wrong, until all that is wrong has been found."""


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
        evacuate_s: An evacuated zone must get nothing new after this, seconds.
        cold_overage: Factor up to which cold servers may get more than they
            bear.
        cold_slack: New flows that they may get besides in a second; None where
            the platform sets no bound.
        grace_s: Time from a request to stop to a kill, seconds.
        first_start: The whole system starts for the first time.
        uses: Which mechanisms are in use.
        problems: Fields that were wrong and could be done without.
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
    link_mbps: float
    store: Address
    drain_s: float
    apply_s: float
    grace_s: float
    evacuate_s: float = 3.0
    cold_overage: float = 1.0
    cold_slack: float | None = None
    first_start: bool = False
    uses: Mechanisms = ALL
    problems: tuple[ConfigurationProblem, ...] = ()


def settings_path(environment: Mapping[str, str] = os.environ) -> str | None:
    """Returns the settings file, or None outside the platform."""
    return environment.get(PATH_VARIABLE) or None


def mechanisms(
    problems: Problems, environment: Mapping[str, str] = os.environ
) -> Mechanisms:
    """Returns the mechanisms in use; a name that is not known is passed over.

    Examples:
        >>> mechanisms(Problems(), {OFF_VARIABLE: "early doubt"}).doubt
        False
    """
    names = environment.get(OFF_VARIABLE, "").replace(",", " ").split()
    known = [problems.take(partial(_mechanism, name), "") for name in names]
    return ALL.without(name for name in known if name)


def _mechanism(name: str) -> str:
    if name not in NAMES:
        raise FieldError(OFF_VARIABLE, f"one of {NAMES}", name)
    return name


def load_host_settings(path: str) -> HostSettings:
    """Reads and checks the settings file.

    Raises:
        SettingsRefusedError: It cannot be read, or a field is wrong that
            nothing works without.
    """
    try:
        with open(path, "rb") as file:
            return decode_host_settings(file.read())
    except OSError as error:
        problem = ConfigurationProblem(
            "file", "a readable file", str(error.strerror)
        )
        raise SettingsRefusedError(path, (problem,)) from error
    except SeveralFieldsError as error:
        raise SettingsRefusedError(path, error.problems) from error
    except FieldError as error:
        raise SettingsRefusedError(path, (error.problem,)) from error


def decode_host_settings(text: bytes) -> HostSettings:
    """Decodes the text of the settings file.

    A field that a process can do without costs only what it is for: defaults
    stand in its place, and the settings name it.

    Raises:
        FieldError: Fields are wrong that nothing works without; the error names
            each of them.
    """
    fields = Fields(decode_json(text, "settings"), "")
    problems = Problems()
    spare = Problems()
    take = problems.take
    no_roles: tuple[str, ...] = ("side",)
    roles = take(lambda: _roles(fields), no_roles)
    balances = "front" in roles
    listen = take(lambda: fields.inner("listen"), NO_FIELDS)
    bounds = spare.take(lambda: fields.inner("bounds"), NO_FIELDS)
    limits = spare.take(lambda: fields.inner("limits"), NO_FIELDS)
    platform = take(lambda: fields.inner("platform"), NO_FIELDS)

    def address(holder: Fields, name: str) -> Address:
        return take(lambda: _address(holder, name), NO_ADDRESS)

    def name_at(name: str) -> str:
        return take(lambda: fields.text(name), "")

    def seconds(name: str, unit_s: float, default: float) -> float:
        low, high = (1, 1e9) if unit_s < 1 else (0, 1e6)
        read = spare.take(
            lambda: bounds.number(name, low, high, default), default
        )
        return read * unit_s

    ip = name_at("ip")
    settings = HostSettings(
        name=spare.take(lambda: fields.text("node"), ip),
        zone=spare.take(lambda: fields.text("zone"), ""),
        ip=ip,
        # Not among the platform's fields; our own harnesses give it.
        bind_ip=name_at("bind_ip" if fields.has("bind_ip") else "ip"),
        balances=balances,
        packets=address(listen, "datagram_addr"),
        ready=address(listen, "ready"),
        outbound=None if balances else address(listen, "outbound"),
        # ``app`` is the backend server beside an agent.
        backend=None if balances else address(fields, "app"),
        service="" if balances else name_at("service"),
        peer_ports=take(lambda: _ports(fields), (0, 0)),
        peers=spare.take(lambda: _peers(fields, spare), ()),
        link_mbps=spare.take(
            lambda: limits.number("link_mbps", 0, 1e6, default=0), 0.0
        ),
        store=address(platform, "address"),
        drain_s=seconds("drain_ms", 0.001, 3000),
        apply_s=seconds("config_apply_ms", 0.001, 3000),
        grace_s=seconds("grace_s", 1.0, 6),
        evacuate_s=seconds("evacuate_ms", 0.001, 3000),
        cold_overage=spare.take(
            lambda: bounds.number("cold_overage", 0, 1e6, default=1.0), 1.0
        ),
        cold_slack=spare.take(partial(_cold_slack, bounds), None),
        first_start=fields.values.get("bootstrap") is True,
        uses=mechanisms(spare),
    )
    problems.found += spare.found if problems.found else []
    problems.raise_any()
    return replace(settings, problems=tuple(spare.found))


def _cold_slack(bounds: Fields) -> float | None:
    if not bounds.has("cold_slack"):
        return None
    return bounds.number("cold_slack", 0, 1e9)


def _roles(fields: Fields) -> tuple[str, ...]:
    roles = fields.texts("serves")
    if "front" not in roles and "side" not in roles:
        raise FieldError("serves", "'front' or 'side'", roles)
    return roles


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


def _peers(fields: Fields, problems: Problems) -> tuple[str, ...]:
    if not fields.has("seeds"):
        return ()
    read = [
        problems.take(partial(split_address, str(text), place), NO_ADDRESS)
        for place, text in fields.elements("seeds")
    ]
    return tuple(host for host, _ in read if host)
