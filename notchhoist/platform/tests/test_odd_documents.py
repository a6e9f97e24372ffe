"""Tests that odd published data costs itself only, and ends no process."""

import itertools
import json

import pytest

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model import ranges
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import ViewAsk
from notchhoist.flows.model.records import Count
from notchhoist.flows.published.problems import MAX_LOGGED
from notchhoist.platform.documents import decode_configuration, decode_entry
from notchhoist.platform.eras import read_era
from notchhoist.platform.json_fields import FieldError, split_address
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.tests.test_documents import (
    CONFIGURATION,
    ENTRY,
    ROUTE,
    TWO_ROUTES,
    changed,
)
from notchhoist.platform.tests.test_feeding import logged_problems, make_feeder
from notchhoist.platform.tests.test_store import changes, item, page

MANY_DIGITS = "1" * 5000
DATAGRAM_BYTES_MAX = 65_507
OTHER_ENTRY = {**ENTRY, "address": "10.128.0.10:8080"}
THIRD_ENTRY = {**ENTRY, "address": "10.128.0.11:8080"}


def view_of_another(node, reads_pieces=True):
    """Returns the view of a balancer that gets all of a balancer's view."""
    other = make_balancer("a", PacketCodec(), "other", "10.0.0.2")
    query = ViewAsk(0, number=1, reads_pieces=reads_pieces)
    for effect in node.on_peer("10.0.0.2", query, 2.0):
        if isinstance(effect, SendPeer) and effect.host == "10.0.0.2":
            data = encode_message(effect.message)
            assert len(data) <= DATAGRAM_BYTES_MAX
            other.on_peer("10.0.0.1", decode_message(data), 2.0)
    return other.board.view


def test_a_port_of_many_digits_costs_only_its_entry():
    """``int`` raises ValueError for such texts, which ended the balancers."""
    odd = {**ENTRY, "address": f"10.128.0.10:{MANY_DIGITS}"}
    feeder = make_feeder(
        item("op/config", CONFIGURATION),
        item("servers/i-1", ENTRY),
        item("servers/i-2", odd),
    )
    board = feeder.node.board
    assert list(board.servers) == ["i-1"]
    [problem] = logged_problems(feeder)
    assert problem.startswith("servers/i-2.address: expected ip:port")
    mended = {**ENTRY, "address": "10.128.0.10:8080"}
    feeder.on_answer(200, changes(item("servers/i-2", mended, 51)), 1.0)
    assert list(board.servers) == ["i-1", "i-2"]


def test_a_port_of_many_digits_costs_only_its_route():
    path = ["routes", 0, "path_prefix"]
    table = decode_configuration(changed(TWO_ROUTES, path, f"/{MANY_DIGITS}/"))
    assert [route.name for route in table.routes.values()] == ["r-2"]


def test_an_era_of_many_digits_is_refused():
    with pytest.raises(FieldError, match="store-era"):
        read_era({"store-era": MANY_DIGITS}, 1)


@pytest.mark.parametrize(
    "address",
    [
        "10.1.0.10:0",
        "10.1.0.10:65536",
        "10.1.0.10:0080",
        "10.1.0.10:+80",
        "10.1.0.10:\u0663",
        "10.1.0.10:\u00b2",
        "10.1.0.10:",
        "10.1.0.10",
        "10.1.0.0177:80",
        "10.1.0.010:80",
        "10.1.0.256:80",
        "10.1.0.:80",
        "10.1.0:80",
        "10.1.0.1.1:80",
        "::1:80",
        "",
        f"{MANY_DIGITS}.1.0.1:80",
    ],
)
def test_an_address_has_four_decimal_octets_and_a_port(address):
    with pytest.raises(FieldError):
        split_address(address, "address")


@pytest.mark.parametrize("port", [1, 65535])
def test_the_ends_of_the_range_of_ports_are_accepted(port):
    assert split_address(f"0.0.0.0:{port}", "listen") == ("0.0.0.0", port)


@pytest.mark.parametrize(
    "host", ["0.0.0.0", "0.1.2.3", "224.0.0.1", "240.0.0.1", "255.255.255.255"]
)
def test_an_entry_with_an_address_of_no_host_is_refused(host):
    text = changed(ENTRY, ["address"], f"{host}:8080")
    with pytest.raises(FieldError, match="address of a host"):
        decode_entry("i-7", text)


