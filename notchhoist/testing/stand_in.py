"""Entry point of the stand-ins: platform, fabric, backend server, callers.

Run as ``python -m notchhoist.testing.stand_in SETTINGS``. The settings file is
JSON with comments and holds the settings of one role under the role's key
(``StandInSettings``).
"""

import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import anyio
import attrs
import orjson
from returns.result import Success

from notchhoist import documents, model
from notchhoist.daemon.sockets import UdpPort, open_udp
from notchhoist.testing.backend import BackendModel, BackendProfile, Reply
from notchhoist.testing.caller import CallerModel, Task, make_caller
from notchhoist.testing.fabric import Fabric
from notchhoist.testing.history import History
from notchhoist.testing.platform_service import PlatformState, serve_platform

POLL_S = 0.005
EXIT_BAD_SETTINGS = 2


@attrs.frozen
class PlatformSettings:
    """Settings of the platform.

    Attributes:
        at: Endpoint that it listens on.
        document: File with the configuration that is published at the start.
    """

    at: model.Endpoint
    document: str


@attrs.frozen
class FabricEntry:
    """One service of the fabric.

    Attributes:
        entry: Endpoint that callers send to.
        targets: Endpoint of the service at each balancer.
    """

    entry: model.Endpoint
    targets: tuple[model.Endpoint, ...]


@attrs.frozen
class FabricSettings:
    """Settings of the fabric."""

    entries: tuple[FabricEntry, ...]
    seed: int = 1


@attrs.frozen
class BackendSettings:
    """Settings of a backend server.

    Attributes:
        at: Endpoint that it listens on.
        profile: Behavior of the server.
        report: File that it writes its report to when it stops.
    """

    at: model.Endpoint
    profile: BackendProfile
    report: str


@attrs.frozen
class CallersSettings:
    """Settings of a group of callers.

    Attributes:
        entry: Endpoint that they send to.
        callers: Tasks of each caller.
        report: File that the history is written to when they are done.
        limit_s: Time after which unfinished callers are stopped, seconds.
        seed: Seed of their random numbers.
    """

    entry: model.Endpoint
    callers: tuple[tuple[Task, ...], ...]
    report: str
    limit_s: float = 60.0
    seed: int = 1


@attrs.frozen
class StandInSettings:
    """Settings of a stand-in; exactly one role is set."""

    platform: PlatformSettings | None = None
    fabric: FabricSettings | None = None
    backend: BackendSettings | None = None
    callers: CallersSettings | None = None


@attrs.frozen
class BackendReport:
    """Report that a backend server writes when it stops.

    Attributes:
        name: Name of the server.
        slots: Number of its slots.
        busy_s: Time that its slots were taken, summed over slots, seconds.
        peak: Most slots taken at the same time.
        history: Requests that it started.
    """

    name: str
    slots: int
    busy_s: float
    peak: int
    history: History


async def run_platform(settings: PlatformSettings) -> None:
    """Runs the platform."""
    state = PlatformState()
    document = await anyio.Path(settings.document).read_bytes()
    if not state.publish(document):
        raise model.PlatformError("publish", settings.document)
    await serve_platform(state, settings.at)


async def run_fabric(settings: FabricSettings) -> None:
    """Runs the fabric."""
    async with anyio.create_task_group() as tasks:
        for number, item in enumerate(settings.entries):
            rng = random.Random(settings.seed + number)
            entry = open_udp(item.entry)
            fabric = Fabric(entry, item.targets, rng, tasks)
            tasks.start_soon(fabric.run)


def _send_all(port: UdpPort, replies: list[Reply]) -> None:
    for reply in replies:
        port.send(reply.datagram, reply.to)


async def run_backend(settings: BackendSettings) -> None:
    """Runs a backend server until a signal stops it."""
    port = open_udp(settings.at)
    history = History()
    backend = BackendModel(settings.profile, anyio.current_time(), history)
    busy = 0.0

    def on_datagram(data: bytes, sender: model.Endpoint) -> None:
        now = anyio.current_time()
        _send_all(port, backend.receive(data, sender, now))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(port.run, on_datagram)
        tasks.start_soon(_cancel_on_signal, tasks.cancel_scope.cancel)
        last = anyio.current_time()
        while True:
            try:
                await anyio.sleep(POLL_S)
            finally:
                now = anyio.current_time()
                busy += len(backend.in_progress) * (now - last)
                last = now
                report = BackendReport(
                    settings.profile.name,
                    settings.profile.slots,
                    busy,
                    backend.peak,
                    history,
                )
                _write_if_cancelled(tasks, settings.report, report)
            _send_all(port, backend.tick(now))


def _write_if_cancelled(
    tasks: anyio.abc.TaskGroup, path: str, report: BackendReport
) -> None:
    if tasks.cancel_scope.cancel_called:
        write_report(path, report)


async def _cancel_on_signal(cancel: Callable[[], None]) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            cancel()


def write_report(path: str, report: object) -> None:
    """Writes a report as JSON."""
    plain = documents.unstructure(report)
    Path(path).write_bytes(orjson.dumps(plain))


async def run_callers(settings: CallersSettings) -> None:
    """Runs a group of callers until all are done or time is up."""
    history = History()
    rng = random.Random(settings.seed)
    callers = [
        make_caller(tasks, history, rng.getrandbits(30))
        for tasks in settings.callers
    ]
    with anyio.move_on_after(settings.limit_s):
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(_run_caller, caller, settings.entry)
    for caller in callers:
        if not caller.is_done():
            history.broken["caller_unfinished"] += 1
    write_report(settings.report, history)


async def _run_caller(caller: CallerModel, entry: model.Endpoint) -> None:
    port = open_udp(model.Endpoint(entry.host, 0), entry)

    def on_datagram(data: bytes, _: model.Endpoint) -> None:
        for reply in caller.receive(data, anyio.current_time()):
            port.send(reply)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(port.run, on_datagram)
        while not caller.is_done():
            for datagram in caller.tick(anyio.current_time()):
                port.send(datagram)
            await anyio.sleep(POLL_S)
        port.close()
        tasks.cancel_scope.cancel()


async def run(settings: StandInSettings) -> None:
    """Runs the stand-in whose role is set."""
    if settings.platform:
        await run_platform(settings.platform)
    if settings.fabric:
        await run_fabric(settings.fabric)
    if settings.backend:
        await run_backend(settings.backend)
    if settings.callers:
        await run_callers(settings.callers)


def main() -> int:
    """Entry point; returns the exit status."""
    text = Path(sys.argv[1]).read_bytes()
    result = documents.read_json(text).bind(
        lambda value: documents.structure(value, StandInSettings)
    )
    if not isinstance(result, Success):
        for problem in result.failure():
            print(problem, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        anyio.run(run, result.unwrap())
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
