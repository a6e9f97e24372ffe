"""Waits of a start for what another process is about to change.

The platform may start a process while it still writes the settings file, and
while the former process still holds the addresses. The module is loaded only if
the first attempt has failed.
"""

from collections.abc import Callable
from typing import TypeVar

from notchhoist.base.errors import AddressError, SettingsRefusedError
from notchhoist.daemon.loop import Clock
from notchhoist.platform.settings import (
    FileVersion,
    HostSettings,
    file_version,
    load_host_settings,
)

SETTINGS_WAIT_S = 2.0
"""How long a start waits for a valid settings file, seconds."""

ADDRESS_WAIT_MARGIN_S = 1.0
"""How long a start waits for its addresses beyond the time in which the former
process must have ended, seconds."""

RETRY_INTERVAL_S = 0.1
"""Pause between two attempts, seconds."""

Sleep = Callable[[float], None]
Opened = TypeVar("Opened")


def await_settings(
    path: str, clock: Clock, sleep: Sleep
) -> tuple[HostSettings, FileVersion | None]:
    """Reads the settings file until it is valid.

    Args:
        path: Path of the file.
        clock: The runtime's clock.
        sleep: Waits for a number of seconds.

    Returns:
        The settings, and the version of their file.

    Raises:
        SettingsRefusedError: The file has stayed invalid.
    """
    deadline = clock() + SETTINGS_WAIT_S
    while True:
        sleep(RETRY_INTERVAL_S)
        version = file_version(path)
        try:
            return load_host_settings(path), version
        except SettingsRefusedError:
            if clock() >= deadline:
                raise


def await_addresses(
    open_all: Callable[[], Opened], wait_s: float, clock: Clock, sleep: Sleep
) -> Opened:
    """Opens the sockets of a process as soon as their addresses are free.

    Args:
        open_all: Opens all of them, or raises ``AddressError``.
        wait_s: How long to wait at most, seconds.
        clock: The runtime's clock.
        sleep: Waits for a number of seconds.

    Raises:
        AddressError: An address has not become free.
    """
    deadline = clock() + wait_s
    while True:
        sleep(RETRY_INTERVAL_S)
        try:
            return open_all()
        except AddressError as error:
            if clock() >= deadline or not error.may_become_free:
                raise
