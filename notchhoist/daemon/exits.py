"""Log records of a process that does not serve yet, or that ends.

They have the fields of ``FlowJournal`` but need nothing except the standard
library: the package that encodes the other records may be what is missing. The
module is loaded only when such a record is written.
"""

import json
import os
import time
import traceback

from notchhoist.base.errors import AddressError, SettingsRefusedError

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_BIND = 3
EXIT_PACKAGE_MISSING = 4

MAX_REASON_CHARS = 2000
MAX_TRACEBACK_CHARS = 8000
MAX_FRAMES = 20
"""Limits of the texts in a record. The end of a traceback is kept, which names
the failing call."""

LOG_FILES = (1, 2)
"""File descriptors in the order in which they are tried."""


def log_record(host: str, event: str, **fields: object) -> None:
    """Writes one record; it is lost if nobody can read it.

    Args:
        host: Name of this host; empty if it is not known yet.
        event: Type of the record.
        **fields: Further fields, which JSON can represent.
    """
    record = {
        "timestamp": round(time.time(), 3),
        "clock": round(time.monotonic(), 4),
        "message_type": event,
        "host": host or os.uname().nodename,
        **fields,
    }
    line = json.dumps(record).encode() + b"\n"
    for number in LOG_FILES:
        try:
            os.write(number, line)
        except OSError:
            continue  # It is closed, or its reader has gone.
        return


def log_failure(host: str, error: BaseException) -> int:
    """Writes the last record of a process that ends by an error.

    Args:
        host: Name of this host; empty if it is not known yet.
        error: The error that ends the process.

    Returns:
        The exit status.
    """
    outcome, status, restart_helps = _classify(error)
    fields: dict[str, object] = {"outcome": outcome, "status": status}
    fields["restart_helps"] = restart_helps
    fields["reason"] = _describe(error)[:MAX_REASON_CHARS]
    if status in (EXIT_FAILED, EXIT_PACKAGE_MISSING):
        lines = traceback.format_tb(error.__traceback__, limit=-MAX_FRAMES)
        fields["traceback"] = "".join(lines)[-MAX_TRACEBACK_CHARS:]
    log_record(host, "exit", **fields)
    return status


def _classify(error: BaseException) -> tuple[str, int, str]:
    """Returns outcome, exit status, and whether another start can help."""
    match error:
        case SettingsRefusedError():
            return "settings refused", EXIT_BAD_SETTINGS, "no"
        case AddressError():
            helps = "yes" if error.may_become_free else "no"
            return "address not available", EXIT_CANNOT_BIND, helps
        case ImportError():
            return "package missing", EXIT_PACKAGE_MISSING, "no"
        case _:
            return "uncaught error", EXIT_FAILED, "unknown"


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
