"""Starts daemons as the platform does, with addresses of their own."""

import json
import os
import shlex
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

import msgspec

ROOT = Path(__file__).parents[3]
PACKAGES = Path(msgspec.__file__).parents[1]
IP, METRICS_PORT = "127.11.0.1", 9464
STORE = "127.11.0.2:1"
PORTS = {
    "datagram_addr": 28272,
    "ready": 28267,
    "outbound": 28262,
    "peers": 27820,
    "control": 27821,
}
ROLES = ("balancer", "agent")
WAIT_S = 20.0
POLL_S = 0.02
NEVER_SET = threading.Event()


def make_settings(role, **changes):
    """Returns a settings document; its processes stop within 0.1 s."""
    listen = {
        name: f"{IP}:{PORTS[name]}" for name in ("datagram_addr", "ready")
    }
    document = {
        "node": f"{role}-1",
        "serves": ["front" if role == "balancer" else "side"],
        "ip": IP,
        "zone": "a",
        "listen": listen,
        "internal_ports": [PORTS["peers"], PORTS["peers"] + 15],
        "seeds": [],
        "bounds": {"grace_s": 0.1},
        "limits": {"link_mbps": 1000.0},
        "platform": {"address": STORE},
    }
    if role == "agent":
        listen["outbound"] = f"{IP}:{PORTS['outbound']}"
        document.update(app=f"{IP}:28265", service="hallbook")
    return {**document, **changes}


def wait_for(check):
    """Waits until a check returns a true value; fails after ``WAIT_S``."""
    for _ in range(int(WAIT_S / POLL_S)):
        if value := check():
            return value
        NEVER_SET.wait(POLL_S)
    raise AssertionError(f"{check} stayed false")


def run_command(role):
    """Returns the command of a role in ``deploy/system.toml``."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    program, *arguments = shlex.split(deploy["roles"][role]["run"])
    assert program == "python3"
    return [sys.executable, *arguments]


class Start:
    """A started process with its files.

    Attributes:
        path: Path of its settings file.
        log: Path of its standard output.
        errors: Path of its standard error.
        process: The process.
    """

    def __init__(self, folder, command, packages=PACKAGES, **variables):
        self.path = folder / "settings.json"
        self.log = folder / "log"
        self.errors = folder / "errors"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LANG": "C",
            "PYTHONPATH": str(packages),
            "NOTCHHOIST_NODE_FILE": str(self.path),
            **variables,
        }
        with self.log.open("wb") as log, self.errors.open("wb") as errors:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=errors
            )

    def records(self):
        """Returns the log records that are written in full."""
        lines = self.log.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines]

    def record(self, event):
        """Waits for the first record of an event."""
        return wait_for(
            lambda: next(
                (
                    item
                    for item in self.records()
                    if item["message_type"] == event
                ),
                None,
            )
        )

    def last_record(self):
        """Waits for the end; returns the status and the last record."""
        status = self.process.wait(WAIT_S)
        assert self.errors.read_text() == ""
        return status, self.records()[-1]


def hold(name):
    """Binds an address of the process, as a former process does."""
    kind = socket.SOCK_DGRAM
    if name in ("ready", "metrics"):
        kind = socket.SOCK_STREAM
    sock = socket.socket(socket.AF_INET, kind)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if kind == socket.SOCK_DGRAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    sock.bind((IP, PORTS.get(name, METRICS_PORT)))
    if kind == socket.SOCK_STREAM:
        sock.listen()
    return sock
