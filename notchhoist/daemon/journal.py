"""Logs: JSON lines by eliot, bounded so that bursts cannot flood them."""

from typing import IO

import anyio
import attrs
import eliot

from notchhoist.blackboards import AgentBoard, Count, Decision
from notchhoist.daemon.runtime import Runtime
from notchhoist.daemon.settings import Settings

LOG_PERIOD_S = 5.0
"""Time between two log lines with the changes of the counters, seconds."""

MAX_DECISIONS_PER_PERIOD = 50
"""Most decisions logged in one period; refusals precede answers."""


def open_journal(file: IO[str]) -> None:
    """Writes all logs to a file, one JSON object per line."""
    eliot.to_file(file)


def log_stop(settings: Settings) -> None:
    """Logs that a planned stop has begun."""
    eliot.log_message(message_type="stop", host=settings.name)


@attrs.define
class _LoggedState:
    counters: dict[Count, int] = attrs.Factory(dict)
    decided: int = 0
    revision: int = 0
    refused: str = ""


async def run_journal(runtime: Runtime) -> None:
    """Logs decisions and changes of configuration and counters periodically."""
    logged = _LoggedState()
    eliot.log_message(
        message_type="start",
        host=runtime.settings.name,
        role=runtime.settings.role.value,
    )
    while True:
        _log_configuration(runtime, logged)
        _log_counters(runtime, logged)
        _log_decisions(runtime, logged)
        await anyio.sleep(LOG_PERIOD_S)


def _log_configuration(runtime: Runtime, logged: _LoggedState) -> None:
    config = runtime.node.board.config
    if config.store.revision != logged.revision:
        logged.revision = config.store.revision
        eliot.log_message(
            message_type="configuration",
            host=runtime.settings.name,
            revision=logged.revision,
        )
    refused = str(config.refused) if config.refused else ""
    if refused != logged.refused:
        logged.refused = refused
        eliot.log_message(
            message_type="configuration_refused",
            host=runtime.settings.name,
            reason=refused,
        )


def _log_counters(runtime: Runtime, logged: _LoggedState) -> None:
    counters = dict(runtime.node.board.counters)
    changed = {
        name.value: count - logged.counters.get(name, 0)
        for name, count in counters.items()
        if count != logged.counters.get(name, 0)
    }
    logged.counters = counters
    if changed:
        eliot.log_message(
            message_type="counters",
            host=runtime.settings.name,
            changed=changed,
        )


def _log_decisions(runtime: Runtime, logged: _LoggedState) -> None:
    """Logs a bounded sample of decisions, preferring those with a reason."""
    board = runtime.node.board
    if not isinstance(board, AgentBoard):
        return
    new_decisions = [
        item for item in board.decisions if item.number > logged.decided
    ]
    total = board.decided - logged.decided
    logged.decided = board.decided
    sample = choose_decisions(new_decisions)
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


def choose_decisions(new_decisions: list[Decision]) -> list[Decision]:
    """Returns the decisions to log, at most ``MAX_DECISIONS_PER_PERIOD``.

    Decisions with a reason, such as refusals, precede the others.
    """
    prioritized = sorted(
        new_decisions, key=lambda item: (not item.reason, item.number)
    )
    return prioritized[:MAX_DECISIONS_PER_PERIOD]
