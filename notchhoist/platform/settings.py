"""The settings file that the platform provides for each process."""

import os
from collections.abc import Mapping
from functools import partial

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base.errors import ConfigurationProblem, SettingsRefusedError
from notchhoist.flows.model.mechanisms import ALL, NAMES, Mechanisms
from notchhoist.platform.documents import decode_json
from notchhoist.platform.json_fields import (
    FieldError,
    Fields,
    Problems,
    SeveralFieldsError,
    split_address,
)

PATH_VARIABLE = "NOTCHHOIST_NODE_FILE"

DISABLED_VARIABLE = "NOTCHHOIST_OFF"
"""Variable with the disabled mechanisms, separated by blanks or commas."""

Address = tuple[str, int]
"""IP address and port, as the ``socket`` module expects them."""

NO_ADDRESS: Address = ("", 0)
NO_FIELDS = Fields({}, "")
"""``NO_ADDRESS`` and ``NO_FIELDS`` replace invalid values until all problems
have been found."""


FileVersion = tuple[int, int, int]
"""Time of the last change in nanoseconds, size in bytes, and inode of a file.
Files that are written twice within the resolution of the file system's clock
differ in one of the others."""


class HostSettings(Struct, frozen=True):
    """Settings of a balancer or an agent on the platform's machines.

    Attributes:
        name: Name of its host.
        zone: Availability zone.
        ip: IP address of the host, as other processes know it.
        bind_ip: IP address to bind; it differs behind address translation.
        balances: The process is a balancer; otherwise an agent.
        packets: Address for packets from routers or balancers.
        ready: Address of the platform's readiness check.
        outbound: Agent only: address for packets of the backend server.
        backend: Agent only: address of the backend server.
        service: Agent only: service of the backend server.
        peer_ports: First and last port for messages between balancers and
            agents.
        peers: Hosts of some balancers, which may be out of date or down.
        link_mbps: Bandwidth of the host's link, Mbit/s.
        store: Address of the platform's store.
        drain_s: A draining server must get no new work after this, seconds.
        apply_s: A configuration must be in force after this, seconds.
        evacuate_s: An evacuated zone must get nothing new after this, seconds.
        contact_s: How long after the start of a process nothing is promised for
            flows that pass it, seconds.
        cold_overage: Factor by which new flows of cold servers may exceed
            their cold bound.
        cold_slack: New flows per second that they may get in addition; None if
            the platform sets no limit.
        grace_s: Time from a request to stop until the process is killed,
            seconds.
        first_start: The whole system starts for the first time.
        uses: Which mechanisms are enabled.
        problems: Optional fields that were invalid; defaults replace them.
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
    contact_s: float = 4.0
    cold_overage: float = 1.0
    cold_slack: float | None = None
    first_start: bool = False
    uses: Mechanisms = ALL
    problems: tuple[ConfigurationProblem, ...] = ()


def settings_path(environment: Mapping[str, str] = os.environ) -> str | None:
    """Returns the path of the settings file, or None outside the platform."""
    return environment.get(PATH_VARIABLE) or None


def required_settings_path() -> str:
    """Returns the path of the settings file.

    Raises:
        SettingsRefusedError: The platform has named no file.
    """
    path = settings_path()
    if path is None:
        problem = ConfigurationProblem(
            PATH_VARIABLE, "the path of the settings file", "nothing"
        )
        raise SettingsRefusedError("environment", (problem,))
    return path


def enabled_mechanisms(
    problems: Problems, environment: Mapping[str, str] = os.environ
) -> Mechanisms:
    """Returns the enabled mechanisms; unknown names are reported and ignored.

    Examples:
        >>> environment = {DISABLED_VARIABLE: "early doubt"}
        >>> enabled_mechanisms(Problems(), environment).doubt
        False
    """
    names = environment.get(DISABLED_VARIABLE, "").replace(",", " ").split()
    known = [problems.value_or(partial(_mechanism, name), "") for name in names]
    return ALL.without(name for name in known if name)


def _mechanism(name: str) -> str:
    if name not in NAMES:
        raise FieldError(DISABLED_VARIABLE, f"one of {NAMES}", name)
    return name


def file_version(path: str) -> FileVersion | None:
    """Returns what changes with a file; None if it cannot be examined."""
    try:
        status = os.stat(path)
    except OSError:
        return None  # Reading the file tells what is wrong with it.
    return status.st_mtime_ns, status.st_size, status.st_ino


def load_host_settings(path: str) -> HostSettings:
    """Reads and checks the settings file.

    Raises:
        SettingsRefusedError: The file cannot be read, or a required field is
            missing or invalid.
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

    A default replaces an optional field that is invalid, and the settings list
    the problem.

    Raises:
        FieldError: Required fields are missing or invalid. The error names all
            of them, and invalid optional fields too.
    """
    fields = Fields(decode_json(text, "settings"), "")
    problems = Problems()
    tolerated = Problems()
    value_or = problems.value_or
    default_roles: tuple[str, ...] = ("side",)
    roles = value_or(lambda: _roles(fields), default_roles)
    balances = "front" in roles
    listen = value_or(lambda: fields.nested("listen"), NO_FIELDS)
    bounds = tolerated.value_or(lambda: fields.nested("bounds"), NO_FIELDS)
    limits = tolerated.value_or(lambda: fields.nested("limits"), NO_FIELDS)
    platform = value_or(lambda: fields.nested("platform"), NO_FIELDS)

    def address(holder: Fields, name: str) -> Address:
        return value_or(lambda: _address(holder, name), NO_ADDRESS)

    def required_text(name: str) -> str:
        return value_or(lambda: fields.text(name), "")

    def seconds(name: str, unit_s: float, default: float) -> float:
        low, high = (1, 1e9) if unit_s < 1 else (0, 1e6)
        read = tolerated.value_or(
            lambda: bounds.number(name, low, high, default), default
        )
        return read * unit_s

    ip = required_text("ip")
    settings = HostSettings(
        name=tolerated.value_or(lambda: fields.text("node"), ip),
        zone=tolerated.value_or(lambda: fields.text("zone"), ""),
        ip=ip,
        # The platform does not set it; the project's own harnesses do.
        bind_ip=required_text("bind_ip" if fields.has("bind_ip") else "ip"),
        balances=balances,
        packets=address(listen, "datagram_addr"),
        ready=address(listen, "ready"),
        outbound=None if balances else address(listen, "outbound"),
        # ``app`` is the address of the agent's backend server.
        backend=None if balances else address(fields, "app"),
        service="" if balances else required_text("service"),
        peer_ports=value_or(lambda: _ports(fields), (0, 0)),
        peers=tolerated.value_or(lambda: _peers(fields, tolerated), ()),
        link_mbps=tolerated.value_or(
            lambda: limits.number("link_mbps", 0, 1e6, default=0), 0.0
        ),
        store=address(platform, "address"),
        drain_s=seconds("drain_ms", 0.001, 3000),
        apply_s=seconds("config_apply_ms", 0.001, 3000),
        grace_s=seconds("grace_s", 1.0, 6),
        evacuate_s=seconds("evacuate_ms", 0.001, 3000),
        contact_s=seconds("contact_ms", 0.001, 4000),
        cold_overage=tolerated.value_or(
            lambda: bounds.number("cold_overage", 0, 1e6, default=1.0), 1.0
        ),
        cold_slack=tolerated.value_or(partial(_cold_slack, bounds), None),
        first_start=fields.values.get("bootstrap") is True,
        uses=enabled_mechanisms(tolerated),
    )
    problems.found += tolerated.found if problems.found else []
    problems.raise_any()
    return replace(settings, problems=tuple(tolerated.found))


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
        raise FieldError(
            "internal_ports", "two ports in ascending order", value
        )
    return value[0], value[1]


def _peers(fields: Fields, problems: Problems) -> tuple[str, ...]:
    if not fields.has("seeds"):
        return ()
    read = [
        problems.value_or(partial(_peer, value, place), NO_ADDRESS)
        for place, value in fields.elements("seeds")
    ]
    return tuple(host for host, _ in read if host)


def _peer(value: object, place: str) -> Address:
    if not isinstance(value, str):
        raise FieldError(place, "ip:port", value)
    return split_address(value, place)
