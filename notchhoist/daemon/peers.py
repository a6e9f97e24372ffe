"""Messages between processes: UDP, and TCP for what exceeds a datagram."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from notchhoist import model, wire
from notchhoist.daemon.sockets import UdpPort

MAX_UDP_BYTES = 1400
"""Longest message sent as one datagram, bytes."""

MAX_TCP_BYTES = 4 << 20
TCP_TIMEOUT_S = 3.0
MAX_TCP_TASKS = 64

OnMessage = Callable[[wire.Envelope], None]


@attrs.define(eq=False)
class PeerTransport:
    """Sends and receives the messages of one process.

    Attributes:
        own: The process's peer endpoint.
        port: Its UDP port.
        tasks: Where sending over TCP runs.
        on_message: Takes each message.
        on_malformed: Called for bytes that are no message.
        sending: How many messages are being sent over TCP.
        sent_bytes: Bytes sent so far.
        received_bytes: Bytes received so far.
    """

    own: model.Endpoint
    port: UdpPort
    tasks: anyio.abc.TaskGroup
    on_message: OnMessage
    on_malformed: Callable[[], None]
    sending: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def send(self, to: model.Endpoint, message: model.Message) -> None:
        """Sends a message; it may be lost."""
        data = wire.encode_peer(wire.Envelope(self.own, message))
        self.sent_bytes += len(data)
        if len(data) <= MAX_UDP_BYTES:
            self.port.send(data, to)
        elif self.sending < MAX_TCP_TASKS:
            self.sending += 1
            self.tasks.start_soon(self._send_tcp, to, data)

    async def _send_tcp(self, to: model.Endpoint, data: bytes) -> None:
        try:
            with anyio.move_on_after(TCP_TIMEOUT_S):
                async with await anyio.connect_tcp(to.host, to.port) as stream:
                    await stream.send(data)
        except OSError:
            return
        finally:
            self.sending -= 1

    def on_datagram(self, data: bytes, _: model.Endpoint) -> None:
        """Takes a datagram."""
        self._take(data)

    def _take(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            envelope = wire.decode_peer(data)
        except model.CodecError:
            self.on_malformed()
            return
        self.on_message(envelope)

    async def serve_tcp(self) -> None:
        """Takes messages over TCP, one a connection."""
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
        self._take(bytes(data))
