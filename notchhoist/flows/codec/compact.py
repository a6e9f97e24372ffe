"""Thrift's compact protocol with bounds on what is read."""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

MAX_BYTES = 65_535
MAX_RECORDS = 10_000

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_BYTES, container_length_limit=MAX_RECORDS
)


def write_struct(struct: Any) -> bytes:
    """Returns a struct's bytes."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def read_struct(struct: Any, data: bytes) -> None:
    """Fills a struct from its bytes; the library raises unrelated types."""
    struct.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
