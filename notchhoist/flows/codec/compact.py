"""Thrift's compact protocol with limits on the size of what is read."""

import zlib
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

STRING_BYTES_MAX = 65_535
CONTAINER_ITEMS_MAX = 10_000

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=STRING_BYTES_MAX,
    container_length_limit=CONTAINER_ITEMS_MAX,
)

CHECKSUM_BYTES = 4


def write_struct(struct: Any) -> bytes:
    """Returns the encoding of a Thrift struct."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def read_struct(struct: Any, data: bytes) -> None:
    """Decodes bytes into a struct; errors of the library share no base type."""
    struct.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))


def write_message(struct: Any) -> bytes:
    """Returns the encoding of a Thrift struct, followed by its CRC-32."""
    data = write_struct(struct)
    return data + zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")


def read_message(struct: Any, data: bytes) -> None:
    """Decodes a message into a struct.

    Processes of earlier versions send no checksum and ignore what follows a
    struct, so a message without one must end with its struct.

    Raises:
        ValueError: The checksum does not match. Errors of the library share no
            base type.
    """
    start = memoryview(data)[:-CHECKSUM_BYTES]
    matches = zlib.crc32(start) == int.from_bytes(data[-CHECKSUM_BYTES:], "big")
    buffer = TTransport.TMemoryBuffer(data)
    struct.read(_FACTORY.getProtocol(buffer))
    if not matches and buffer.cstringio_buf.tell() != len(data):
        raise ValueError("checksum does not match")
