"""What must hold at the end of a run, beside what the judge has seen."""

import json
import urllib.error
import urllib.request
from collections.abc import Iterator

from notchhoist.daemon.flow_metrics import METRICS_PATH, METRICS_PORT
from notchhoist.testing.soak.daemons import Daemon
from notchhoist.testing.soak.fleet import Fleet

SERVED_SHARE = 0.98
"""Least share of the requests of the calm end that are answered."""

MEMORY_MB = 128.0
"""Most memory of a daemon, from the target of the users."""

READ_S = 5.0


def read_metric(daemon: Daemon, name: str) -> float | None:
    """Returns a gauge of a daemon, or None where it cannot be read."""
    url = f"http://{daemon.own}:{METRICS_PORT}{METRICS_PATH}"
    try:
        with urllib.request.urlopen(url, timeout=READ_S) as answer:
            lines = answer.read().decode().splitlines()
    except (OSError, urllib.error.HTTPError):
        return None
    for line in lines:
        if line.startswith(f"notchhoist_{name} "):
            return float(line.split()[1])
    return None


def versions(fleet: Fleet) -> Iterator[str]:
    """Yields the balancers that have not got the newest configuration."""
    for daemon in fleet.balancers:
        version = read_metric(daemon, "configuration_version")
        if version != fleet.version:
            text = f"has version {version} of {fleet.version}"
            yield f"CONFIG: {daemon.name} {text}"


def memory(fleet: Fleet) -> Iterator[str]:
    """Yields the daemons that have grown too large."""
    for daemon in fleet.daemons:
        used = daemon.memory_mb()
        if used > MEMORY_MB:
            yield f"MEMORY: {daemon.name} uses {used:.0f} MB"


def logs(fleet: Fleet) -> Iterator[str]:
    """Yields the daemons whose logs hold anything but JSON lines."""
    for daemon in fleet.daemons:
        for number, line in enumerate(
            daemon.log_path.read_bytes().split(b"\n")
        ):
            if line and not _is_record(line):
                yield f"LOG: {daemon.name} line {number}: {line[:200]!r}"
                break


def _is_record(line: bytes) -> bool:
    try:
        return "message_type" in json.loads(line)
    except ValueError:
        return False


def served(asked: int, answered: int) -> Iterator[str]:
    """Yields a line where too few of the calm end's requests were answered.

    Examples:
        >>> list(served(100, 99)), len(list(served(100, 50)))
        ([], 1)
    """
    if asked and answered < SERVED_SHARE * asked:
        yield f"RECOVER: {answered} of {asked} answered at the end"
