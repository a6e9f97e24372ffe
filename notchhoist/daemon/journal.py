"""Logs: JSON lines by eliot, bounded so that a storm cannot fill them."""

from typing import IO

import anyio
import attrs
import eliot

from notchhoist.blackboards import Count
from notchhoist.daemon.runtime import Runtime
from notchhoist.daemon.settings import Settings

PERIOD_S = 5.0
"""Counters are logged as one line of differences this often, seconds."""


def open_journal(file: IO[str]) -> None:
    """Sends all logs to a file, one JSON object a line."""
    eliot.to_file(file)


def log_stop(settings: Settings) -> None:
    """Logs that a planned stop has begun."""
    eliot.log_message(message_type="stop", host=settings.name)


@attrs.define
class _Seen:
    counters: dict[Count, int] = attrs.Factory(dict)
    revision: int = 0
    refused: str = ""


async def keep_journal(runtime: Runtime) -> None:
    """Logs, at a bounded rate, what changed at a daemon."""
    seen = _Seen()
    eliot.log_message(
        message_type="start",
        host=runtime.settings.name,
        role=runtime.settings.role.value,
    )
    while True:
        _log_configuration(runtime, seen)
        _log_counters(runtime, seen)
        await anyio.sleep(PERIOD_S)


def _log_configuration(runtime: Runtime, seen: _Seen) -> None:
    config = runtime.node.board.config
    if config.store.revision != seen.revision:
        seen.revision = config.store.revision
        eliot.log_message(
            message_type="configuration",
            host=runtime.settings.name,
            revision=seen.revision,
        )
    refused = str(config.refused) if config.refused else ""
    if refused != seen.refused:
        seen.refused = refused
        eliot.log_message(
            message_type="configuration_refused",
            host=runtime.settings.name,
            reason=refused,
        )


def _log_counters(runtime: Runtime, seen: _Seen) -> None:
    counters = dict(runtime.node.board.counters)
    changed = {
        name.value: count - seen.counters.get(name, 0)
        for name, count in counters.items()
        if count != seen.counters.get(name, 0)
    }
    seen.counters = counters
    if changed:
        eliot.log_message(
            message_type="counters",
            host=runtime.settings.name,
            changed=changed,
        )
