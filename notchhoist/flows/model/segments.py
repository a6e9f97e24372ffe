"""A decoded packet of a flow, and the interface of the packet codec."""

from typing import Protocol

from msgspec import Struct

SEQUENCE_MODULUS = 1 << 32
"""Sequence numbers wrap at this value: the field on the wire has 32 bits."""


class Segment(Struct, eq=False):
    """A decoded packet.

    Attributes:
        flow: Opaque key of the flow; the same for both directions.
        service_key: Opaque key of the service address that the caller uses.
        caller: IP address of the caller.
        opens: It requests to open the flow.
        accepts: A backend server accepts the flow with it.
        closes: Its sender will send no more data.
        resets: It ends the flow at once.
        returned: A backend server returns it undelivered.
        size: Payload size, bytes.
        seq: Sequence number.
        ack: Next sequence number expected from the other end.
        waited_s: For an opening packet, time since its sender first sent it,
            seconds.
        note: Note that a balancer or an agent wrote into it; 0 for none.
        raw: The packet as received.
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

    def is_retransmission_of(self, other: "Segment") -> bool:
        """Tells whether this packet retransmits another packet of the flow."""
        return (self.seq, self.size) == (other.seq, other.size)


class SegmentCodec(Protocol):
    """Decodes packets into segments and encodes them again."""

    def decode_request(self, raw: bytes) -> Segment:
        """Decodes a packet on its way from a caller to a backend server.

        Raises:
            CodecError: The bytes are no packet.
        """

    def decode_answer(self, raw: bytes) -> Segment:
        """Decodes a packet that a backend server sent or returned undelivered.

        Raises:
            CodecError: The bytes are no packet.
        """

    def length_of(self, raw: bytes) -> int:
        """Returns the length of the packet at the start of some bytes.

        It may exceed the number of bytes if the packet is incomplete.
        """

    def with_note(self, segment: Segment, note: int) -> bytes:
        """Returns the packet with another note; it can go to any server."""

    def header_with_note(self, segment: Segment, note: int) -> bytes:
        """Returns only the packet's header, with another note."""

    def make_reset(self, segment: Segment) -> bytes:
        """Returns a reset for the caller that sent a segment."""


def is_after(seq: int, other: int) -> bool:
    """Tells whether a sequence number follows another one, modulo wrapping.

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
