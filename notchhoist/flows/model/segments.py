"""A packet of a flow as the decisions see it."""

from typing import Protocol

from msgspec import Struct

SEQUENCE_MODULUS = 1 << 32
"""Sequence numbers wrap here; from the width of the field on the wire."""


class Segment(Struct, eq=False):
    """One packet, decoded.

    Attributes:
        flow: Opaque key of the flow; the same for both directions.
        service_key: Opaque key of the service address that the caller uses.
        caller: IP number of the caller.
        opens: It asks to open the flow.
        accepts: A backend server accepts the opening.
        closes: Its sender will send no more data.
        resets: It ends the flow at once.
        returned: A backend server gives it back.
        size: Bytes of data in it.
        seq: Sequence number.
        ack: Next sequence number expected from the other end.
        waited_s: For an opening packet, how long its sender has been sending
            copies of it, seconds.
        note: What another process of ours wrote into it; 0 for nothing.
        raw: The packet as it came.
    """

    flow: bytes
    service_key: bytes
    caller: str
    opens: bool
    accepts: bool
    closes: bool
    resets: bool
    returned: bool
    size: int
    seq: int
    ack: int
    waited_s: float
    note: int
    raw: bytes

    def repeats(self, other: "Segment") -> bool:
        """Tells whether this is a copy of another packet of the flow."""
        return (self.seq, self.size) == (other.seq, other.size)


class SegmentCodec(Protocol):
    """What turns packets into segments and back."""

    def decode_request(self, raw: bytes) -> Segment:
        """Decodes a packet that travels from a caller.

        Raises:
            CodecError: The bytes are no packet.
        """

    def decode_answer(self, raw: bytes) -> Segment:
        """Decodes a packet that a backend server sent or gave back.

        Raises:
            CodecError: The bytes are no packet.
        """

    def with_note(self, segment: Segment, note: int) -> bytes:
        """Returns the packet with another note, ready for any server."""

    def head_with_note(self, segment: Segment, note: int) -> bytes:
        """Returns the packet's head alone with another note."""

    def make_reset(self, segment: Segment) -> bytes:
        """Returns a reset for the caller that sent a segment."""


def is_after(seq: int, other: int) -> bool:
    """Tells whether a sequence number comes after another one.

    Examples:
        >>> is_after(5, 3), is_after(3, 5), is_after(2, SEQUENCE_MODULUS - 1)
        (True, False, True)
    """
    distance = (seq - other) % SEQUENCE_MODULUS
    return 0 < distance < SEQUENCE_MODULUS // 2


def is_within(ack: int, start: int, window: int) -> bool:
    """Tells whether an acknowledgement lies within a window after a start.

    Examples:
        >>> is_within(105, 100, 10), is_within(99, 100, 10)
        (True, False)

    Args:
        ack: Acknowledged sequence number.
        start: First number of the window.
        window: Width of the window, bytes.
    """
    return (ack - start) % SEQUENCE_MODULUS <= window
