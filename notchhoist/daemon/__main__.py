"""Entry point of ``notchhoistd``: only what the chosen path needs is loaded."""

import sys
import time

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_BIND = 3


def _run_on_platform() -> int:
    from notchhoist.base.errors import SettingsRefusedError
    from notchhoist.daemon.flow_daemon import run_host
    from notchhoist.platform.settings import load_host_settings, settings_path

    path = settings_path()
    if path is None:
        return EXIT_BAD_SETTINGS
    try:
        settings = load_host_settings(path)
    except SettingsRefusedError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        run_host(settings, time.monotonic, time.time)
    except OSError as error:
        print(f"{settings.name}: {error}", file=sys.stderr)
        return EXIT_CANNOT_BIND
    return 0


def main() -> None:
    """Runs the daemon for the platform's settings, or for our own."""
    if len(sys.argv) == 1:
        sys.exit(_run_on_platform())
    from notchhoist.daemon.main import main as run_with_own_settings

    run_with_own_settings()


if __name__ == "__main__":
    main()
