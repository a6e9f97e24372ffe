"""Checks at the end of a run, beside those of the judge."""

import json
import urllib.error
import urllib.request
from collections.abc import Iterator

from notchhoist.daemon.exceptions import EVENT as EXCEPTION_EVENT
from notchhoist.daemon.flow_metrics import METRICS_PATH, METRICS_PORT
from notchhoist.platform.readiness import READY_PATH
from notchhoist.testing.soak.addresses import READY_PORT
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.fleet import Fleet

MIN_ANSWERED_SHARE = 0.98
"""Minimum share of answered requests in the calm phase at the end."""

MAX_MEMORY_MB = 128.0
"""Maximum resident memory of a daemon, a requirement of the users."""

METRICS_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 2.0
MAX_SHOWN_BYTES = 1000


def read_metric(daemon: Daemon, name: str) -> float | None:
    """Returns the value of a daemon's gauge, or None if it is unreadable."""
    url = f"http://{daemon.bound_ip}:{METRICS_PORT}{METRICS_PATH}"
    try:
        with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_S) as answer:
            lines = answer.read().decode().splitlines()
    except (OSError, urllib.error.HTTPError):
        return None
    for line in lines:
        if line.startswith(f"notchhoist_{name} "):
            return float(line.split()[1])
    return None


def check_versions(fleet: Fleet) -> Iterator[str]:
    """Yields a line for each balancer without the newest configuration."""
    for daemon in fleet.balancers:
        version = read_metric(daemon, "configuration_version")
        if version != fleet.version:
            text = f"has version {version} of {fleet.version}"
            yield f"CONFIG: {daemon.name} {text}"


def check_ready(fleet: Fleet) -> Iterator[str]:
    """Yields a line for each daemon that does not say that it is ready."""
    for daemon in fleet.daemons:
        url = f"http://{daemon.bound_ip}:{READY_PORT}{READY_PATH}"
        try:
            with urllib.request.urlopen(url, timeout=READY_TIMEOUT_S):
                pass
        except OSError as error:
            yield f"READY: {daemon.name} {error}"


def check_memory(fleet: Fleet) -> Iterator[str]:
    """Yields a line for each daemon that exceeds the memory limit."""
    for daemon in fleet.daemons:
        used = daemon.memory_mb()
        if used > MAX_MEMORY_MB:
            yield f"MEMORY: {daemon.name} uses {used:.0f} MB"


def check_logs(fleet: Fleet) -> Iterator[str]:
    """Yields a line for each log that shows a fault of its daemon."""
    for daemon in fleet.daemons:
        for fault in find_faults(daemon.log_path.read_bytes()):
            yield f"LOG: {daemon.name} {fault}"


def find_faults(log: bytes) -> Iterator[str]:
    """Yields the first line that is no record, and the first exception.

    Examples:
        >>> list(find_faults(b'{"message_type":"start"}')), len(list(
        ...     find_faults(b'no record, {"message_type":"exception"}')
        ... ))
        ([], 1)
    """
    found = set()
    for number, line in enumerate(log.split(b"\n")):
        if not line:
            continue
        event = _event_of(line)
        if event in (None, EXCEPTION_EVENT) and event not in found:
            found.add(event)
            yield f"line {number}: {line[:MAX_SHOWN_BYTES]!r}"


def _event_of(line: bytes) -> str | None:
    """Returns the event of a log record; None if a line is not one."""
    try:
        return json.loads(line)["message_type"]
    except (ValueError, KeyError, TypeError):
        return None


def check_answered(asked: int, answered: int) -> Iterator[str]:
    """Yields a line if too few requests of the calm phase were answered.

    Examples:
        >>> list(check_answered(100, 99)), len(list(check_answered(100, 50)))
        ([], 1)
    """
    if asked and answered < MIN_ANSWERED_SHARE * asked:
        yield f"RECOVER: {answered} of {asked} answered at the end"
