"""Thrift compact encoding of the messages between processes of the system.

Only this module uses the generated structs; all other code uses the attrs
classes of ``notchhoist.model``. A class and its struct have the same name, and
their fields correspond by position.
"""

import re
from typing import Any

import attrs
from thrift.protocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport import TTransport

from notchhoist import model
from notchhoist.wire.generated import ttypes

PROTOCOL_VERSION = 1

_MESSAGE_TYPES = model.Message.__args__
_PART_TYPES = (
    model.Endpoint,
    model.FlowRecord,
    model.RecordEntry,
    model.AgentSet,
)
_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=16 << 20, container_length_limit=1 << 20
)


@attrs.frozen(slots=True)
class Envelope:
    """A message with the peer endpoint of its sender."""

    sender: model.Endpoint
    message: model.Message


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


_ENVELOPE_FIELDS = {kind: _snake_case(kind.__name__) for kind in _MESSAGE_TYPES}
_VALUE_CLASSES = {
    kind.__name__: kind for kind in (*_MESSAGE_TYPES, *_PART_TYPES)
}


def _paired_fields(value_class: type) -> list[tuple[str, str]]:
    struct = getattr(ttypes, value_class.__name__)
    fields = [entry[2] for entry in struct.thrift_spec if entry]
    return list(
        zip(
            (item.name for item in attrs.fields(value_class)),
            fields,
            strict=True,
        )
    )


_PAIRED_FIELDS = {
    kind: _paired_fields(kind) for kind in _VALUE_CLASSES.values()
}


def _to_struct(value: Any) -> Any:
    if type(value) in _PAIRED_FIELDS:
        struct = getattr(ttypes, type(value).__name__)()
        for name, field in _PAIRED_FIELDS[type(value)]:
            setattr(struct, field, _to_struct(getattr(value, name)))
        return struct
    if isinstance(value, list):
        return [_to_struct(item) for item in value]
    return value


def _from_struct(struct: Any, optional: bool = False) -> Any:
    if isinstance(struct, list):
        return [_from_struct(item) for item in struct]
    value_class = _VALUE_CLASSES.get(type(struct).__name__)
    if value_class is None:
        return struct
    arguments = {}
    for name, field in _PAIRED_FIELDS[value_class]:
        arguments[name] = _from_struct(getattr(struct, field))
    return value_class(**arguments)


def _check_required(struct: Any) -> None:
    """Raises ValueError if a required field is missing."""
    optional = _OPTIONAL_FIELDS.get(type(struct).__name__, frozenset())
    for entry in struct.thrift_spec:
        if not entry or entry[2] in optional:
            continue
        value = getattr(struct, entry[2])
        if value is None:
            raise ValueError(f"{type(struct).__name__}.{entry[2]} is missing")
        if entry[1] == TType.STRUCT:
            _check_required(value)
        if entry[1] == TType.LIST and entry[3][0] == TType.STRUCT:
            for item in value:
                _check_required(item)


_OPTIONAL_FIELDS = {
    "Envelope": frozenset(_ENVELOPE_FIELDS.values()),
    "TellOwner": frozenset(["owner"]),
    "GrantReply": frozenset(["holder"]),
    "RecordEntry": frozenset(["holder"]),
}


def encode_peer(envelope: Envelope) -> bytes:
    """Encodes a message for another process of the system.

    Args:
        envelope: The message with its sender.

    Returns:
        Thrift compact bytes.
    """
    struct = ttypes.Envelope(
        version=PROTOCOL_VERSION, sender=_to_struct(envelope.sender)
    )
    message = envelope.message
    setattr(struct, _ENVELOPE_FIELDS[type(message)], _to_struct(message))
    buffer = TTransport.TMemoryBuffer()
    struct.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode_peer(data: bytes) -> Envelope:
    """Decodes bytes from another process of the system.

    Examples:
        >>> sender = model.Endpoint("127.0.0.1", 7000)
        >>> data = encode_peer(Envelope(sender, model.Ping(nonce=4)))
        >>> decode_peer(data).message
        Ping(nonce=4)

    Args:
        data: Thrift compact bytes.

    Returns:
        The message with its sender.

    Raises:
        CodecError: The bytes are not a message of this protocol version.
    """
    struct = ttypes.Envelope()
    try:
        struct.read(
            _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(data))
        )
        if struct.version != PROTOCOL_VERSION:
            raise ValueError(f"unsupported protocol version {struct.version}")
        _check_required(struct)
        body = _single_message(struct)
        _check_required(body)
        sender = _from_struct(struct.sender)
        return Envelope(sender=sender, message=_from_struct(body))
    except Exception as error:  # The library raises many unrelated types.
        raise model.CodecError("thrift", _error_text(error)) from error


def _error_text(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:200]


def _single_message(struct: Any) -> Any:
    bodies = [
        body
        for field in _ENVELOPE_FIELDS.values()
        if (body := getattr(struct, field)) is not None
    ]
    if len(bodies) != 1:
        raise ValueError(
            f"expected 1 message in the envelope, got {len(bodies)}"
        )
    return bodies[0]
