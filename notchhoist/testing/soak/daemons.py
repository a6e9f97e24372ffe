"""Settings files and processes of the daemons of a run."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import msgspec

import notchhoist
from notchhoist.platform.settings import PATH_VARIABLE
from notchhoist.testing.soak import addresses

RESTART_DELAY_S = 0.2
"""Pause before an exited process is restarted, seconds."""

KILL_DELAY_S = 6.0
"""Time from SIGTERM to SIGKILL, seconds, as on the platform."""

COMMAND = (sys.executable, "-m", "notchhoist.daemon")

ROOT = Path(notchhoist.__file__).parent.parent
PLATFORM_COMMAND = (sys.executable, "-S", str(ROOT / "notchhoistd.py"))
"""Starts a daemon as the platform does; packages are on ``PYTHONPATH``."""

Signals = list[tuple[float, signal.Signals]]
"""Signals with the time after the start at which each is sent, seconds."""


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Tells whether a process handles or ignores a signal."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16)
        for line in lines
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)


@attrs.define(eq=False)
class Daemon:
    """A daemon's configuration and its current process.

    Attributes:
        name: Name of the host.
        zone: Name of its availability zone.
        bound_ip: IP address that it binds.
        advertised_ip: IP address that it advertises to the others.
        service: Service of the backend server beside it; empty on balancers.
        folder: Folder of its settings file and log.
        process: The process, or None while it is down.
        down_until: Earliest time of the next start, seconds.
        kill_at: When a stopping process gets SIGKILL, seconds.
        command: Command line of its processes.
        settings_text: Complete contents of its settings file.
        signals_at_starts: Signals that its next processes get, one list each.
        killed: Whether it was ended without a plan and has not been started
            again.
        was_paused: Whether the process was suspended since its start.
        exit_statuses: Statuses with which the process may exit: 0 after a
            request to stop, and those of signals that it did not handle yet.
        starts: Number of processes started so far.
        started_at: When the process started, seconds.
    """

    name: str
    zone: str
    bound_ip: str
    advertised_ip: str
    service: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    down_until: float = float("-inf")
    kill_at: float = float("inf")
    command: tuple[str, ...] = COMMAND
    settings_text: str = ""
    signals_at_starts: list[Signals] = attrs.Factory(list)
    killed: bool = False
    was_paused: bool = False
    exit_statuses: set[int] = attrs.Factory(set)
    starts: int = 0
    started_at: float = float("-inf")

    @property
    def settings_path(self) -> Path:
        """Path of its settings file."""
        return self.folder / f"{self.name}.settings.json"

    @property
    def log_path(self) -> Path:
        """Path of its log, to which each of its processes appends."""
        return self.folder / f"{self.name}.log"

    def make_settings(self, seeds: list[str]) -> None:
        """Makes its settings in the platform's format."""
        listen = {
            "datagram_addr": f"{self.bound_ip}:{addresses.PACKETS_PORT}",
            "ready": f"{self.bound_ip}:{addresses.READY_PORT}",
        }
        settings: dict[str, object] = {
            "node": self.name,
            "serves": ["side"] if self.service else ["front", "control"],
            "ip": self.advertised_ip,
            "bind_ip": self.bound_ip,
            "zone": self.zone,
            "listen": listen,
            "internal_ports": list(addresses.PEER_PORTS),
            "seeds": [f"{seed}:1" for seed in seeds],
            "bounds": {"drain_ms": 3000, "config_apply_ms": 3000, "grace_s": 6},
            "limits": {"link_mbps": 1000.0},
            "platform": {
                "address": f"{self.advertised_ip}:{addresses.STORE_PORT}"
            },
        }
        if self.service:
            listen["outbound"] = f"{self.bound_ip}:{addresses.OUTBOUND_PORT}"
            settings["app"] = f"{self.bound_ip}:{addresses.SERVER_PORT}"
            settings["service"] = self.service
        self.settings_text = json.dumps(settings)

    def write_settings(self) -> None:
        """Writes its settings file."""
        self.settings_path.write_text(self.settings_text)

    def start(self, now: float) -> None:
        """Starts a process."""
        self.started_at = now
        variables = {**os.environ, PATH_VARIABLE: str(self.settings_path)}
        if self.command == PLATFORM_COMMAND:
            packages = Path(msgspec.__file__).parent.parent
            variables["PYTHONPATH"] = str(packages)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, env=variables, stdout=log, stderr=log
            )
        self.killed = self.was_paused = False
        self.exit_statuses = set()
        self.kill_at = float("inf")
        self.starts += 1

    def _signal(self, number: signal.Signals) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        if not handles_signal(self.process.pid, number):
            self.exit_statuses.add(-number)
        self.process.send_signal(number)

    def kill(self, now: float, down_s: float = RESTART_DELAY_S) -> None:
        """Sends SIGKILL; the process is restarted after a pause."""
        self.killed = True
        self.down_until = max(self.down_until, now + down_s)
        self._signal(signal.SIGKILL)

    def stop(self, now: float) -> None:
        """Sends SIGTERM; the process is restarted after it exits."""
        self.exit_statuses.add(0)
        self.kill_at = min(self.kill_at, now + KILL_DELAY_S)
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.was_paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Sends SIGHUP, upon which the process reloads its settings."""
        self._signal(signal.SIGHUP)

    def send(self, number: signal.Signals, now: float) -> None:
        """Reloads, stops or kills the process, without a plan."""
        self.killed |= number == signal.SIGTERM
        match number:
            case signal.SIGHUP:
                self.reload()
            case signal.SIGTERM:
                self.stop(now)
            case _:
                self.kill(now)

    def supervise(self, now: float) -> int | None:
        """Restarts an exited process and kills one that does not stop.

        Returns:
            The status of a process that exited unexpectedly, or None; -9 if it
            did not stop in time and was not suspended either.
        """
        if self.process is None:
            if now >= self.down_until:
                self.start(now)
            return None
        if now >= self.kill_at and self.process.poll() is None:
            if self.was_paused:
                self.exit_statuses.add(-signal.SIGKILL)
            self.process.kill()
        status = self.process.poll()
        if status is None:
            return None
        self.process = None
        self.killed |= status != 0
        self.down_until = max(self.down_until, now + RESTART_DELAY_S)
        return None if status in self.exit_statuses else status

    def shut_down(self) -> None:
        """Kills the process and does not restart it."""
        if self.process is None:
            return
        self.resume()
        self.process.kill()
        self.process.wait()
        self.process = None

    def memory_mb(self) -> float:
        """Returns the resident memory of the process, 0 while it is down."""
        if self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0  # The process has just exited; it will be restarted.
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
