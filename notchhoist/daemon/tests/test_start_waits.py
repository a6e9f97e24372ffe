"""Tests of the waits of a start, on a clock that tests advance."""

import json

import pytest

from notchhoist.base.errors import AddressError, SettingsRefusedError
from notchhoist.daemon.start_waits import (
    RETRY_INTERVAL_S,
    SETTINGS_WAIT_S,
    await_addresses,
    await_settings,
)
from notchhoist.daemon.tests.start_harness import make_settings
from notchhoist.platform.settings import file_version


class Pause:
    """A clock that a wait advances, with something to do on the way."""

    def __init__(self, action_at=float("inf"), action=None):
        self.now = 100.0
        self.action_at = self.now + action_at
        self.action = action

    def clock(self):
        return self.now

    def sleep(self, seconds):
        assert seconds > 0
        self.now += seconds
        if self.now >= self.action_at:
            self.action()
            self.action_at = float("inf")


def test_settings_are_read_as_soon_as_they_are_written(tmp_path):
    path = tmp_path / "settings.json"
    text = json.dumps(make_settings("agent"))
    pause = Pause(SETTINGS_WAIT_S / 2, lambda: path.write_text(text))
    settings, version = await_settings(str(path), pause.clock, pause.sleep)
    assert settings.name == "agent-1"
    assert version == file_version(str(path))
    assert pause.now <= 100.0 + SETTINGS_WAIT_S / 2 + RETRY_INTERVAL_S


def test_settings_that_stay_invalid_are_refused_in_bounded_time(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    pause = Pause()
    with pytest.raises(SettingsRefusedError):
        await_settings(str(path), pause.clock, pause.sleep)
    assert pause.now <= 100.0 + SETTINGS_WAIT_S + 2 * RETRY_INTERVAL_S


def opener(errors):
    """Returns a function that raises errors in turn, then opens."""

    def open_all():
        if errors:
            raise errors.pop(0)
        return "open"

    return open_all


def test_addresses_are_opened_as_soon_as_they_are_free():
    pause = Pause()
    errors = [AddressError("udp a:1", "in use", True)] * 5
    opened = await_addresses(opener(errors), 7.0, pause.clock, pause.sleep)
    assert (opened, errors) == ("open", [])
    assert pause.now <= 100.0 + 6.5 * RETRY_INTERVAL_S


def test_addresses_that_stay_in_use_are_refused_in_bounded_time():
    pause = Pause()
    errors = [AddressError("udp a:1", "in use", True)] * 1000
    with pytest.raises(AddressError):
        await_addresses(opener(errors), 7.0, pause.clock, pause.sleep)
    assert 107.0 <= pause.now <= 107.0 + 2 * RETRY_INTERVAL_S


def test_an_address_that_cannot_become_free_ends_the_wait():
    pause = Pause()
    errors = [
        AddressError("udp a:1", "in use", True),
        AddressError("udp a:2", "not permitted", False),
    ]
    with pytest.raises(AddressError, match="not permitted"):
        await_addresses(opener(errors), 7.0, pause.clock, pause.sleep)
    assert pause.now < 101.0
