"""Logs: JSON lines by eliot, bounded so that a storm cannot fill them."""

from typing import IO

import anyio
import attrs
import eliot

from notchhoist.blackboards import AgentBoard, Count, Decision
from notchhoist.daemon.runtime import Runtime
from notchhoist.daemon.settings import Settings

PERIOD_S = 5.0
"""Counters are logged as one line of differences this often, seconds."""

DECISIONS_A_PERIOD = 50
"""Most decisions logged in one period; refusals go before answers."""


def open_journal(file: IO[str]) -> None:
    """Sends all logs to a file, one JSON object a line."""
    eliot.to_file(file)


def log_stop(settings: Settings) -> None:
    """Logs that a planned stop has begun."""
    eliot.log_message(message_type="stop", host=settings.name)


@attrs.define
class _Seen:
    counters: dict[Count, int] = attrs.Factory(dict)
    decided: int = 0
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
        _log_decisions(runtime, seen)
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


def _log_decisions(runtime: Runtime, seen: _Seen) -> None:
    """Logs a bounded sample of decisions, those with a reason first."""
    board = runtime.node.board
    if not isinstance(board, AgentBoard):
        return
    fresh = [item for item in board.decisions if item.number > seen.decided]
    total = board.decided - seen.decided
    seen.decided = board.decided
    sample = choose_decisions(fresh)
    for decision in sample:
        eliot.log_message(
            message_type="request",
            host=runtime.settings.name,
            **attrs.asdict(decision),
        )
    if total > len(sample):
        eliot.log_message(
            message_type="requests_not_logged",
            host=runtime.settings.name,
            count=total - len(sample),
        )


def choose_decisions(fresh: list[Decision]) -> list[Decision]:
    """Returns the decisions to log, at most ``DECISIONS_A_PERIOD``."""
    by_need = sorted(fresh, key=lambda item: (not item.reason, item.number))
    return by_need[:DECISIONS_A_PERIOD]
