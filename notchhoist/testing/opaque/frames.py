"""Packets as the ends of a flow encode and verify them.

This codec is independent of ``notchhoist.platform.packets``, so that a fault
there does not cancel out in the tests.
"""

import struct
import zlib

import attrs

SYN, RST, FIN, BOUNCED, ACK = 1, 2, 4, 32, 64
HEADER = struct.Struct(">IIIBBIHH4s4sH")
MAX_DATA = 1200

Address = tuple[str, int]


def _octets(host: str) -> bytes:
    return bytes(int(part) for part in host.split("."))


def _host(octets: bytes) -> str:
    return ".".join(str(octet) for octet in octets)


@attrs.frozen
class Frame:
    """One packet.

    Attributes:
        src: Address of the sender's end.
        dst: Address of the other end.
        flags: Bits of ``SYN``, ``RST``, ``FIN``, ``BOUNCED`` and ``ACK``.
        seq: Sequence number.
        ack: Next sequence number expected; in a SYN, the number of earlier
            transmissions of it.
        data: Payload.
        echo: Field for the load balancer's own use; the ends ignore it.
        checksum: Keyed checksum.
    """

    src: Address
    dst: Address
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    checksum: int = 0


def _pack(frame: Frame, echo: int, flags: int, checksum: int) -> bytes:
    return (
        HEADER.pack(
            echo,
            frame.seq,
            frame.ack,
            flags,
            0,
            checksum,
            frame.src[1],
            frame.dst[1],
            _octets(frame.dst[0]),
            _octets(frame.src[0]),
            len(frame.data),
        )
        + frame.data
    )


def keyed_sum(frame: Frame, key: bytes) -> int:
    """Returns the checksum over all but echo, padding and ``BOUNCED``."""
    covered = _pack(frame, 0, frame.flags & ~BOUNCED, 0)
    return zlib.crc32(covered, zlib.crc32(key))


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Encodes a packet with its keyed checksum."""
    return _pack(frame, frame.echo, frame.flags, keyed_sum(frame, key))


def decode_frame(raw: bytes) -> Frame:
    """Decodes a packet without verifying its checksum.

    Examples:
        >>> frame = Frame(("10.0.0.1", 7), ("10.0.0.2", 8), SYN, seq=5)
        >>> decode_frame(encode_frame(frame, b"k")).dst
        ('10.0.0.2', 8)
    """
    echo, seq, ack, flags, _, checksum, sport, dport, dst, src, size = (
        HEADER.unpack_from(raw)
    )
    data = raw[HEADER.size :]
    if len(data) != size:
        raise ValueError(f"header announces {size} bytes, got {len(data)}")
    return Frame(
        (_host(src), sport),
        (_host(dst), dport),
        flags,
        seq,
        ack,
        data,
        echo,
        checksum,
    )


def is_genuine(frame: Frame, key: bytes) -> bool:
    """Tells whether a packet has the checksum of its content."""
    return frame.checksum == keyed_sum(frame, key)
