"""Published documents are decoded, or refused with the path of the field."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.decisions.splitting import pick_target
from notchhoist.flows.model.fleet import ColdBound, RequestKind
from notchhoist.platform.documents import (
    decode_configuration,
    decode_entry,
    decode_value,
)
from notchhoist.platform.json_fields import FieldError
from notchhoist.platform.packets import service_key

ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "path_prefix": "/8443/",
    "kind": "unsafe",
    "timeout_ms": 2500,
    "target_latency_ms": 283,
    "priority": 1,
    "service": "hallbook",
    "max_attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "hallbook"}],
    "limits": {"idle_timeout_ms": 15000},
}
TWO_ROUTES = {
    **CONFIGURATION,
    "routes": [ROUTE, {**ROUTE, "name": "r-2", "path_prefix": "/9/"}],
}
TWO_ROUTES["routes"][1]["kind"] = "safe"
ENTRY = {
    "service": "hallbook",
    "address": "10.128.0.9:8080",
    "zone": "war-memorial",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 500,
    "seq": 4,
}
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def changed(document, path, value):
    """Returns the JSON text of a document with one field replaced."""
    document = copy.deepcopy(document)
    place = document
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = value
    return json.dumps(document).encode()


def test_a_configuration():
    table = decode_configuration(json.dumps(CONFIGURATION).encode())
    route = table.routes[service_key("198.18.0.1", 8443)]
    assert (table.version, table.idle_s) == (7, 15.0)
    assert route.kind is RequestKind.ONCE_ONLY
    assert route.targets == (("hallbook", 1),)
    assert route.request_hints().objective_s == 0.283


def test_a_split_route_sends_each_flow_to_one_service():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    text = changed(CONFIGURATION, ["routes", 0, "split"], split)
    [route] = decode_configuration(text).routes.values()
    chosen = [
        pick_target(number.to_bytes(12), route.targets) for number in range(500)
    ]
    assert 20 < chosen.count("b") < 100
    assert chosen[7] == pick_target((7).to_bytes(12), route.targets)


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (["version"], "7", "version"),
        (["routes"], {}, "routes"),
        (["routes"], [4, 5], "routes[0]"),
    ],
)
def test_an_unusable_document_is_refused(path, value, place):
    with pytest.raises(ConfigurationRefusedError) as caught:
        decode_configuration(changed(CONFIGURATION, path, value))
    assert caught.value.problems[0].place.startswith(place)


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (["routes", 0], 4, "routes[0]"),
        (["routes", 0, "host"], "somewhere", "routes[0].host"),
        (["routes", 0, "path_prefix"], "/x/", "routes[0].host"),
        (["routes", 0, "service"], 3, "routes[0].service"),
        (["routes", 0, "split"], [{"service": "a"}], "routes[0].split[0]"),
        (["routes", 0, "split"], "a", "routes[0].split"),
    ],
)
def test_an_unusable_route_leaves_the_others_served(path, value, place):
    table = decode_configuration(changed(TWO_ROUTES, path, value))
    assert [route.name for route in table.routes.values()] == ["r-2"]
    assert table.problems[0].place.startswith(place)


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (["routes", 0, "kind"], "odd", "routes[0].kind"),
        (["routes", 0, "kind"], 7, "routes[0].kind"),
        (["routes", 0, "name"], 7, "routes[0].name"),
        (["routes", 0, "priority"], -1, "routes[0].priority"),
        (["routes", 0, "timeout_ms"], "x", "routes[0].timeout_ms"),
        (["limits"], None, "limits"),
        (["limits", "idle_timeout_ms"], True, "limits.idle_timeout_ms"),
    ],
)
def test_invalid_descriptions_of_requests_cost_no_route(path, value, place):
    table = decode_configuration(changed(TWO_ROUTES, path, value))
    assert len(table.routes) == 2
    assert [problem.place for problem in table.problems] == [place]


def test_an_unknown_kind_counts_as_once_only():
    """One unknown kind made balancers refuse all 115 routes of a deployment."""
    text = changed(TWO_ROUTES, ["routes", 0, "kind"], "odd")
    table = decode_configuration(text)
    kinds = [route.kind for route in table.routes.values()]
    assert kinds == [RequestKind.ONCE_ONLY, RequestKind.IDEMPOTENT]
    [problem] = table.problems
    assert problem.got == "'odd'"


def test_downloads_may_be_repeated():
    text = changed(CONFIGURATION, ["routes", 0, "kind"], "download")
    [route] = decode_configuration(text).routes.values()
    assert route.kind is RequestKind.IDEMPOTENT


def split_of(*parts):
    return [{"service": name, "weight": weight} for name, weight in parts]


@pytest.mark.parametrize(
    ("split", "place", "got"),
    [
        ([], "split", "{}"),
        (split_of(("a", 0), ("b", 0)), "split", "{'a': 0, 'b': 0}"),
        (split_of(("a", 90), ("b", -1)), "split[1].weight", "-1"),
        (split_of(("a", 90), ("b", 0.5)), "split[1].weight", "0.5"),
        (split_of(("a", 90), ("b", 10**9)), "split[1].weight", "1000000000"),
        (split_of(("a", 90), ("b", "x")), "split[1].weight", "'x'"),
        (split_of(("a", 90), ("b", True)), "split[1].weight", "True"),
        (split_of(("a", 90), ("a", 10)), "split[1].service", "'a'"),
        (split_of(("a", 90), ("", 10)), "split[1].service", "''"),
        ([{"service": "a"}], "split[0].weight", "None"),
        (["a"], "split[0]", "'a'"),
        ("a", "split", "'a'"),
    ],
)
def test_an_invalid_split_leaves_its_route_as_it_was(split, place, got):
    """The valid targets alone would not be the split that was asked for."""
    before = decode_configuration(json.dumps(TWO_ROUTES).encode())
    text = changed(TWO_ROUTES, ["routes", 0, "split"], split)
    table = decode_configuration(text)
    assert [route.name for route in table.routes.values()] == ["r-2"]
    [problem] = table.problems
    assert (problem.place, problem.got) == (f"routes[0].{place}", got)
    assert table.with_unreadable_routes_of(before).routes == before.routes


def test_a_route_without_a_readable_address_is_not_kept():
    before = decode_configuration(json.dumps(TWO_ROUTES).encode())
    text = changed(TWO_ROUTES, ["routes", 0, "host"], "somewhere")
    table = decode_configuration(text).with_unreadable_routes_of(before)
    assert [route.name for route in table.routes.values()] == ["r-2"]


def test_an_entry():
    entry = decode_entry("i-7", json.dumps(ENTRY).encode(), created=3)
    assert (entry.server_id, entry.host) == ("i-7", "10.128.0.9")
    assert (entry.slots, entry.draining, entry.warm_in_s) == (3, False, 0.5)


@pytest.mark.parametrize("field", list(ENTRY))
def test_an_entry_without_a_field_is_refused(field):
    with pytest.raises(FieldError, match=f"servers/i-7.{field}"):
        decode_entry("i-7", changed(ENTRY, [field], None))


@pytest.mark.parametrize("text", ["a", "@@@@", "YQ", "é"])
def test_bad_base64_is_refused(text):
    with pytest.raises(FieldError):
        decode_value(text, "op/config")


@given(json_values)
def test_any_json_is_decoded_or_refused(value):
    text = json.dumps(value).encode()
    with pytest.raises(ConfigurationRefusedError):
        decode_configuration(text)
    with pytest.raises(FieldError):
        decode_entry("i-1", text)


@given(st.binary(max_size=60))
def test_any_bytes_are_refused(text):
    with pytest.raises(ConfigurationRefusedError):
        decode_configuration(text)


@given(st.sampled_from([*ROUTE, "split", "unheard-of"]), json_values)
def test_any_field_of_a_route_leaves_the_others_served(field, value):
    table = decode_configuration(
        changed(TWO_ROUTES, ["routes", 0, field], value)
    )
    assert "r-2" in [route.name for route in table.routes.values()]
    for problem in table.problems:
        assert problem.place.startswith("routes[0]")


@given(st.sampled_from(["services", "limits", "unheard-of"]), json_values)
def test_what_stands_beside_the_routes_leaves_them_served(field, value):
    table = decode_configuration(changed(TWO_ROUTES, [field], value))
    assert len(table.routes) == 2


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "resting"),
        ("seq", "4"),
        ("seq", True),
        ("version", 1),
        ("cold_remaining_ms", "500"),
        ("born", 1.5),
        ("born", "1700000000000"),
        ("born", True),
        ("born", -1),
        ("slots", 2.0),
    ],
)
def test_an_entry_with_an_invalid_field_is_refused(field, value):
    with pytest.raises(FieldError, match=f"servers/i-7.{field}"):
        decode_entry("i-7", changed(ENTRY, [field], value))


def test_an_entry_tells_when_its_server_started():
    text = changed(ENTRY, ["born"], 1_700_000_000_000)
    assert decode_entry("i-7", text).born_ms == 1_700_000_000_000
    assert decode_entry("i-7", json.dumps(ENTRY).encode()).born_ms == 0


@pytest.mark.parametrize(
    "text",
    [
        b"[" * 5000,
        b'{"a":' * 3000 + b"1" + b"}" * 3000,
        b"\xff\xfe",
        b"x" * 1_048_576,
        b'{"service":"a","service":4}',
    ],
)
def test_a_malformed_entry_is_refused(text):
    with pytest.raises(FieldError):
        decode_entry("i-7", text)


scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(1 << 70), 1 << 70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", [], {}, [[1]]])
)


@settings(max_examples=10_000, deadline=None)
@given(st.sampled_from([*ENTRY, "born", "unheard-of"]), scalars)
def test_any_field_of_an_entry_is_read_or_refused_by_name(field, value):
    text = json.dumps({**ENTRY, field: value}).encode()
    try:
        entry = decode_entry("i-7", text)
    except FieldError as error:
        assert str(error).startswith(f"servers/i-7.{field}")
    else:
        assert entry.service
        assert entry.slots >= 0
        assert entry.born_ms >= 0


def test_cold_bounds_are_read_and_zero_means_none():
    services = [
        {"name": "hallbook", "cold_start_s": 2.0, "cold_per_s": 6.0},
        {"name": "scoredrop", "cold_start_s": 2.0, "cold_per_s": 0.0},
        {"name": "odd", "cold_per_s": "x"},
        4,
    ]
    table = decode_configuration(changed(CONFIGURATION, ["services"], services))
    assert table.cold_bounds == (ColdBound("hallbook", 6.0, 2.0),)
    assert [problem.place for problem in table.problems] == [
        "services[2].cold_per_s",
        "services[3]",
    ]


def test_an_unchanged_route_is_parsed_once():
    """Parsing 50 versions of 1,500 routes blocked a process for two seconds."""
    text = json.dumps(CONFIGURATION).encode()
    again = json.dumps(CONFIGURATION | {"version": 8}).encode()
    first, second = decode_configuration(text), decode_configuration(again)
    for key, route in first.routes.items():
        assert second.routes[key] is route


@given(json_values, st.integers(0, 3))
def test_routes_are_read_alike_for_the_first_and_for_the_second_time(value, at):
    """Whatever stands in the place of a route, with its problems and places."""
    routes = [ROUTE, {**ROUTE, "path_prefix": "/9/"}, ROUTE]
    routes.insert(at, value)
    text = json.dumps({**CONFIGURATION, "routes": routes}).encode()
    assert decode_configuration(text) == decode_configuration(text)
