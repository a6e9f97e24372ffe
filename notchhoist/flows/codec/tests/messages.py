"""Control messages of each kind with all their fields, and changed copies."""

import random

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.message_codec import encode_message
from notchhoist.flows.codec.view_pieces import pack_change
from notchhoist.flows.model.fleet import ColdBound
from notchhoist.flows.model.messages import (
    FlowsAsk,
    FlowsTell,
    LoadAsk,
    LoadTell,
    Member,
    PeerMessage,
    ServerState,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.tests.crafting import KEY, SERVICE, entry, packet, route

REVISION = make_revision(1, 9)
MEMBERS = (Member("10.0.1.2", 100, 20, unserved=True), Member("10.0.1.3", 5))
CHANGE = ViewChange(
    revision=REVISION,
    base=make_revision(1, 3),
    version=2,
    idle_s=15.0,
    routes=(route(),),
    removed_routes=(KEY,),
    servers=((entry(1, born_ms=7, created=REVISION), REVISION),),
    removed_servers=("s9",),
    routes_total=1,
    servers_total=1,
    cold_bounds=(ColdBound(SERVICE, 6.0, 2.0),),
    evacuated=(("a", REVISION),),
    returned=(("b", REVISION),),
    evacuated_total=1,
    routes_digest=7,
)
MESSAGES: tuple[PeerMessage, ...] = (
    LoadAsk(3, ServerState(REVISION, 7, True, 0.5, 1.5, 6.0, 2.0, True)),
    LoadTell(4, 1, 60, False, REVISION, SERVICE),
    FlowsAsk(1, 7, (packet(),), (packet(data=b"x"),)),
    FlowsTell(1, (b"p" * 12,), (b"a" * 12,), (b"u" * 12,), 1, 2, 3, 4),
    ViewAsk(REVISION, 100, 4, True, True),
    ViewTell(CHANGE, 0.25, MEMBERS, 0, 1, 4, 5, 6, 7),
    ViewPiece(
        REVISION, 0, 0.25, MEMBERS, 0, 1, pack_change(CHANGE), 4, 5, 6, 7
    ),
)
"""One message of each kind, with all fields."""

BODIES = tuple(entry[2] for entry in ttypes.FlowMessage.thrift_spec[10:])


def read_raw(data: bytes):
    """Returns the Thrift struct of an encoded message, without checks."""
    struct = ttypes.FlowMessage()
    buffer = TTransport.TMemoryBuffer(data)
    struct.read(TCompactProtocol.TCompactProtocol(buffer))
    return struct


def write_raw(struct) -> bytes:
    """Encodes the Thrift struct of a message, without checks."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocol(buffer))
    return buffer.getvalue()


def body_of(struct):
    """Returns the body of the Thrift struct of a message."""
    bodies = [getattr(struct, name) for name in BODIES]
    return next(body for body in bodies if body is not None)


def structs_in(struct):
    """Yields a Thrift struct and those in it, lists included."""
    yield struct
    for spec in struct.thrift_spec:
        value = getattr(struct, spec[2]) if spec else None
        for item in value if isinstance(value, list) else [value]:
            if hasattr(item, "thrift_spec"):
                yield from structs_in(item)


def changed_copy(draw: random.Random, data: bytes) -> bytes:
    """Returns a copy of a message with a few bytes changed, or cut off."""
    copy = bytearray(data)
    for _ in range(draw.randint(1, 4)):
        at = draw.randrange(len(copy))
        kind = draw.randrange(6)
        if kind == 0:
            copy[at] ^= 1 << draw.randrange(8)
        elif kind == 1:
            copy[at] = draw.randrange(256)
        elif kind == 2:
            copy[at:at] = draw.randbytes(draw.randint(1, 3))
        elif kind == 3 and len(copy) > 1:
            del copy[at : at + draw.randint(1, 3)]
        elif kind == 4:
            copy[at] = draw.choice((0, 1, 0x7F, 0x80, 0xFF))
        else:
            other = draw.choice(MESSAGES)
            start = draw.randrange(40)
            copy[at : at + 8] = encode_message(other)[start : start + 8]
        if not copy:
            return b"\0"
    return bytes(copy)
