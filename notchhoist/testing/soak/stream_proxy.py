"""A proxy for connections to the store, with what may go wrong there."""

import enum
import socket
import struct

import attrs

from notchhoist.daemon.loop import Loop

RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class StreamState(enum.Enum):
    """What is wrong with a daemon's path to the store.

    Attributes:
        WELL: Nothing.
        RESET: Every connection is reset at once.
        SILENT: Bytes are taken and never passed on, in either direction.
        MUTE: Requests pass, answers do not: the path is cut one way.
        SLOW: Every piece of an answer comes late.
    """

    WELL = "well"
    RESET = "reset"
    SILENT = "silent"
    MUTE = "mute"
    SLOW = "slow"


SLOW_S = 0.3
"""Extra time of an answer on a slow path, seconds: 75 times the usual 4 ms."""


@attrs.define(eq=False)
class _Pair:
    """One connection and its counterpart at the store."""

    near: socket.socket
    far: socket.socket
    silent: bool = False


@attrs.define(eq=False)
class StreamProxy:
    """Passes on one daemon's connections to the store.

    Attributes:
        loop: The event loop.
        listener: Where the daemon connects.
        store: The store itself.
        state: What is wrong.
        pairs: Open connections.
    """

    loop: Loop
    listener: socket.socket
    store: tuple[str, int]
    state: StreamState = StreamState.WELL
    pairs: list[_Pair] = attrs.Factory(list)

    def accept(self) -> None:
        """Takes a new connection."""
        try:
            near, _ = self.listener.accept()
        except OSError:
            return  # It was broken off before it was taken.
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
            # The connection has lost bytes: it says nothing more.
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
        """Lets the open connections say nothing more; new ones work."""
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
        """Ends the proxy."""
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
    """Listens at an address for one daemon.

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
