"""Entry point of ``notchhoistd``, which loads only the modules that it needs.

A reload signal (SIGHUP) that arrives before its handler is installed would end
the process, so it is ignored from the first line on; the settings are read
later anyway. A request to stop ends a process at once that does not serve yet.
The garbage collector is off until the process serves: there is no garbage yet,
and the collector takes a tenth of the time of a start.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402

gc.disable()

import os  # noqa: E402
import stat  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

TYPE_CHECKING = False
if TYPE_CHECKING:
    from notchhoist.platform.settings import FileVersion, HostSettings

STARTED_AT = time.monotonic()
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def _prepare_standard_files() -> None:
    """Opens the null device for closed standard files; outputs do not block.

    Sockets would get the numbers of closed files, and log lines with them. A
    log that nobody reads would stop the process.
    """
    for number in range(3):
        try:
            mode = os.fstat(number).st_mode
        except OSError:
            os.open(os.devnull, os.O_RDWR)
            continue
        if number and (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
            os.set_blocking(number, False)


def _write_short_record(event: str, status: int, **texts: str) -> None:
    """Writes a log record without loading any module.

    Args:
        event: Type of the record.
        status: Exit status of the process.
        **texts: Further fields, which need no escapes.
    """
    fields = "".join(f', "{key}": "{text}"' for key, text in texts.items())
    record = (
        f'{{"timestamp": {time.time():.3f}, "clock": {time.monotonic():.4f}, '
        f'"message_type": "{event}", "host": "", "status": {status}{fields}}}\n'
    )
    try:
        os.write(1, record.encode())
    except OSError:
        return  # Nobody reads the log.


def _stop_before_serving(host: str) -> None:
    """Makes a request to stop end the process at once, with a log record.

    Args:
        host: Name of this host; empty if it is not known yet.
    """

    def on_signal(number: int, frame: object) -> None:
        # An exception could be lost in a callback of the interpreter, and a
        # module whose loading was interrupted cannot be used.
        name = "SIGTERM" if number == _signal.SIGTERM else "SIGINT"
        try:
            from notchhoist.daemon.exits import log_record

            log_record(host, "stopped", signal=name, status=0)
        except Exception:
            _write_short_record("stopped", 0, signal=name)
        finally:
            os._exit(0)

    for number in (_signal.SIGTERM, _signal.SIGINT):
        _signal.signal(number, on_signal)


def _load_settings(path: str) -> "tuple[HostSettings, FileVersion | None]":
    """Reads the settings; waits for a moment if the file is invalid.

    Args:
        path: Path of the settings file.

    Returns:
        The settings, and the version of their file.

    Raises:
        SettingsRefusedError: The file has stayed invalid.
    """
    from notchhoist.base.errors import SettingsRefusedError
    from notchhoist.platform.settings import file_version, load_host_settings

    version = file_version(path)
    try:
        return load_host_settings(path), version
    except SettingsRefusedError as error:
        from notchhoist.daemon.exits import log_record
        from notchhoist.daemon.start_waits import await_settings

        log_record("", "start waits", outcome="for settings", reason=str(error))
        return await_settings(path, time.monotonic, time.sleep)


def _log_ignored_error(unraisable: "sys.UnraisableHookArgs") -> None:
    """Logs an error in a callback of the interpreter, which ignores it."""
    from notchhoist.daemon.exits import log_record

    log_record("", "error ignored", reason=repr(unraisable.exc_value)[:2000])


def _run_on_platform() -> int:
    """Runs the daemon with the platform's settings; returns its exit status."""
    host = ""
    try:
        _prepare_standard_files()
        _stop_before_serving(host)
        sys.unraisablehook = _log_ignored_error
        from notchhoist.daemon.lean_imports import load_msgspec

        load_msgspec()
        from notchhoist.platform.settings import required_settings_path

        path = required_settings_path()
        settings, version = _load_settings(path)
        host = settings.name
        _stop_before_serving(host)
        from notchhoist.daemon.flow_runner import run_host

        run_host(settings, path, version, time.monotonic, time.time, STARTED_AT)
    except BaseException as error:
        return _log_failure(host, error)
    return 0


def _log_failure(host: str, error: BaseException) -> int:
    """Logs the error that ends the process; returns the exit status."""
    try:
        from notchhoist.daemon.exits import log_failure

        return log_failure(host, error)
    except Exception:
        # Neither files nor memory may be left for more than this.
        _write_short_record(
            "exit",
            EXIT_FAILED,
            outcome="uncaught error",
            restart_helps="unknown",
            reason=type(error).__name__,
        )
        return EXIT_FAILED


def _check_settings() -> int:
    """Prints what is wrong with the settings file; returns the exit status."""
    from notchhoist.base.errors import SettingsRefusedError
    from notchhoist.platform.settings import (
        load_host_settings,
        required_settings_path,
    )

    try:
        path = required_settings_path()
        settings = load_host_settings(path)
    except SettingsRefusedError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    for problem in settings.problems:
        print(f"{path}: {problem}", file=sys.stderr)
    print(f"{path}: {'defaults for the rest' if settings.problems else 'ok'}")
    return EXIT_BAD_SETTINGS if settings.problems else 0


def main() -> None:
    """Runs the daemon with the platform's settings, or with our own."""
    if not sys.argv[1:]:
        sys.exit(_run_on_platform())
    gc.enable()
    if sys.argv[1:] == ["--check"]:
        sys.exit(_check_settings())
    from notchhoist.daemon.main import main as run_with_own_settings

    run_with_own_settings()


if __name__ == "__main__":
    main()