@pytest.mark.parametrize("field", ["born", "seq"])
def test_an_entry_with_a_number_past_the_wire_costs_only_itself(field):
    """The codec raised OverflowError for 2**63, which ended the balancers."""
    feeder = make_feeder(
        item("servers/i-1", ENTRY),
        item("servers/i-2", {**OTHER_ENTRY, field: ranges.I64_MAX}),
        item("servers/i-3", {**THIRD_ENTRY, field: ranges.I64_MAX + 1}),
    )
    assert list(view_of_another(feeder.node).servers) == ["i-1", "i-2"]
    assert list(feeder.node.board.servers) == ["i-1", "i-2"]
    [problem] = logged_problems(feeder)
    assert problem.startswith(f"servers/i-3.{field}: expected a whole number")


def long_split(count):
    return [
        {"service": f"{n:03}" + "s" * (ranges.MAX_NAME_BYTES - 3), "weight": 1}
        for n in range(count)
    ]


@pytest.mark.parametrize("field", ["service", "zone", "version"])
@pytest.mark.parametrize(
    "name", ["n" * 400_000, "n" * 201, "\u00e9" * 101, "a\0b", "a\nb", "\u202e"]
)
def test_an_odd_name_costs_only_its_entry(field, name):
    """Other balancers could not decode a view with such a name."""
    feeder = make_feeder(
        item("op/config", CONFIGURATION),
        item("servers/i-1", ENTRY),
        item("servers/i-2", {**OTHER_ENTRY, field: name}),
    )
    for reads_pieces in (True, False):
        view = view_of_another(feeder.node, reads_pieces)
        assert list(view.servers) == ["i-1"]
    [problem] = logged_problems(feeder)
    assert problem.startswith(f"servers/i-2.{field}: expected a printable text")


