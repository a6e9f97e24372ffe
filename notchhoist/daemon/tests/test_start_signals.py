"""Tests of signals at any moment of a start.

``NOTCHHOIST_SIGNAL_STEP_MS=2`` makes the series finer than CI has time for.
"""

import json
import os
import signal
from pathlib import Path

import pytest

from notchhoist.daemon.tests.start_harness import (
    NEVER_SET,
    ROLES,
    Start,
    make_settings,
    run_command,
)

STEP_MS = int(os.environ.get("NOTCHHOIST_SIGNAL_STEP_MS", "50"))
MOMENTS_MS = range(0, 301, STEP_MS)
SERIES = {
    "reload": (signal.SIGHUP,),
    "stop": (signal.SIGTERM,),
    "reload-stop": (signal.SIGHUP, signal.SIGTERM),
    "stop-reload": (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
}


def is_handled(process, number):
    """Returns whether a process ignores or catches a signal."""
    masks = dict(
        line.split(":\t")
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
        if line.startswith("Sig")
    )
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled >> (number - 1) & 1)


@pytest.mark.parametrize("name", SERIES)
@pytest.mark.parametrize("role", ROLES)
def test_signals_during_a_start_end_it_only_as_requested(tmp_path, role, name):
    """Guards against ends by a reload, and by a stop without a record.

    Before its first line of Python has run, a process cannot handle a signal.
    """
    settings = json.dumps(make_settings(role))
    for moment_ms in MOMENTS_MS:
        folder = tmp_path / str(moment_ms)
        folder.mkdir()
        (folder / "settings.json").write_text(settings)
        started = Start(folder, run_command(role))
        process = started.process
        NEVER_SET.wait(moment_ms / 1000)
        served = [x["message_type"] for x in started.records()][:1] == ["start"]
        unhandled = [x for x in SERIES[name] if not is_handled(process, x)]
        for number in SERIES[name]:
            process.send_signal(number)
        if name == "reload" and not unhandled:
            started.record("start")
        if signal.SIGTERM not in SERIES[name]:
            NEVER_SET.wait(0.1)
            process.send_signal(signal.SIGTERM)
        status = process.wait()
        print(moment_ms, status, [x.name for x in unhandled], served)
        assert started.errors.read_text() == ""
        if unhandled and status < 0:
            assert -status in unhandled
            continue
        events = [record["message_type"] for record in started.records()]
        assert (status, events[-1]) == (0, "stopped")
        if served:
            assert "stop" in events
