"""Digests of routes: equal routes have equal digests, others differ."""

from msgspec.structs import replace

from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.digests import route_digest, routes_digest
from notchhoist.flows.model.messages import ViewTell
from notchhoist.flows.model.view import FleetView, ViewChange
from notchhoist.flows.tests import crafting

ROUTE = crafting.route(port=443)


def test_every_field_of_a_route_changes_its_digest():
    others = [
        replace(ROUTE, name="other"),
        replace(ROUTE, service_key=b"other"),
        replace(ROUTE, targets=(("other", 1),)),
        replace(ROUTE, priority=9),
        replace(ROUTE, objective_ms=9.0),
        replace(ROUTE, timeout_ms=9.0),
    ]
    digests = {route_digest(route) for route in [ROUTE, *others]}
    assert len(digests) == 1 + len(others)


def test_route_has_the_same_digest_after_encoding():
    whole = replace(ROUTE, objective_ms=200, timeout_ms=3000)
    tell = ViewTell(ViewChange(2, version=2, routes=(whole,)), 0.0, ())
    [told] = decode_message(encode_message(tell)).change.routes
    assert route_digest(told) == route_digest(whole)


def test_a_view_keeps_the_digest_of_its_routes():
    view = FleetView()
    for version, ports in enumerate([(1, 2), (2, 3), (3,), ()], 1):
        routes = [crafting.route(port=port) for port in ports]
        view.put_table(crafting.table(version, routes), version)
        assert view.digest == routes_digest(routes)
