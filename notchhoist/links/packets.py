"""An outgoing datagram, with the fields that scheduling needs."""

from msgspec import Struct

HEADERS_BYTES = 28
"""Size of the IPv4 and UDP headers of each datagram, bytes."""

SMALL_BYTES = 200
"""Largest datagram that is sent ahead of larger ones, bytes.

Opening packets, resets, queries and replies have 32 to 150 bytes, a caller's
request about 100.
"""

Address = tuple[str, int]
"""IP address and port, as sockets take them."""


class Outgoing(Struct, frozen=True):
    """A datagram to send.

    Attributes:
        port: Index of the process's socket that sends it.
        datagram: Bytes of the datagram.
        to: Address that it is sent to.
        flow: Key of its flow; empty for control messages.
        seq: Sequence number in the flow; retransmissions have the same one.
        since: Time at which it was ready to be sent, seconds.
    """

    port: int
    datagram: bytes
    to: Address
    flow: bytes = b""
    seq: int = 0
    since: float = 0.0

    @property
    def size(self) -> int:
        """Size on the link with headers, bytes."""
        return len(self.datagram) + HEADERS_BYTES

    @property
    def is_small(self) -> bool:
        """Whether it is sent ahead of larger datagrams."""
        return len(self.datagram) <= SMALL_BYTES

    @property
    def is_control(self) -> bool:
        """Whether it belongs to no flow of a caller."""
        return not self.flow

    @property
    def copy_key(self) -> tuple[Address, bytes, int, int] | None:
        """Key that retransmissions share; None for control messages."""
        if not self.flow:
            return None
        return (self.to, self.flow, self.seq, len(self.datagram))
