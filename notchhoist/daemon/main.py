"""Entry point of ``notchhoistd``, the daemon for CoAP traffic."""

import random
import secrets
import signal
import sys
from pathlib import Path
from typing import Annotated

import anyio
import cappa
from returns.result import Success

from notchhoist import blackboards, controllers, publication
from notchhoist.daemon import journal
from notchhoist.daemon.operator import serve_operator
from notchhoist.daemon.peers import PeerTransport
from notchhoist.daemon.runtime import Runtime
from notchhoist.daemon.settings import Role, Settings, load_settings
from notchhoist.daemon.sockets import open_udp

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_BIND = 3
START_JITTER_S = 0.2
"""Daemons start up to this much apart, by a delay drawn from their name."""


@cappa.command(
    name="notchhoistd", description="The notchhoist daemon, in either role."
)
class Command:
    """The daemon's command line.

    Attributes:
        settings: Settings file, JSON with comments.
        check: Check the settings, print what is wrong, and exit.
    """

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Only check the settings.")
    ] = False

    def __init__(self, settings: Path, check: bool = False) -> None:
        self.settings = settings
        self.check = check


def make_node(settings: Settings, now: float) -> controllers.Node:
    """Creates the node that makes the decisions of a daemon's role.

    Args:
        settings: The daemon's settings.
        now: Time by the runtime's clock, seconds.

    Returns:
        The node of a balancer or an agent.
    """
    seed = settings.seed or secrets.randbits(60)
    if settings.role is Role.BALANCER:
        return controllers.make_balancer(
            blackboards.BalancerIdentity(
                settings.name, settings.zone, settings.peer
            ),
            now,
            seed,
            settings.peers,
        )
    return controllers.make_agent(
        blackboards.AgentIdentity(
            service=settings.service,
            server=settings.name,
            zone=settings.zone,
            peer=settings.peer,
            incarnation=secrets.randbits(40),
            idle_s=settings.idle_s,
        ),
        now,
        seed,
        settings.peers,
    )


async def run(settings: Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT stops it.

    Args:
        settings: The daemon's settings.
    """
    await anyio.sleep(random.Random(settings.name).uniform(0, START_JITTER_S))
    port = open_udp(settings.peer)
    async with (
        publication.open_http_platform(settings.platform) as source,
        anyio.create_task_group() as tasks,
    ):
        node = make_node(settings, anyio.current_time())
        runtime = Runtime(settings, node, source, tasks)
        runtime.peers = PeerTransport(
            settings.peer,
            port,
            tasks,
            runtime.on_message,
            runtime.on_malformed,
        )
        tasks.start_soon(port.run, runtime.peers.on_datagram)
        tasks.start_soon(runtime.peers.serve_tcp)
        tasks.start_soon(serve_operator, runtime, settings.operator)
        tasks.start_soon(runtime.tick_forever)
        tasks.start_soon(runtime.restore_periodically)
        tasks.start_soon(journal.run_journal, runtime)
        tasks.start_soon(_stop_on_signals, runtime)


async def _stop_on_signals(runtime: Runtime) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            journal.log_stop(runtime.settings)
            await runtime.stop()
            return


def _execute(command: Command) -> int:
    result = load_settings(command.settings)
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if command.check:
        print(f"{command.settings}: ok")
        return 0
    journal.open_journal(sys.stdout)
    settings = result.unwrap()
    try:
        anyio.run(run, settings)
    except OSError as error:
        print(f"{settings.name}: {error}", file=sys.stderr)
        return EXIT_CANNOT_BIND
    return 0


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(_execute(cappa.parse(Command)))


if __name__ == "__main__":
    main()
