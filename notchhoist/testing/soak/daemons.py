"""The daemons of a run: their settings files and their processes."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs

from notchhoist.platform.settings import PATH_VARIABLE
from notchhoist.testing.soak import addresses

RESTART_S = 0.2
"""Pause before a process that has ended is started again, seconds."""

GRACE_S = 6.0
"""From SIGTERM to SIGKILL, seconds, as on the platform."""

INTERPRETER_S = 0.5
"""On a busy machine a process may need this long to reach its first line
of ours, seconds; until then a request to reload ends it, as any program."""

COMMAND = (sys.executable, "-m", "notchhoist.daemon")


@attrs.define(eq=False)
class Daemon:
    """One daemon's place on a host, and the process that runs there now.

    Attributes:
        name: Name of the host.
        zone: Name of its availability zone.
        own: IP number that it binds.
        known: IP number under which the others know it.
        service: Service of the backend server beside it; empty on balancers.
        folder: Where its settings and logs go.
        process: The process, or None while it is down.
        down_until: Not started before this, seconds.
        killed_at: When a stopping process is killed, seconds.
        ending: Its end was brought about by the run.
        starts: How many processes ran here.
        started_at: When the process started, seconds.
        reload_at: When it was last asked to reload, seconds.
    """

    name: str
    zone: str
    own: str
    known: str
    service: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    down_until: float = float("-inf")
    killed_at: float = float("inf")
    ending: bool = False
    starts: int = 0
    started_at: float = float("-inf")
    reload_at: float = float("-inf")

    @property
    def settings_path(self) -> Path:
        """Its settings file."""
        return self.folder / f"{self.name}.settings.json"

    @property
    def log_path(self) -> Path:
        """Its logs; every process of this place appends to them."""
        return self.folder / f"{self.name}.log"

    def write_settings(self, seeds: list[str]) -> None:
        """Writes its settings file in the platform's form."""
        listen = {
            "datagram_addr": f"{self.own}:{addresses.PACKETS_PORT}",
            "ready": f"{self.own}:{addresses.READY_PORT}",
        }
        settings: dict[str, object] = {
            "node": self.name,
            "serves": ["side"] if self.service else ["front", "control"],
            "ip": self.known,
            "bind_ip": self.own,
            "zone": self.zone,
            "listen": listen,
            "internal_ports": list(addresses.PEER_PORTS),
            "seeds": [f"{seed}:1" for seed in seeds],
            "bounds": {"drain_ms": 3000, "config_apply_ms": 3000, "grace_s": 6},
            "limits": {"link_mbps": 1000.0},
            "platform": {"address": f"{self.known}:{addresses.STORE_PORT}"},
        }
        if self.service:
            listen["outbound"] = f"{self.own}:{addresses.OUTBOUND_PORT}"
            settings["app"] = f"{self.own}:{addresses.SERVER_PORT}"
            settings["service"] = self.service
        self.settings_path.write_text(json.dumps(settings))

    def start(self, now: float) -> None:
        """Starts a process."""
        self.started_at = now
        variables = {**os.environ, PATH_VARIABLE: str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, env=variables, stdout=log, stderr=log
            )
        self.ending = False
        self.killed_at = float("inf")
        self.starts += 1

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self, now: float, down_s: float = RESTART_S) -> None:
        """Kills the process; it is started again later."""
        self.ending = True
        self.down_until = max(self.down_until, now + down_s)
        self._signal(signal.SIGKILL)

    def stop(self, now: float) -> None:
        """Asks the process to stop; it is started again."""
        self.ending = True
        self.killed_at = min(self.killed_at, now + GRACE_S)
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Lets the process stand still."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        self._signal(signal.SIGCONT)

    def reload(self, now: float) -> None:
        """Asks the process to read its settings anew."""
        self.reload_at = now
        self._signal(signal.SIGHUP)

    def tend(self, now: float) -> int | None:
        """Restarts what has ended and kills what does not stop.

        Returns:
            The status of a process that ended although nobody made it, or None.
        """
        if self.process is None:
            if now >= self.down_until:
                self.start(now)
            return None
        if now >= self.killed_at:
            self._signal(signal.SIGKILL)
        status = self.process.poll()
        if status is None:
            return None
        unasked = not self.ending and not self._ended_by_reload(status)
        self.process = None
        self.down_until = max(self.down_until, now + RESTART_S)
        return status if unasked else None

    def _ended_by_reload(self, status: int) -> bool:
        early = self.reload_at - self.started_at < INTERPRETER_S
        return status == -signal.SIGHUP and early

    def end(self) -> None:
        """Ends the process for good."""
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
            return 0.0  # It has just ended; the next look finds another one.
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
