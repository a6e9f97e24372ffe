"""Tests of the settings: all problems are reported, with their fields."""

import pytest

from notchhoist.daemon.settings import load_settings, parse_settings

VALID_SETTINGS = b"""
// an agent
{
  role: "agent", name: "hallbook-1", zone: "castlecliff",
  peer: "127.0.0.1:7000", operator: "127.0.0.1:7001",
  operator_key: "a long key", platform: "http://127.0.0.1:8400",
  service: "hallbook", backend: "127.0.0.1:5683", /* seconds */ idle_s: 30
}
"""


def places(text):
    return [problem.place for problem in parse_settings(text).failure()]


def test_valid_settings_with_comments():
    settings = parse_settings(VALID_SETTINGS).unwrap()
    assert settings.idle_s == 30.0
    assert settings.backend.port == 5683


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ((b'"agent"', b'"king"'), "role"),
        ((b"idle_s: 30", b"idle_s: -1"), "idle_s"),
        ((b"idle_s: 30", b"idle_s: true"), "idle_s"),
        ((b"127.0.0.1:7000", b"127.0.0.1:70000"), "peer"),
        ((b"127.0.0.1:7001", b"localhost:7001"), "operator"),
        ((b'"a long key"', b'"short"'), "operator_key"),
        ((b'service: "hallbook", ', b""), "service"),
        ((b"idle_s: 30", b"idle: 30"), "document"),
    ],
)
def test_invalid_field_is_named(change, place):
    assert place in places(VALID_SETTINGS.replace(*change))


def test_all_problems_are_reported_together():
    text = VALID_SETTINGS.replace(b'"agent"', b'"king"').replace(
        b": 30", b': "x"'
    )
    assert set(places(text)) == {"role", "idle_s"}


def test_invalid_json_and_missing_file(tmp_path):
    assert places(b"{") == ["text"]
    assert places(b"\xff") == ["byte 0"]
    refused = load_settings(tmp_path / "nowhere.json").failure()
    assert "readable file" in str(refused)
