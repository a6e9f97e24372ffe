"""Compatibility of control messages between versions.

During a rolling upgrade, processes of two versions exchange messages, so fields
that the older one does not know must be optional. The bytes in ``FORMER`` were
written by the version before zone evacuations and start times of servers.
"""

import pytest
from msgspec.structs import replace
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.compact import CHECKSUM_BYTES
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.messages import (
    FlowsAsk,
    FlowsTell,
    LoadAsk,
    LoadTell,
    Member,
    ServerState,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.tests.crafting import entry, route

CHANGE = ViewChange(
    revision=7,
    base=3,
    version=2,
    idle_s=15.0,
    routes=(route(),),
    removed_routes=(b"k",),
    servers=((entry(1), 5),),
    removed_servers=("s9",),
    routes_total=1,
    servers_total=1,
)
FORMER = {
    "15029c15060000": LoadAsk(3),
    "1502ac150815021578110000": LoadTell(4, 1, 60, True),
    "1502dc1502150e191822" + "68" * 34 + "191801730000": FlowsAsk(
        1, 7, (b"h" * 34,), (b"s",)
    ),
    "1502ec15041918017019180161191801751502150415060000": FlowsTell(
        2, (b"p",), (b"a",), (b"u",), 1, 2, 3
    ),
    "1502bc161215c8010000": ViewAsk(9, 100),
    "1502cc160e160615f403191c180831302e302e302e31150a1528001500150216041700"
    "00000000002e40191c1805722d3434331806c612000101bb180a6964656d706f74656e"
    "74191c180868616c6c626f6f6b1502001504170000000000206c401700000000000000"
    "00001918016b191c18027331180868616c6c626f6f6b180831302e302e302e31180161"
    "1506121700000000000000001600160a001918027339150215020000": ViewTell(
        CHANGE, 0.25, (Member("10.0.0.1", 5, 20),)
    ),
}


AGES = {"placing_for_ms": 5, "rerouted_for_ms": 6}
BEFORE_REROUTE_HISTORIES = {
    "1502cc160e160615f403190c150015021600170000000000000000190c1908190c19081500"
    "1500190c190c190c150016001600150a150c0000": ViewTell(
        ViewChange(7, 3), 0.25, (), **AGES
    ),
    "1502fc160e160615f403190c1500150418017816021600150a150c0000": ViewPiece(
        7, 3, 0.25, (), 0, 2, b"x", 1, **AGES
    ),
}
"""Written by the version before balancers reported for how long they have known
of changed routes."""


@pytest.mark.parametrize("text", BEFORE_REROUTE_HISTORIES)
def test_version_without_reroute_histories_is_understood_both_ways(text):
    message = BEFORE_REROUTE_HISTORIES[text]
    assert decode_message(bytes.fromhex(text)) == message
    newer = encode_message(replace(message, reroutes_known_for_ms=65_000))
    assert decode_message(newer).reroutes_known_for_ms == 65_000
    # The fields of the earlier version are where it expects them.
    assert newer.startswith(bytes.fromhex(text[:-4]))
    sent = encode_message(message)
    assert sent[:-CHECKSUM_BYTES].hex() == text


@pytest.mark.parametrize("text", FORMER)
def test_a_message_of_the_former_version_is_understood(text):
    assert decode_message(bytes.fromhex(text)) == FORMER[text]


def test_required_field_must_be_present():
    without_flows = bytes.fromhex("1502ac250215781100 00")
    with pytest.raises(CodecError, match="flows is missing"):
        decode_message(without_flows)


@pytest.mark.parametrize(
    "message",
    [
        LoadAsk(3, ServerState(9, 7, True, 0.5, 1.5, 6.0, 2.0)),
        LoadTell(4, 1, 60, False, 9),
        LoadTell(4, 1, 60, False, 9, "hallbook"),
        ViewAsk(9, 100, 4),
        ViewTell(CHANGE, 0.25, (Member("10.0.0.1", 5, 20),), asked=4),
    ],
)
def test_new_fields_are_optional_on_the_wire(message):
    """The former version skips each field that it does not know."""
    struct = ttypes.FlowMessage()
    buffer = TTransport.TMemoryBuffer(encode_message(message))
    struct.read(TCompactProtocol.TCompactProtocol(buffer))
    assert decode_message(encode_message(message)) == message
    for body in (struct.load_ask, struct.load_tell, struct.view_ask):
        if body is None:
            continue
        for field in type(body).thrift_spec:
            if field and field[2] in ("state", "state_revision", "number"):
                setattr(body, field[2], None)
    buffer = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocol(buffer))
    assert type(decode_message(buffer.getvalue())) is type(message)


def in_era(era):
    revision = make_revision(era, 9)
    change = ViewChange(
        revision,
        base=make_revision(era, 3),
        servers=((entry(1, created=revision, withdrawn=True), revision),),
        evacuated=(("a", revision),),
        returned=(("b", revision),),
    )
    return [
        LoadAsk(3, ServerState(revision)),
        LoadTell(1, 1, 1, False, revision),
        ViewAsk(revision),
        ViewTell(change, 0.5, ()),
    ]


@pytest.mark.parametrize("era", [0, 1, 1 << 40])
def test_eras_travel_with_their_revisions(era):
    for message in in_era(era):
        assert decode_message(encode_message(message)) == message


def test_process_without_eras_reads_the_counts():
    """While both versions run, it works as if there were a single era."""
    for message in in_era(1):
        struct = ttypes.FlowMessage()
        buffer = TTransport.TMemoryBuffer(encode_message(message))
        struct.read(TCompactProtocol.TCompactProtocol(buffer))
        for body in (struct.view_ask, struct.view_tell):
            assert body is None or body.revision == 9
