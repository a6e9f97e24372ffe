"""Odd values in each field of the settings file give typed errors only."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.platform.json_fields import FieldError
from notchhoist.platform.settings import HostSettings, decode_host_settings
from notchhoist.platform.tests.odd_data import ODD_TEXTS, with_odd_text
from notchhoist.platform.tests.test_settings import FRONT, SIDE

BOUNDS = {
    **FRONT["bounds"],
    "evacuate_ms": 3000,
    "contact_ms": 4000,
    "cold_overage": 1.5,
    "cold_slack": 5,
}
MORE = {"bounds": BOUNDS, "bootstrap": True, "bind_ip": "127.0.0.1"}
BOTH_ROLES = [{**FRONT, **MORE}, {**SIDE, **MORE}]


def paths(value, path=()):
    """Yields the path of each field and element."""
    if isinstance(value, dict):
        inner = value.items()
    else:
        inner = enumerate(value) if isinstance(value, list) else ()
    for name, item in inner:
        yield [*path, name]
        yield from paths(item, (*path, name))


def decode(document, path, text):
    try:
        decoded = decode_host_settings(with_odd_text(document, path, text))
    except FieldError as error:
        assert len(str(error)) < 2000
    else:
        assert isinstance(decoded, HostSettings)


@settings(max_examples=500, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(BOTH_ROLES), st.data(), st.sampled_from(ODD_TEXTS))
def test_any_odd_setting_is_read_or_refused(document, data, text):
    path = data.draw(st.sampled_from(list(paths(document))))
    decode(document, path, text)


@pytest.mark.parametrize("path", [["seeds"], ["seeds", 0], ["listen"], ["ip"]])
def test_settings_of_any_depth_are_read_or_refused(path):
    """``str`` raised RecursionError for a nested value among the seeds."""
    for depth in range(900, 1000):
        decode(FRONT, path, "[" * depth + "]" * depth)
        decode(FRONT, path, '{"a":' * depth + "1" + "}" * depth)
