"""One end of an open flow: window, acknowledgements, retransmissions."""

from collections.abc import Callable

import attrs

from notchhoist.testing.opaque.frames import ACK, FIN, MAX_DATA, Frame

MODULUS = 1 << 32
WINDOW = 16
INITIAL_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
DELAYED_ACK_S = 0.04

Emit = Callable[[int, int, int, bytes], None]
"""Sends a packet of flags, sequence number, acknowledgement and data."""


@attrs.define
class _Sent:
    data: bytes
    flags: int
    due: float
    timeout: float = INITIAL_RETRANSMIT_S
    retransmits: int = 0


@attrs.define(eq=False)
class StreamEnd:
    """Sends and receives the bytes of one flow.

    Attributes:
        emit: Sends a packet.
        next_seq: Sequence number of the next byte to send.
        next_in: Number of the next byte expected.
        max_retransmits: Retransmissions of a packet before the flow fails.
        sent: Unacknowledged packets by sequence number.
        unsent: Packets that wait for room in the window.
        out_of_order: Packets received out of order, by sequence number.
        unacknowledged: Packets received since the last acknowledgement.
        ack_due: When the next acknowledgement is due, seconds.
        peer_closed: The other end has closed its stream.
        failed: A packet reached the limit of retransmissions.
    """

    emit: Emit
    next_seq: int
    next_in: int
    max_retransmits: int = 8
    sent: dict[int, _Sent] = attrs.Factory(dict)
    unsent: list[tuple[bytes, int]] = attrs.Factory(list)
    out_of_order: dict[int, tuple[bytes, bool]] = attrs.Factory(dict)
    unacknowledged: int = 0
    ack_due: float = float("inf")
    peer_closed: bool = False
    failed: bool = False

    def write(self, data: bytes, now: float, closes: bool = False) -> None:
        """Queues data, and a FIN where the stream closes, for sending."""
        pieces = [
            data[start : start + MAX_DATA]
            for start in range(0, len(data), MAX_DATA)
        ]
        self.unsent.extend((piece, 0) for piece in pieces)
        if closes:
            self.unsent.append((b"", FIN))
        self._fill_window(now)

    def _fill_window(self, now: float) -> None:
        while self.unsent and len(self.sent) < WINDOW:
            data, flags = self.unsent.pop(0)
            self.sent[self.next_seq] = _Sent(
                data, flags, now + INITIAL_RETRANSMIT_S
            )
            self._send(self.next_seq, flags, data)
            length = len(data) + (1 if flags & FIN else 0)
            self.next_seq = (self.next_seq + length) % MODULUS

    def _send(self, seq: int, flags: int, data: bytes) -> None:
        self.unacknowledged = 0
        self.ack_due = float("inf")
        self.emit(flags | ACK, seq, self.next_in, data)

    def acknowledge(self) -> None:
        """Sends an acknowledgement without data."""
        self._send(self.next_seq, 0, b"")

    def on_frame(self, frame: Frame, now: float) -> bytes:
        """Handles a packet; returns the bytes that are now in order."""
        self._take_ack(frame.ack, now)
        if not frame.data and not frame.flags & FIN:
            return b""
        if (frame.seq - self.next_in) % MODULUS >= MODULUS // 2:
            self.acknowledge()  # Retransmission: the peer missed our ack.
            return b""
        self.out_of_order[frame.seq] = (frame.data, bool(frame.flags & FIN))
        received = self._in_order()
        self.unacknowledged += 1
        if self.unacknowledged >= 2 or self.peer_closed:
            self.acknowledge()
        else:
            self.ack_due = now + DELAYED_ACK_S
        return received

    def _in_order(self) -> bytes:
        received = b""
        while self.next_in in self.out_of_order:
            data, closes = self.out_of_order.pop(self.next_in)
            received += data
            self.peer_closed = self.peer_closed or closes
            self.next_in = (self.next_in + len(data) + closes) % MODULUS
        return received

    def _take_ack(self, ack: int, now: float) -> None:
        for seq in list(self.sent):
            item = self.sent[seq]
            end = seq + len(item.data) + (1 if item.flags & FIN else 0)
            if (ack - end) % MODULUS < MODULUS // 2:
                del self.sent[seq]
        self._fill_window(now)

    def tick(self, now: float) -> None:
        """Sends the retransmissions and delayed acknowledgements due."""
        for seq, item in self.sent.items():
            if now < item.due:
                continue
            if item.retransmits >= self.max_retransmits:
                self.failed = True
                return
            item.retransmits += 1
            item.timeout = min(MAX_RETRANSMIT_S, item.timeout * 2)
            item.due = now + item.timeout
            self._send(seq, item.flags, item.data)
        if now >= self.ack_due:
            self.acknowledge()

    def due(self) -> float:
        """Returns when ``tick`` must be called next, seconds."""
        next_retransmit = min(
            (item.due for item in self.sent.values()), default=9e9
        )
        return min(next_retransmit, self.ack_due)
