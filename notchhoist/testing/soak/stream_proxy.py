"""A fault-injecting TCP proxy between the daemons and the store."""

import enum
import random
import socket
import struct

import attrs

from notchhoist.daemon.loop import Loop

RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class StreamState(enum.Enum):
    """Fault on a daemon's path to the store.

    Attributes:
        WELL: No fault.
        RESET: Every new connection is reset at once.
        SILENT: Bytes are read and discarded, in both directions.
        MUTE: Requests pass, responses do not: a one-way partition.
        SLOW: Every chunk of a response is delayed.
        CUT_OFF: Responses end before their last byte.
        DAMAGED: Some bytes of a response are replaced by bytes that no JSON
            text holds.
    """

    WELL = "well"
    RESET = "reset"
    SILENT = "silent"
    MUTE = "mute"
    SLOW = "slow"
    CUT_OFF = "cut off"
    DAMAGED = "damaged"


SLOWING_STATES = (
    StreamState.RESET,
    StreamState.SILENT,
    StreamState.MUTE,
    StreamState.SLOW,
)
"""Faults that delay or lose whole responses."""


SLOW_DELAY_S = 0.3
"""Extra delay of a response on a slow path, seconds: 75 times the 4 ms of a
normal response."""

CUT_DELAY_S = 0.01
REPLACED_BYTES = 3


@attrs.define(eq=False)
class _ConnectionPair:
    """A daemon's connection and the proxy's own one to the store."""

    daemon_side: socket.socket
    store_side: socket.socket
    silent: bool = False


@attrs.define(eq=False)
class StreamProxy:
    """Forwards one daemon's connections to the store.

    Attributes:
        loop: The event loop.
        listener: Socket that the daemon connects to.
        store: Address of the store itself.
        state: Current fault of the path.
        pairs: Open connections with their counterparts.
        rng: Source of the draws that spoil responses.
    """

    loop: Loop
    listener: socket.socket
    store: tuple[str, int]
    state: StreamState = StreamState.WELL
    pairs: list[_ConnectionPair] = attrs.Factory(list)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))

    def accept(self) -> None:
        """Accepts a connection and opens its counterpart to the store."""
        try:
            daemon_side, _ = self.listener.accept()
        except OSError:
            return  # The connection was aborted before the accept.
        if self.state is StreamState.RESET:
            _reset(daemon_side)
            return
        store_side = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            store_side.connect(self.store)
        except OSError:
            store_side.close()
            _reset(daemon_side)
            return
        for sock in (daemon_side, store_side):
            sock.setblocking(False)
        pair = _ConnectionPair(daemon_side, store_side)
        self.pairs.append(pair)
        self.loop.on_readable(
            daemon_side, lambda: self._forward(pair, pair.daemon_side)
        )
        self.loop.on_readable(
            store_side, lambda: self._forward(pair, pair.store_side)
        )

    def _forward(self, pair: _ConnectionPair, source: socket.socket) -> None:
        try:
            data = source.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close_pair(pair)
            return
        is_response = source is pair.store_side
        state = self.state
        if state is StreamState.SILENT or pair.silent:
            return
        if state is StreamState.MUTE and is_response:
            # Bytes are missing from here on, so the connection stays silent.
            pair.silent = True
            return
        if is_response and state in (StreamState.CUT_OFF, StreamState.DAMAGED):
            data = self._spoil(pair, data)
        target = pair.daemon_side if is_response else pair.store_side
        delay_s = (
            SLOW_DELAY_S if state is StreamState.SLOW and is_response else 0.0
        )
        self.loop.call_later(delay_s, lambda: self._write(pair, target, data))

    def _spoil(self, pair: _ConnectionPair, data: bytes) -> bytes:
        """Returns a part of a response, cut off or with some bytes replaced."""
        if self.state is StreamState.CUT_OFF:
            self.loop.call_later(CUT_DELAY_S, lambda: self._close_pair(pair))
            return data[: self.rng.randrange(len(data))]
        spoiled = bytearray(data)
        for _ in range(REPLACED_BYTES):
            spoiled[self.rng.randrange(len(data))] = self.rng.randint(128, 255)
        return bytes(spoiled)

    def _write(
        self, pair: _ConnectionPair, target: socket.socket, data: bytes
    ) -> None:
        if pair not in self.pairs:
            return
        try:
            target.sendall(data)
        except OSError:
            self._close_pair(pair)

    def _close_pair(self, pair: _ConnectionPair) -> None:
        if pair not in self.pairs:
            return
        self.pairs.remove(pair)
        for sock in (pair.daemon_side, pair.store_side):
            self.loop.stop_watching(sock)
            sock.close()

    def stall_open(self) -> None:
        """Stalls the open connections; new ones work."""
        for pair in self.pairs:
            pair.silent = True

    def reset_open(self) -> None:
        """Resets the open connections; new ones work."""
        for pair in list(self.pairs):
            self.loop.stop_watching(pair.daemon_side)
            _reset(pair.daemon_side)
            self.loop.stop_watching(pair.store_side)
            pair.store_side.close()
            self.pairs.remove(pair)

    def close(self) -> None:
        """Closes all connections and the listener."""
        for pair in list(self.pairs):
            self._close_pair(pair)
        self.loop.stop_watching(self.listener)
        self.listener.close()


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def open_stream_proxy(
    loop: Loop, address: tuple[str, int], store: tuple[str, int]
) -> StreamProxy:
    """Opens a proxy that listens on an address for one daemon.

    Raises:
        OSError: The address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen()
    proxy = StreamProxy(loop, listener, store)
    loop.on_readable(listener, proxy.accept)
    return proxy
