"""The settings file for both roles; every invalid field is named."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.base.errors import SettingsRefusedError
from notchhoist.platform.json_fields import FieldError, Problems
from notchhoist.platform.settings import (
    DISABLED_VARIABLE,
    decode_host_settings,
    enabled_mechanisms,
    load_host_settings,
    settings_path,
)
from notchhoist.platform.tests.test_documents import json_values

FRONT = {
    "node": "front-1",
    "serves": ["front", "control"],
    "ip": "10.1.0.10",
    "zone": "war-memorial",
    "listen": {"datagram_addr": "10.1.0.10:8172", "ready": "10.1.0.10:8167"},
    "internal_ports": [7720, 7735],
    "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "bounds": {"drain_ms": 3000, "config_apply_ms": 2000, "grace_s": 6},
    "limits": {"link_mbps": 5.3},
    "platform": {"address": "10.200.1.7:8169"},
    "unknown": "ignored",
}
SIDE = {
    **FRONT,
    "serves": ["side"],
    "listen": {**FRONT["listen"], "outbound": "10.1.0.10:8162"},
    "app": "10.1.0.10:8165",
    "service": "hallbook",
}


def text(settings, **changes):
    return json.dumps({**settings, **changes}).encode()


def test_a_balancer():
    settings = decode_host_settings(text(FRONT))
    assert settings.balances
    assert settings.packets == ("10.1.0.10", 8172)
    assert settings.peers == ("10.1.0.10", "10.2.0.40")
    assert (settings.apply_s, settings.link_mbps) == (2.0, 5.3)


def test_contact_time_is_read_and_has_a_default():
    assert decode_host_settings(text(FRONT)).contact_s == 4.0
    bounds = {"contact_ms": 2500}
    assert decode_host_settings(text(FRONT, bounds=bounds)).contact_s == 2.5


def test_an_agent():
    settings = decode_host_settings(text(SIDE))
    assert not settings.balances
    assert settings.backend == ("10.1.0.10", 8165)
    assert settings.service == "hallbook"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("ip", None),
        ("serves", ["nobody"]),
        ("listen", {}),
        ("internal_ports", [9, 3]),
        ("platform", {"address": "10.1.0.10"}),
        ("app", "10.1.0.10:99999"),
    ],
)
def test_an_invalid_required_field_is_named(field, value):
    with pytest.raises(FieldError, match=field):
        decode_host_settings(text(SIDE, **{field: value}))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("node", None),
        ("zone", 4),
        ("seeds", "here"),
        ("seeds", ["here", 4]),
        ("bounds", None),
        ("bounds", {"drain_ms": "x"}),
        ("limits", {"link_mbps": "x"}),
    ],
)
def test_an_invalid_optional_field_is_named_and_replaced(field, value):
    """An invalid list of balancers kept a daemon from starting."""
    settings = decode_host_settings(text(SIDE, **{field: value}))
    assert settings.problems[0].place.startswith(field)
    assert settings.backend == ("10.1.0.10", 8165)
    assert (settings.drain_s, settings.grace_s) == (3.0, 6.0)


def test_an_invalid_peer_leaves_the_others():
    seeds = ["here", "10.2.0.40:8166"]
    settings = decode_host_settings(text(FRONT, seeds=seeds))
    assert settings.peers == ("10.2.0.40",)
    assert [item.place for item in settings.problems] == ["seeds[0]"]


NEEDED = {"serves", "ip", "listen", "internal_ports", "platform", "bind_ip"}
SPARE = sorted({*FRONT, "unheard-of"} - NEEDED)


@given(st.sampled_from(SPARE), json_values)
def test_any_field_that_is_not_needed_leaves_a_balancer_serving(field, value):
    settings = decode_host_settings(text(FRONT, **{field: value}))
    assert settings.packets == ("10.1.0.10", 8172)
    assert settings.store == ("10.200.1.7", 8169)


def test_a_file_that_cannot_be_read(tmp_path):
    with pytest.raises(SettingsRefusedError, match="a readable file"):
        load_host_settings(str(tmp_path / "none"))


def test_outside_the_platform_there_is_no_file():
    assert settings_path({}) is None


@given(st.binary(max_size=100))
def test_any_bytes_are_refused(raw):
    with pytest.raises(FieldError):
        decode_host_settings(raw)


def test_all_invalid_fields_are_reported_at_once(tmp_path):
    path = tmp_path / "settings.json"
    listen = {"datagram_addr": "10.1.0.10:8172"}
    wrong = text(SIDE, node=3, listen=listen, bounds={"drain_ms": -1}, app="x")
    path.write_bytes(wrong)
    with pytest.raises(SettingsRefusedError) as caught:
        load_host_settings(str(path))
    places = [problem.place for problem in caught.value.problems]
    assert sorted(places) == [
        "app",
        "bounds.drain_ms",
        "listen.outbound",
        "listen.ready",
        "node",
    ]


def test_mechanisms_are_disabled_by_name_and_unknown_names_reported():
    problems = Problems()
    uses = enabled_mechanisms(
        problems, {DISABLED_VARIABLE: "early, nonsense doubt"}
    )
    assert (uses.early, uses.doubt, uses.order) == (False, False, True)
    assert [item.place for item in problems.found] == [DISABLED_VARIABLE]
