"""Tests of changes of the settings file, on a clock that tests advance."""

import json
import os

import pytest

from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.settings_watch import (
    CHECK_INTERVAL_S,
    RETRY_INTERVAL_S,
    SettingsWatch,
)
from notchhoist.daemon.tests.start_harness import make_settings
from notchhoist.platform.settings import file_version


class Watched:
    """A watch on a file, with what it applied and logged."""

    def __init__(self, path):
        self.path = path
        self.now = 0.0
        self.applied = []
        self.lines = []
        self.loop = Loop(lambda: self.now)
        journal = FlowJournal(
            "h", self.loop.clock, self.loop.clock, self.lines.append
        )
        self.write(())
        self.watch = SettingsWatch(
            str(path),
            self.loop,
            journal,
            lambda settings: self.applied.append(settings.peers),
            file_version(str(path)),
        )

    def write(self, seeds):
        document = make_settings("balancer", seeds=[f"{x}:1" for x in seeds])
        self.path.write_text(json.dumps(document))

    def write_text(self, text):
        self.path.write_text(text)

    def advance(self, seconds):
        """Advances the clock to each timer in turn, then to the end."""
        end = self.now + seconds
        while self.loop.timers and self.loop.timers[0][0] <= end:
            self.now = max(self.now, self.loop.timers[0][0])
            self.loop.run_once()
        self.now = end


@pytest.fixture
def watched(tmp_path):
    return Watched(tmp_path / "settings.json")


def test_an_unchanged_file_is_not_read_again(watched):
    watched.watch.check()
    watched.advance(3 * CHECK_INTERVAL_S)
    assert (watched.applied, watched.lines) == ([], [])


def test_a_change_before_the_first_check_is_applied_by_it(watched):
    watched.write(["10.0.0.1"])
    watched.watch.check()
    assert watched.applied == [("10.0.0.1",)]


def test_a_later_change_is_applied_within_the_interval(watched):
    watched.watch.check()
    watched.write(["10.0.0.1"])
    watched.advance(CHECK_INTERVAL_S)
    assert watched.applied == [("10.0.0.1",)]


@pytest.mark.parametrize("text", ["", "{", "[" * 50])
@pytest.mark.parametrize("by_signal", [True, False])
def test_a_file_that_is_half_written_is_read_again_soon(
    watched, by_signal, text
):
    watched.watch.check()
    watched.write_text(text)
    if by_signal:
        watched.watch.reload()
    else:
        watched.advance(CHECK_INTERVAL_S)
    assert len(watched.lines) == 1
    watched.write(["10.0.0.1"])
    watched.advance(2 * RETRY_INTERVAL_S)
    assert watched.applied == [("10.0.0.1",)]


def test_a_file_that_could_not_be_read_is_read_again_unchanged(watched):
    """Guards against a failed read that no change of the file repeats."""
    watched.write(["10.0.0.1"])
    hidden = watched.path.with_name("hidden")
    os.rename(watched.path, hidden)
    watched.watch.reload()
    os.rename(hidden, watched.path)
    watched.watch.version = file_version(str(watched.path))
    watched.advance(2 * RETRY_INTERVAL_S)
    assert watched.applied == [("10.0.0.1",)]


def test_a_file_that_stays_invalid_is_logged_once(watched):
    watched.watch.check()
    watched.write_text("{")
    watched.advance(10 * CHECK_INTERVAL_S)
    assert len(watched.lines) == 1
    watched.write_text('{"serves": []}')
    watched.advance(2 * CHECK_INTERVAL_S)
    assert len(watched.lines) == 2
    assert watched.applied == []


def test_retries_of_an_invalid_file_become_rare(watched, monkeypatch):
    watched.watch.check()
    watched.write_text("{")
    watched.watch.reload()
    reads = []
    read = SettingsWatch._read
    monkeypatch.setattr(
        SettingsWatch, "_read", lambda watch: (reads.append(1), read(watch))
    )
    watched.advance(12 * CHECK_INTERVAL_S)
    assert len(reads) < 20


def test_each_request_is_answered_by_a_record(watched):
    watched.write_text("{")
    watched.watch.reload()
    watched.watch.reload()
    assert len(watched.lines) == 2
