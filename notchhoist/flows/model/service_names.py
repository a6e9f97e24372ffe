"""The name of a service behind an opening packet on its way to an agent.

The tag in a note has 16 bits, so two services may share it. If the address of a
server goes to another service and a balancer has not learnt of it, the tag
alone may let the new agent take the flows of the former service. Only opening
packets need the name: a server returns the other packets of flows that it does
not have.
"""

from notchhoist.base.errors import CodecError
from notchhoist.flows.model.segments import Segment, SegmentCodec


def with_service(packet: bytes, service: str) -> bytes:
    """Returns an opening packet followed by the name of its service."""
    return packet + service.encode()


def decode_from_balancer(
    codec: SegmentCodec, raw: bytes
) -> tuple[Segment, str]:
    """Decodes a packet that a balancer sent to an agent.

    Returns:
        The packet, and the name of the service that it is for. The name is
        empty where the balancer sends none.

    Raises:
        CodecError: The bytes are no packet, or what follows it is no name.
    """
    end = codec.length_of(raw)
    segment = codec.decode_request(raw[:end])
    name = raw[end:]
    if not name:
        return segment, ""
    if not segment.opens:
        raise CodecError("packet", f"{len(name)} bytes follow its payload")
    try:
        return segment, name.decode()
    except UnicodeDecodeError as error:
        raise CodecError("service name", str(error)) from error
