"""Messages between processes: UDP, or TCP for messages too long for UDP."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from notchhoist import model, wire
from notchhoist.daemon.sockets import UdpPort

MAX_UDP_BYTES = 1400
"""Longest message that is sent as a UDP datagram, bytes."""

MAX_TCP_BYTES = 4 << 20
TCP_TIMEOUT_S = 3.0
MAX_TCP_SENDS = 64

OnMessage = Callable[[wire.Envelope], None]


@attrs.define(eq=False)
class PeerTransport:
    """Sends and receives the messages of one process.

    Attributes:
        own: Peer endpoint of this process.
        port: UDP port of that endpoint.
        tasks: Task group in which messages are sent over TCP.
        on_message: Called with each message received.
        on_malformed: Called when a message cannot be decoded.
        tcp_sends: Number of messages that are being sent over TCP.
        sent_bytes: Bytes sent since the start.
        received_bytes: Bytes received since the start.
    """

    own: model.Endpoint
    port: UdpPort
    tasks: anyio.abc.TaskGroup
    on_message: OnMessage
    on_malformed: Callable[[], None]
    tcp_sends: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def send(self, to: model.Endpoint, message: model.Message) -> None:
        """Sends a message, without a guarantee that it arrives."""
        data = wire.encode_peer(wire.Envelope(self.own, message))
        self.sent_bytes += len(data)
        if len(data) <= MAX_UDP_BYTES:
            self.port.send(data, to)
        elif self.tcp_sends < MAX_TCP_SENDS:
            self.tcp_sends += 1
            self.tasks.start_soon(self._send_tcp, to, data)

    async def _send_tcp(self, to: model.Endpoint, data: bytes) -> None:
        try:
            with anyio.move_on_after(TCP_TIMEOUT_S):
                async with await anyio.connect_tcp(to.host, to.port) as stream:
                    await stream.send(data)
        except OSError:
            return
        finally:
            self.tcp_sends -= 1

    def on_datagram(self, data: bytes, _: model.Endpoint) -> None:
        """Decodes a datagram and passes on its message."""
        self._decode(data)

    def _decode(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            envelope = wire.decode_peer(data)
        except model.CodecError:
            self.on_malformed()
            return
        self.on_message(envelope)

    async def serve_tcp(self) -> None:
        """Accepts TCP connections, each of which carries one message."""
        listener = await anyio.create_tcp_listener(
            local_host=self.own.host, local_port=self.own.port
        )
        await listener.serve(self._on_connection)

    async def _on_connection(self, stream: anyio.abc.SocketStream) -> None:
        data = bytearray()
        try:
            async with stream:
                with anyio.move_on_after(TCP_TIMEOUT_S) as scope:
                    async for chunk in stream:
                        data += chunk
                        if len(data) > MAX_TCP_BYTES:
                            self.on_malformed()
                            return
        except (OSError, anyio.BrokenResourceError):
            return
        if scope.cancelled_caught:
            self.on_malformed()
            return
        self._decode(bytes(data))
