"""Thrift's compact protocol with limits on the size of what is read."""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

STRING_BYTES_MAX = 65_535
CONTAINER_ITEMS_MAX = 10_000

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=STRING_BYTES_MAX,
    container_length_limit=CONTAINER_ITEMS_MAX,
)


def write_struct(struct: Any) -> bytes:
    """Returns the encoding of a Thrift struct."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def read_struct(struct: Any, data: bytes) -> None:
    """Decodes bytes into a struct; errors of the library share no base type."""
    struct.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
