"""Settings: every problem at once, with its place."""

import pytest

from notchhoist.daemon.settings import load_settings, parse_settings

GOOD = b"""
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


def test_good_settings_with_comments():
    settings = parse_settings(GOOD).unwrap()
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
def test_a_bad_field_is_named(change, place):
    assert place in places(GOOD.replace(*change))


def test_all_problems_come_at_once():
    text = GOOD.replace(b'"agent"', b'"king"').replace(b": 30", b': "x"')
    assert set(places(text)) == {"role", "idle_s"}


def test_text_that_is_no_json_and_a_file_that_is_not_there(tmp_path):
    assert places(b"{") == ["text"]
    assert places(b"\xff") == ["byte 0"]
    refused = load_settings(tmp_path / "nowhere.json").failure()
    assert "readable file" in str(refused)
