"""The platform's packets: a header of 32 bytes and a payload.

Header fields, big-endian, with offset and width in bytes: ``echo`` (0, 4);
``seq`` (4, 4); ``ack`` (8, 4); ``flags`` (12, 1); ``pad`` (13, 1); ``sum``
(14, 4), a checksum that excludes ``echo``, ``pad`` and the flag BOUNCED;
``sport`` (18, 2); ``dport`` (20, 2); ``dst`` (22, 4); ``src`` (26, 4); ``len``
(30, 2). Callers and backend servers do not read ``echo`` and ``pad``; these
carry the note of balancers and agents, its upper eight bits in ``pad``.
"""

import socket
import struct

from notchhoist.base.errors import CodecError
from notchhoist.flows.model.segments import Segment

HEAD_BYTES = 32
MAX_DATA_BYTES = 1200
"""Maximum payload, bytes, as the platform specifies it."""

SYN_SEND_TIMES_S = (0.0, 0.2, 0.6)
"""When a caller sends a SYN and its retransmissions, seconds after the first.

A SYN holds the number of retransmissions in ``ack``, where other packets hold
an acknowledgement.
"""

_SYN = 1
_RST = 2
_FIN = 4
_BOUNCED = 32
_ACK = 64
_FLAGS_AT = 12
_LENGTH_AT = 30
_PAD_SHIFT = 32
_HEADER = struct.Struct(">IIIBBIHH4s4sH")
_NOTE = struct.Struct(">I")
_NOTE_MASK = 0xFFFFFFFF
_RESET = struct.Struct(">4xI4xBx4x2s2s4s4s2x")


def service_key(host: str, port: int) -> bytes:
    """Returns the key of a service address.

    Examples:
        >>> service_key("198.18.0.1", 443).hex()
        'c612000101bb'

    Raises:
        OSError: The host is not an IPv4 address.
    """
    return socket.inet_aton(host) + port.to_bytes(2, "big")


class PacketCodec:
    """Codec of the platform's packets; see ``SegmentCodec``.

    Examples:
        >>> raw = bytes.fromhex(
        ...     "0000000011223344000000000100a1b2c3d5"
        ...     "9c4101bbc6120001644000070000"
        ... )
        >>> segment = PacketCodec().decode_request(raw)
        >>> segment.opens, segment.caller, hex(segment.seq)
        (True, '100.64.0.7', '0x11223344')
    """

    def decode_request(self, raw: bytes) -> Segment:
        """See ``SegmentCodec``."""
        return _decode(raw, from_caller=True)

    def decode_answer(self, raw: bytes) -> Segment:
        """See ``SegmentCodec``."""
        return _decode(raw, from_caller=False)

    def length_of(self, raw: bytes) -> int:
        """See ``SegmentCodec``."""
        return HEAD_BYTES + int.from_bytes(raw[_LENGTH_AT:HEAD_BYTES], "big")

    def with_note(self, segment: Segment, note: int) -> bytes:
        """See ``SegmentCodec``."""
        raw = segment.raw
        flags = raw[_FLAGS_AT] & ~_BOUNCED
        return _start_with_note(raw, flags, note) + raw[_FLAGS_AT + 2 :]

    def header_with_note(self, segment: Segment, note: int) -> bytes:
        """See ``SegmentCodec``."""
        raw = segment.raw
        start = _start_with_note(raw, raw[_FLAGS_AT], note)
        return start + raw[_FLAGS_AT + 2 : _LENGTH_AT] + b"\0\0"

    def make_reset(self, segment: Segment) -> bytes:
        """See ``SegmentCodec``; its ``seq`` lies in the caller's window."""
        flow = segment.flow
        return _RESET.pack(
            segment.ack if not segment.opens else 0,
            _RST,
            flow[10:12],
            flow[4:6],
            flow[0:4],
            flow[6:10],
        )


def _start_with_note(raw: bytes, flags: int, note: int) -> bytes:
    """Returns the header up to and including ``pad``, with a note."""
    echo = _NOTE.pack(note & _NOTE_MASK)
    return echo + raw[4:_FLAGS_AT] + bytes((flags, note >> _PAD_SHIFT))


def _waited_s(retransmissions: int) -> float:
    """Returns how long a caller has waited when it retransmits its SYN."""
    return SYN_SEND_TIMES_S[min(retransmissions, len(SYN_SEND_TIMES_S) - 1)]


def _decode(raw: bytes, from_caller: bool) -> Segment:
    if len(raw) < HEAD_BYTES:
        raise CodecError("packet", f"{len(raw)} bytes, {HEAD_BYTES} expected")
    note, seq, ack, flags, pad, _, _, _, _, _, size = _HEADER.unpack_from(raw)
    if size != len(raw) - HEAD_BYTES or size > MAX_DATA_BYTES:
        reason = f"len says {size}, {len(raw) - HEAD_BYTES} bytes follow"
        raise CodecError("packet", reason)
    returned = bool(flags & _BOUNCED)
    source, destination = raw[26:30] + raw[18:20], raw[22:26] + raw[20:22]
    if from_caller or returned:
        caller, service = source, destination
    else:
        caller, service = destination, source
    opens = bool(flags & _SYN) and not flags & _ACK
    return Segment(
        flow=caller + service,
        service_key=service,
        caller=socket.inet_ntoa(caller[:4]),
        opens=opens,
        accepts=bool(flags & _SYN) and bool(flags & _ACK),
        closes=bool(flags & _FIN),
        resets=bool(flags & _RST),
        returned=returned,
        size=size,
        seq=seq,
        ack=ack,
        waited_s=_waited_s(ack) if opens else 0.0,
        note=note | pad << _PAD_SHIFT,
        raw=raw,
    )