@pytest.mark.parametrize("reads_pieces", [True, False])
def test_the_longest_names_reach_another_balancer(reads_pieces):
    """Each part of a view must fit into one datagram."""
    name = "\u00e9" * (ranges.MAX_NAME_BYTES // 2)
    route = {**ROUTE, "name": name, "split": long_split(ranges.MAX_TARGETS)}
    routes = [{**route, "path_prefix": f"/{port}/"} for port in range(1, 31)]
    servers = [
        item(
            f"servers/{number:02}" + "i" * (ranges.MAX_KEY_BYTES - 10),
            {
                **ENTRY,
                "address": f"10.128.0.{number}:1",
                "service": name,
                "zone": name,
            },
        )
        for number in range(30)
    ]
    zone = "op/evacuate/" + "z" * (ranges.MAX_KEY_BYTES - 12)
    configuration = item("op/config", {**CONFIGURATION, "routes": routes})
    feeder = make_feeder(configuration, *servers, item(zone, {}))
    assert not logged_problems(feeder)
    view = view_of_another(feeder.node, reads_pieces)
    known = feeder.node.board.view
    assert len(view.servers) == len(view.table.routes) == 30
    assert (view.servers, view.table.routes, view.evacuated) == (
        known.servers,
        known.table.routes,
        known.evacuated,
    )


def test_a_split_of_too_many_services_leaves_its_route_as_it_was():
    """A part of a view with such a route did not fit into a datagram."""
    split = long_split(ranges.MAX_TARGETS + 1)
    text = changed(TWO_ROUTES, ["routes", 0, "split"], split)
    table = decode_configuration(text)
    assert [route.name for route in table.routes.values()] == ["r-2"]
    [problem] = table.problems
    assert problem.place == "routes[0].split"


@pytest.mark.parametrize(
    "key", ["servers/", "servers/" + "i" * 193, "servers/a\nb", "op/evacuate/"]
)
def test_an_item_with_an_odd_key_is_skipped(key):
    feeder = make_feeder(
        item("op/config", CONFIGURATION),
        item(key, ENTRY),
        item("servers/i-1", ENTRY),
    )
    assert list(feeder.node.board.servers) == ["i-1"]
    assert not feeder.node.board.view.evacuated
    [problem] = logged_problems(feeder)
    assert problem.startswith("item.key: expected")
    assert len(problem) < 200


def nested(depth, opening, closing):
    return (opening * depth + "0" + closing * depth).encode()


def at_depth(depth, call):
    """Calls a function with a number of frames below it."""
    return call() if depth == 0 else at_depth(depth - 1, call)


@pytest.mark.parametrize("frames", [0, 300, 600, 800])
@pytest.mark.parametrize(("opening", "closing"), [("[", "]"), ('{"a":', "}")])
def test_an_error_text_does_not_follow_a_nested_value(opening, closing, frames):
    """``repr`` raised RecursionError for values that the decoder accepts."""

    def decode(depth):
        value = nested(depth, opening, closing)
        entry = json.dumps({**ENTRY, "service": 0}).encode()
        with pytest.raises(FieldError) as caught:
            decode_entry("i-7", entry.replace(b": 0", b": " + value, 1))
        assert len(str(caught.value)) < 250
        document = json.dumps({**CONFIGURATION, "limits": 0}).encode()
        document = document.replace(b'"limits": 0', b'"limits": ' + value)
        try:
            table = decode_configuration(document)
        except ConfigurationRefusedError as error:
            assert len(str(error)) < 250
        else:
            [problem] = table.problems
            assert len(str(problem)) < 250

    at_depth(frames, lambda: [decode(depth) for depth in range(1, 1000)])


class Endless(dict):
    """An object whose fields never end."""

    def items(self):
        return ((str(number), self) for number in itertools.count())


@pytest.mark.parametrize(
    "value",
    ["x" * 10**6, 10**5000, -(10**5000), [0] * 10**6, [[0] * 10**5], Endless()],
    ids=["text", "number", "negative", "list", "nested", "endless"],
)
def test_an_error_text_is_short_and_takes_few_steps(value):
    assert len(str(FieldError("place", "a name", value))) < 100


def test_the_text_of_a_refused_configuration_is_short():
    """A line of the log held a problem for each of 1,600 routes."""
    routes = [{**ROUTE, "host": "x" * 99} for _ in range(1600)]
    text = json.dumps({**CONFIGURATION, "routes": routes}).encode()
    with pytest.raises(ConfigurationRefusedError) as caught:
        decode_configuration(text)
    assert len(caught.value.problems) == 1600
    assert len(str(caught.value)) < 1000
    assert str(caught.value).endswith("; 1595 more")


def parts_refused(feeder):
    return feeder.node.board.records.counters[Count.PARTS_REFUSED]


@pytest.mark.parametrize("field", ["revision", "created", "value", "removed"])
def test_a_skipped_item_is_logged_once_with_its_key(field):
    """The log named the place in the answer, which changes with each answer."""
    odd = item("servers/i-2", OTHER_ENTRY) | {field: 0.5}
    feeder = make_feeder(item("servers/i-1", ENTRY), odd)
    feeder.on_answer(410, b"", 1.0)
    feeder.on_answer(200, page(odd, item("servers/i-1", ENTRY)), 2.0)
    [problem] = logged_problems(feeder)
    assert problem.startswith(f"servers/i-2.{field}: expected")
    assert parts_refused(feeder) == 2


def test_a_refused_configuration_is_counted_and_logged_once():
    odd = item("op/config", {"version": "x"}, 51)
    feeder = make_feeder(item("op/config", CONFIGURATION))
    for now in (1.0, 2.0):
        feeder.on_answer(410, b"", now)
        feeder.on_answer(200, page(odd, as_of=51), now)
    records = feeder.node.board.records
    events = [decision.event for decision in records.decisions]
    assert events.count("refused") == 1
    assert parts_refused(feeder) == 2
    feeder.on_answer(200, changes(item("op/config", CONFIGURATION, 52)), 3.0)
    assert not feeder.node.board.refused
    feeder.on_answer(200, changes(odd | {"revision": 53}, as_of=53), 4.0)
    assert [item.event for item in records.decisions].count("refused") == 2


def test_problems_are_logged_however_many_others_came_before():
    """After 200 problems, no further one was logged until the next start."""
    feeder = make_feeder(item("servers/i-1", ENTRY))
    for number in range(1000):
        odd = item(f"servers/j-{number}", {**ENTRY, "slots": -1}, 51 + number)
        feeder.node.board.records.decisions.clear()
        feeder.on_answer(200, changes(odd, as_of=51 + number), 1.0)
        assert len(logged_problems(feeder)) == 1
    assert len(feeder.node.board.problems) == 1000


def test_one_answer_queues_a_limited_number_of_problems():
    routes = [ROUTE, *({**ROUTE, "host": number} for number in range(1600))]
    feeder = make_feeder(
        item("op/config", {**CONFIGURATION, "routes": routes}),
        item("servers/i-1", ENTRY),
    )
    assert feeder.node.board.table.version == 7
    assert len(logged_problems(feeder)) == MAX_LOGGED + 1
    assert parts_refused(feeder) == 1600


@pytest.mark.parametrize("odd", [0, {}, {"key": 7}])
def test_items_without_a_key_are_logged_once(odd):
    """Each filled the log once more, as its place in the answer differed."""
    feeder = make_feeder(item("servers/i-1", ENTRY))
    for now in (1.0, 2.0):
        feeder.on_answer(200, changes(*[odd] * 1000), now)
    assert len(logged_problems(feeder)) == 1
    assert parts_refused(feeder) == 2000
