"""Entry point of ``notchhoistd``, which loads only the modules that it needs.

A reload signal (SIGHUP) that arrives before its handler is installed would end
the process, so it is ignored from the first line on; the settings are read
later anyway. The garbage collector is off until the process serves: there is no
garbage yet, and the collector takes a tenth of the time of a start.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402

gc.disable()

import sys  # noqa: E402
import time  # noqa: E402

STARTED_AT = time.monotonic()
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_BIND = 3


def _run_on_platform(check: bool) -> int:
    from notchhoist.daemon.lean_imports import load_msgspec

    load_msgspec()
    from notchhoist.base.errors import AddressError, SettingsRefusedError
    from notchhoist.platform.settings import (
        PATH_VARIABLE,
        load_host_settings,
        settings_path,
    )

    path = settings_path()
    if path is None:
        print(f"{PATH_VARIABLE} names no settings file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load_host_settings(path)
    except SettingsRefusedError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        for problem in settings.problems:
            print(f"{path}: {problem}", file=sys.stderr)
        print(
            f"{path}: {'defaults for the rest' if settings.problems else 'ok'}"
        )
        return EXIT_BAD_SETTINGS if settings.problems else 0
    from notchhoist.daemon.flow_runner import run_host

    try:
        run_host(settings, time.monotonic, time.time, STARTED_AT)
    except AddressError as error:
        print(f"{settings.name}: {error}", file=sys.stderr)
        return EXIT_CANNOT_BIND
    return 0


def main() -> None:
    """Runs the daemon with the platform's settings, or with our own."""
    if sys.argv[1:] in ([], ["--check"]):
        sys.exit(_run_on_platform(check=len(sys.argv) > 1))
    gc.enable()
    from notchhoist.daemon.main import main as run_with_own_settings

    run_with_own_settings()


if __name__ == "__main__":
    main()
