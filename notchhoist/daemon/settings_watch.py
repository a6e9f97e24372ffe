"""Follows changes of the settings file while the process runs."""

from collections.abc import Callable

from msgspec import Struct, field

from notchhoist.base.errors import SettingsRefusedError
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.loop import Loop, Timer
from notchhoist.platform.settings import (
    FileVersion,
    HostSettings,
    file_version,
    load_host_settings,
)

CHECK_INTERVAL_S = 5.0
"""How often the settings file is checked for changes, seconds. The platform may
change it without a signal, and nothing in it is urgent."""

RETRY_INTERVAL_S = 0.2
"""Time until a file that could not be read is read again, seconds. It doubles
with each attempt, up to ``CHECK_INTERVAL_S``."""


class SettingsWatch(Struct, eq=False):
    """Reloads the settings when their file changes, or upon request.

    Attributes:
        path: Path of the file.
        loop: The event loop.
        journal: Writer of the logs.
        apply: Puts valid settings in force.
        version: Version of the file that was read last, None if unknown.
        refusal: Why the file was refused when it was read last; empty if it
            was valid.
        retry_s: Time until a refused file is read again, seconds.
        timer: Timer of the next check.
    """

    path: str
    loop: Loop
    journal: FlowJournal
    apply: Callable[[HostSettings], None]
    version: FileVersion | None = None
    refusal: str = ""
    retry_s: float = RETRY_INTERVAL_S
    timer: Timer = field(default_factory=lambda: Timer(float("inf"), None))

    def check(self) -> None:
        """Reloads the settings if their file has changed or was refused.

        A file that stays refused for the same reason is logged once.
        """
        try:
            if self.refusal or file_version(self.path) != self.version:
                former = self.refusal
                self._read()
                if self.refusal != former:
                    self._log_refusal()
        finally:
            self._schedule()

    def reload(self) -> None:
        """Reloads the settings; an invalid file keeps the old ones in force."""
        self.retry_s = RETRY_INTERVAL_S
        try:
            self._read()
            self._log_refusal()
        finally:
            self._schedule()

    def _read(self) -> None:
        """Reads the file, and applies it if it is valid."""
        # A change after this moment is found by the next check.
        self.version = file_version(self.path)
        try:
            settings = load_host_settings(self.path)
        except SettingsRefusedError as error:
            self.refusal = str(error)
            return
        self.refusal = ""
        self.apply(settings)

    def _log_refusal(self) -> None:
        if self.refusal:
            self.journal.log("reload", outcome="refused", reason=self.refusal)

    def _schedule(self) -> None:
        interval_s = CHECK_INTERVAL_S
        if self.refusal:
            interval_s = self.retry_s
            self.retry_s = min(2 * self.retry_s, CHECK_INTERVAL_S)
        else:
            self.retry_s = RETRY_INTERVAL_S
        self.timer.cancel()
        self.timer = self.loop.call_later(interval_s, self.check)
