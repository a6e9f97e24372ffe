"""A fault-injecting proxy for the datagrams between daemons.

The daemons advertise addresses on which this proxy listens. It forwards each
datagram from the sender's advertised address to the receiver's bound one.
"""

import random
import socket
from functools import partial

import attrs

from notchhoist.base import datagrams
from notchhoist.daemon.loop import Loop
from notchhoist.testing.opaque.damage import damage
from notchhoist.testing.soak.addresses import PEER_PORTS

PORTS = (PEER_PORTS[0], PEER_PORTS[0] + 1)
"""Ports for packets between balancers and agents, and for control messages."""

CONTROL_PORT = PORTS[1]

LATE_S = 0.3
"""Longest delay of the second copy of a control message, seconds."""


@attrs.define
class LinkState:
    """Faults of one direction between two daemons.

    Attributes:
        cut: Every datagram is dropped.
        loss: Share of the datagrams that are dropped.
        delay_s: Extra one-way delay, seconds.
    """

    cut: bool = False
    loss: float = 0.0
    delay_s: float = 0.0


@attrs.define(eq=False)
class DatagramProxy:
    """Forwards datagrams between daemons.

    Attributes:
        loop: The event loop.
        rng: Source of the draws that decide on loss.
        advertised_by_bound: Advertised address by bound address.
        bound_by_advertised: Bound address by advertised address.
        sockets: Sockets by advertised address and port.
        links: Faults by advertised addresses of sender and receiver.
        damaged: Share of the control messages that a second copy follows, which
            is damaged, double or late.
        forwarded: Number of datagrams forwarded.
        dropped: Number of datagrams lost, cut, or of unknown senders.
    """

    loop: Loop
    rng: random.Random
    advertised_by_bound: dict[str, str] = attrs.Factory(dict)
    bound_by_advertised: dict[str, str] = attrs.Factory(dict)
    sockets: dict[tuple[str, int], socket.socket] = attrs.Factory(dict)
    links: dict[tuple[str, str], LinkState] = attrs.Factory(dict)
    damaged: float = 0.0
    forwarded: int = 0
    dropped: int = 0

    def add(self, bound_ip: str, advertised_ip: str) -> None:
        """Binds a daemon's advertised address and forwards what arrives.

        Raises:
            OSError: The advertised address cannot be bound.
        """
        self.advertised_by_bound[bound_ip] = advertised_ip
        self.bound_by_advertised[advertised_ip] = bound_ip
        for port in PORTS:
            sock = datagrams.open_socket((advertised_ip, port))
            self.sockets[advertised_ip, port] = sock
            read = partial(self._forward, advertised_ip, port, sock)
            self.loop.on_readable(sock, read)

    def link(self, source: str, target: str) -> LinkState:
        """Returns the mutable state of one direction."""
        return self.links.setdefault((source, target), LinkState())

    def _forward(self, target: str, port: int, sock: socket.socket) -> None:
        for data, (sender, _) in datagrams.receive_batch(sock):
            source = self.advertised_by_bound.get(sender)
            if source is None:
                self.dropped += 1
                continue
            if port == CONTROL_PORT and self.rng.random() < self.damaged:
                self._deliver_copy(source, target, data)
            state = self.links.get((source, target))
            if state is None:
                self._deliver(source, target, port, data)
            elif state.cut or self.rng.random() < state.loss:
                self.dropped += 1
            elif state.delay_s:
                deliver = partial(self._deliver, source, target, port, data)
                self.loop.call_later(state.delay_s, deliver)
            else:
                self._deliver(source, target, port, data)

    def _deliver_copy(self, source: str, target: str, data: bytes) -> None:
        """Delivers a second copy of a control message, damaged or late."""
        copy = damage(data, self.rng) if self.rng.random() < 0.7 else data
        delay_s = self.rng.uniform(0.0, LATE_S)
        deliver = partial(self._deliver, source, target, CONTROL_PORT, copy)
        self.loop.call_later(delay_s, deliver)

    def _deliver(
        self, source: str, target: str, port: int, data: bytes
    ) -> None:
        self.forwarded += 1
        to = (self.bound_by_advertised[target], port)
        datagrams.send(self.sockets[source, port], data, to)

    def close(self) -> None:
        """Closes all sockets."""
        for sock in self.sockets.values():
            self.loop.stop_watching(sock)
            sock.close()
