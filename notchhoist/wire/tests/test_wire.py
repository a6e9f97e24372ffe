"""Codecs: round trips, and bytes that are not a message."""

import hypothesis
import pytest
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from hypothesis import strategies

from notchhoist import model, wire

HERE = model.Endpoint("127.0.0.1", 7000)
THERE = model.Endpoint("::1", 5683)

MESSAGES = [
    model.Forward("s", THERE, b"\x00\xff", 3, 1, True, HERE),
    model.Deliver("s", THERE, b"", HERE),
    model.AskOwner("s", THERE, 7),
    model.TellOwner("s", THERE, None, 0),
    model.TellOwner("s", THERE, HERE, 7),
    model.Announce("s", [model.FlowRecord(THERE, HERE, True, 9)]),
    model.AskFlows("s"),
    model.GrantRequest("s", b"i", b"a", model.Purpose.FENCE, 2, 1 << 61),
    model.GrantReply(
        "s", b"i", b"a", model.Purpose.GRANT, model.Verdict.DENIED, HERE, 2, 9
    ),
    model.AskRecords("s"),
    model.Records(
        "s",
        False,
        [HERE],
        [model.RecordEntry(b"i", 5, False, None, 0, b"", [b"x"])],
        [model.AgentSet([HERE, THERE])],
    ),
    model.RunRequest("s", 1, THERE, b"d", 900, True, False),
    model.RunReply("s", 1, model.RunStatus.NO_SLOT, b"", 2),
    model.AskOutcome("s", 1, b"i", b"a"),
    model.LoadReport("s", "srv", 1, 2, 3, False, 4, 5, 6, 7),
    model.ConfigAsk(3, "s", "z"),
    model.ConfigDiff(4, 3, [b"{}"], ["t"], b"", "s"),
    model.LeavingHosts(["h"]),
    model.Ping(1),
    model.Pong(1),
]


def test_every_message_has_an_example():
    assert {type(item) for item in MESSAGES} == set(model.Message.__args__)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_round_trip(message):
    data = wire.encode_peer(wire.Envelope(HERE, message))
    assert wire.decode_peer(data) == wire.Envelope(HERE, message)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_truncated_bytes_are_refused(message):
    data = wire.encode_peer(wire.Envelope(HERE, message))
    for size in range(len(data)):
        with pytest.raises(model.CodecError):
            wire.decode_peer(data[:size])


SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(data):
    for decode in (wire.decode_peer, wire.decode_coap):
        try:
            decode(data)
        except model.CodecError as error:
            assert str(error)


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(MESSAGES),
    strategies.integers(0, 200),
    strategies.integers(0, 255),
)
def test_a_changed_byte_decodes_or_is_refused(message, place, value):
    data = bytearray(wire.encode_peer(wire.Envelope(HERE, message)))
    data[place % len(data)] = value
    try:
        wire.decode_peer(bytes(data))
    except model.CodecError as error:
        assert error.codec == "thrift"


def request(**options):
    message = Message(code=Code.POST, _mtype=Type.CON, _mid=7, _token=b"t")
    for name, value in options.items():
        setattr(message.opt, name, value)
    return wire.decode_coap(message.encode())


def test_the_deadline_option_does_not_change_the_request():
    original = request(uri_path=("booking", "hallbook", "b1"))
    data = wire.with_deadline(original, 1.5)
    assert wire.deadline_of(wire.decode_coap(data)) == 1.5
    assert wire.deadline_of(original) is None


def test_a_refusal_has_its_reason_and_the_time_to_retry():
    data = wire.refusal(request(), wire.Refusal.NOT_RUN, "queue_full", 3)
    answer = wire.decode_coap(data)
    assert answer.code is Code.SERVICE_UNAVAILABLE
    assert (answer.mid, answer.token, answer.max_age_s) == (7, b"t", 3)
    assert answer.payload == b"not run: queue_full"


def test_a_long_datagram_is_refused():
    with pytest.raises(model.CodecError):
        wire.decode_coap(bytes(wire.MAX_DATAGRAM_BYTES + 1))
