"""Packets as the ends of flows make and check them.

Written apart from ``notchhoist.platform.packets``, so that a mistake there does
not hide itself here.
"""

import struct
import zlib

import attrs

SYN, RST, FIN, BOUNCED, ACK = 1, 2, 4, 32, 64
HEAD = struct.Struct(">IIIBBIHH4s4sH")
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
        ack: Next number expected; for a SYN, how many copies went before.
        data: The data.
        echo: What the system wrote for itself.
        checksum: The keyed sum.
    """

    src: Address
    dst: Address
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    checksum: int = 0


def _parts(frame: Frame, echo: int, flags: int, checksum: int) -> bytes:
    return (
        HEAD.pack(
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
    """Returns the sum over everything but echo, padding and ``BOUNCED``."""
    covered = _parts(frame, 0, frame.flags & ~BOUNCED, 0)
    return zlib.crc32(covered, zlib.crc32(key))


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Returns the bytes of a packet with its sum."""
    return _parts(frame, frame.echo, frame.flags, keyed_sum(frame, key))


def decode_frame(raw: bytes) -> Frame:
    """Reads a packet.

    Examples:
        >>> frame = Frame(("10.0.0.1", 7), ("10.0.0.2", 8), SYN, seq=5)
        >>> decode_frame(encode_frame(frame, b"k")).dst
        ('10.0.0.2', 8)
    """
    echo, seq, ack, flags, _, checksum, sport, dport, dst, src, size = (
        HEAD.unpack_from(raw)
    )
    data = raw[HEAD.size :]
    if len(data) != size:
        raise ValueError(f"{size} bytes of data announced, {len(data)} came")
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
    """Tells whether a packet is as its sender wrote it."""
    return frame.checksum == keyed_sum(frame, key)
