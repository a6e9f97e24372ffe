"""A fault-injecting TCP proxy between the daemons and the store."""

import enum
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
    """

    WELL = "well"
    RESET = "reset"
    SILENT = "silent"
    MUTE = "mute"
    SLOW = "slow"


SLOW_S = 0.3
"""Extra delay of a response on a slow path, seconds: 75 times the 4 ms of a
normal response."""


@attrs.define(eq=False)
class _Pair:
    """A daemon's connection and the proxy's own one to the store."""

    near: socket.socket
    far: socket.socket
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
    """

    loop: Loop
    listener: socket.socket
    store: tuple[str, int]
    state: StreamState = StreamState.WELL
    pairs: list[_Pair] = attrs.Factory(list)

    def accept(self) -> None:
        """Accepts a connection and opens its counterpart to the store."""
        try:
            near, _ = self.listener.accept()
        except OSError:
            return  # The connection was aborted before the accept.
        if self.state is StreamState.RESET:
            _reset(near)
            return
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            far.connect(self.store)
        except OSError:
            far.close()
            _reset(near)
            return
        for sock in (near, far):
            sock.setblocking(False)
        pair = _Pair(near, far)
        self.pairs.append(pair)
        self.loop.on_readable(near, lambda: self._pump(pair, pair.near))
        self.loop.on_readable(far, lambda: self._pump(pair, pair.far))

    def _pump(self, pair: _Pair, source: socket.socket) -> None:
        try:
            data = source.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end(pair)
            return
        is_answer = source is pair.far
        state = self.state
        if state is StreamState.SILENT or pair.silent:
            return
        if state is StreamState.MUTE and is_answer:
            # Bytes are missing from here on, so the connection stays silent.
            pair.silent = True
            return
        target = pair.near if is_answer else pair.far
        delay_s = SLOW_S if state is StreamState.SLOW and is_answer else 0.0
        self.loop.call_later(delay_s, lambda: self._write(pair, target, data))

    def _write(self, pair: _Pair, target: socket.socket, data: bytes) -> None:
        if pair not in self.pairs:
            return
        try:
            target.sendall(data)
        except OSError:
            self._end(pair)

    def _end(self, pair: _Pair) -> None:
        if pair not in self.pairs:
            return
        self.pairs.remove(pair)
        for sock in (pair.near, pair.far):
            self.loop.stop_watching(sock)
            sock.close()

    def silence_open(self) -> None:
        """Stalls the open connections; new ones work."""
        for pair in self.pairs:
            pair.silent = True

    def reset_open(self) -> None:
        """Resets the open connections; new ones work."""
        for pair in list(self.pairs):
            self.loop.stop_watching(pair.near)
            _reset(pair.near)
            self.loop.stop_watching(pair.far)
            pair.far.close()
            self.pairs.remove(pair)

    def close(self) -> None:
        """Closes all connections and the listener."""
        for pair in list(self.pairs):
            self._end(pair)
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
