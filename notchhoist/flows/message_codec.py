"""Thrift compact encoding of the control messages of opaque flows.

Loaded when the first message is sent or comes, since a process must be
listening before it has time for this.
"""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from notchhoist.base.errors import CodecError
from notchhoist.flows.generated import ttypes
from notchhoist.flows.messages import LoadAsk, LoadTell, PeerMessage

PROTOCOL_VERSION = 1
MAX_BYTES = 4 << 20

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_BYTES, container_length_limit=1 << 16
)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a control message."""
    struct = ttypes.FlowMessage(version=PROTOCOL_VERSION)
    match message:
        case LoadAsk():
            struct.load_ask = ttypes.LoadAsk(message.slots)
        case LoadTell():
            struct.load_tell = ttypes.LoadTell(
                message.flows,
                message.running,
                message.pace_ms,
                message.stopping,
            )
    buffer = TTransport.TMemoryBuffer()
    struct.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a control message.

    Examples:
        >>> decode_message(encode_message(LoadTell(4, 1, 60, False)))
        LoadTell(flows=4, running=1, pace_ms=60, stopping=False)

    Raises:
        CodecError: The bytes are no message of this version.
    """
    struct = ttypes.FlowMessage()
    try:
        struct.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
        return _message_of(struct)
    except Exception as error:  # The library raises many unrelated types.
        reason = f"{type(error).__name__}: {error}"[:200]
        raise CodecError("thrift", reason) from error


def _message_of(struct: Any) -> PeerMessage:
    if struct.version != PROTOCOL_VERSION:
        raise ValueError(f"protocol version {struct.version}")
    asked = struct.load_ask
    if asked is not None:
        if asked.slots is None:
            raise ValueError("LoadAsk.slots is missing")
        return LoadAsk(asked.slots)
    told = struct.load_tell
    if told is None:
        raise ValueError("no known message")
    fields = (told.flows, told.running, told.pace_ms, told.stopping)
    if None in fields:
        raise ValueError("a field of LoadTell is missing")
    return LoadTell(*fields)
