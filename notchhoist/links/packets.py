"""A datagram that is to leave a host."""

from msgspec import Struct

HEADERS_BYTES = 28
"""IPv4 and UDP headers that a link carries beside each datagram, bytes."""

SMALL_BYTES = 200
"""Up to this size a datagram is let past larger ones, bytes: openings, resets,
questions and answers of ours are 32 to 150 bytes, a request about 100."""

Address = tuple[str, int]
"""IP number and port, as sockets take them."""


class Outgoing(Struct, frozen=True):
    """A datagram that is to leave.

    Attributes:
        port: Which of the process's sockets it leaves through.
        datagram: Its bytes.
        to: Where it goes.
        flow: Key of its flow; empty for control messages.
        seq: Its number in the flow; a copy has the same one.
        since: When it was to leave, seconds.
    """

    port: int
    datagram: bytes
    to: Address
    flow: bytes = b""
    seq: int = 0
    since: float = 0.0

    @property
    def size(self) -> int:
        """What it takes of the link, bytes."""
        return len(self.datagram) + HEADERS_BYTES

    @property
    def is_small(self) -> bool:
        """Whether it may pass larger ones."""
        return len(self.datagram) <= SMALL_BYTES

    @property
    def is_control(self) -> bool:
        """Whether it belongs to no caller's flow."""
        return not self.flow

    @property
    def copy_key(self) -> tuple[Address, bytes, int, int] | None:
        """What it shares with its copies, or None where it has none."""
        if not self.flow:
            return None
        return (self.to, self.flow, self.seq, len(self.datagram))
