"""Tests that the stand-ins behave as the real systems are specified to."""

import attrs
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from notchhoist import model, wire
from notchhoist.testing.backend import BackendModel, BackendProfile
from notchhoist.testing.history import FinalResult, History, Result, Started
from notchhoist.testing.platform_service import PlatformState

SOURCE = model.Endpoint("127.0.0.1", 9)
PROFILE = BackendProfile("hallbook", "hallbook-1", 1, 0.1, load_lag_s=2.0)


def request(mid, *path, code=Code.GET):
    message = Message(code=code, _mtype=Type.CON, _mid=mid, _token=b"%d" % mid)
    message.opt.uri_path = path
    return message.encode()


def server(**changes):
    profile = attrs.evolve(PROFILE, **changes)
    return BackendModel(profile, started_at=0.0, history=History())


def answer(replies):
    (reply,) = replies
    return wire.decode_coap(reply.datagram)


def test_server_sheds_requests_without_a_free_slot():
    backend = server()
    assert backend.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0) == []
    shed = answer(
        backend.receive(request(2, "r", "hallbook", "b"), SOURCE, 0.0)
    )
    assert (shed.code, shed.payload) == (Code.SERVICE_UNAVAILABLE, b"shed")
    assert [item.request for item in backend.history.started] == ["a"]


def test_cold_server_is_slow():
    backend = server(cold_s=10.0)
    backend.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0)
    assert backend.tick(0.2) == []
    assert answer(backend.tick(0.5)).payload == b"hallbook-1|a"


def test_cancellation_frees_the_slot():
    backend = server()
    backend.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0)
    backend.receive(wire.reset_for(1), SOURCE, 0.05)
    assert backend.in_progress == {}
    assert backend.tick(1.0) == []


def test_request_past_its_deadline_gets_no_answer():
    backend = server()
    original = wire.decode_coap(request(1, "r", "hallbook", "a"))
    backend.receive(wire.with_deadline(original, 0.05), SOURCE, 0.0)
    assert backend.tick(0.2) == []


def test_draining_refuses_new_work():
    backend = server()
    backend.draining = True
    refused = answer(
        backend.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0)
    )
    assert refused.payload == b"draining"


def test_load_endpoint_lags_and_may_report_a_false_load():
    backend = server()
    backend.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0)
    early = answer(backend.receive(request(2, "load"), SOURCE, 0.5))
    assert early.payload == b"0 of 1"
    late = answer(backend.receive(request(3, "load"), SOURCE, 2.5))
    assert late.payload == b"1 of 1"
    misreporting = server(load_lie=0.0)
    misreporting.receive(request(1, "r", "hallbook", "a"), SOURCE, 0.0)
    false_load = answer(misreporting.receive(request(2, "load"), SOURCE, 3.0))
    assert false_load.payload == b"0 of 1"


def test_host_list_lags():
    state = PlatformState(lag_s=30.0)
    state.announce_leaving(["hallbook-1"], 0.0)
    state.refresh(29.0)
    assert state.leaving == []
    state.refresh(30.0)
    assert state.leaving == ["hallbook-1"]


def test_platform_accepts_only_the_next_revision():
    state = PlatformState()
    assert not state.publish(b'{"revision": 2}')
    assert state.publish(b'{"revision": 1}')
    assert not state.publish(b'{"revision": 1}')
    assert not state.publish(b"no document")
    assert state.read(after=0) == b'{"revision": 1}'
    assert state.read(after=1) == b""
    state.down = True
    assert state.read(after=0) is None


def told(result, payload):
    return FinalResult(1.0, "s", "b1", result, payload, 0.1, "booking")


def test_history_check_finds_each_broken_guarantee():
    start = Started(0.0, "s", "x", "b1", once=True)
    cases = {
        "at most once": History([start, start]),
        "truthful not run": History([start], [told(Result.NOT_RUN, "")]),
        "own answer": History([], [told(Result.ANSWERED, "x|b2")]),
        "own service": History(misdirected=["b1"]),
    }
    for guarantee, history in cases.items():
        assert [item.promise for item in history.check()] == [guarantee]
    assert History([start], [told(Result.ANSWERED, "x|b1")]).check() == []
