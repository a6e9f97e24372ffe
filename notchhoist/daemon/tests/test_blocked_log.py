"""Tests of starts whose log is a full pipe that nobody reads."""

import fcntl
import os
import select
import signal
import subprocess
from pathlib import Path

import pytest

from notchhoist.daemon.tests.start_harness import (
    NEVER_SET,
    PACKAGES,
    POLL_S,
    ROOT,
    WAIT_S,
    run_command,
    wait_for,
)

SLEEPING_CHECKS = 10


@pytest.fixture
def full_pipe():
    """Yields the end of a full pipe that blocks its writers."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, select.PIPE_BUF)
    os.set_blocking(writer, False)
    while select.select([], [writer], [], 0)[1]:
        os.write(writer, b"\n" * select.PIPE_BUF)
    os.set_blocking(writer, True)
    yield writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def process(full_pipe, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("")
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(PACKAGES),
        "NOTCHHOIST_NODE_FILE": str(path),
    }
    started = subprocess.Popen(
        run_command("balancer"),
        cwd=ROOT,
        env=environment,
        stdout=full_pipe,
        stderr=subprocess.DEVNULL,
    )
    yield started
    started.kill()
    started.wait()


def test_a_start_with_invalid_settings_ends_though_nobody_reads_its_log(
    process,
):
    assert process.wait(WAIT_S) == 2


def test_a_request_to_stop_ends_a_start_though_nobody_reads_its_log(process):
    wait_for(lambda: process.poll() is not None or sleeps(process))
    process.send_signal(signal.SIGTERM)
    process.wait(WAIT_S)


def sleeps(process):
    """Returns whether a process that handles SIGTERM sleeps for a while."""
    return all(sleeps_now(process) for _ in range(SLEEPING_CHECKS))


def sleeps_now(process):
    NEVER_SET.wait(POLL_S)
    text = Path(f"/proc/{process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines())
    handled = int(fields["SigCgt"], 16) >> (signal.SIGTERM - 1) & 1
    return handled and fields["State"].split()[0] == "S"
