"""A proxy for the datagrams between daemons, with what may go wrong there.

Daemons know each other by addresses at which this proxy listens. It passes a
datagram on from the address under which the receiver knows the sender.
"""

import random
import socket
from functools import partial

import attrs

from notchhoist.base import datagrams
from notchhoist.daemon.loop import Loop
from notchhoist.testing.soak.addresses import PEER_PORTS

PORTS = (PEER_PORTS[0], PEER_PORTS[0] + 1)
"""Packets between balancers and agents, and control messages."""


@attrs.define
class LinkState:
    """What is wrong with one direction between two daemons.

    Attributes:
        cut: Nothing passes.
        loss: Share of the datagrams that are lost.
        delay_s: Extra time under way, seconds.
    """

    cut: bool = False
    loss: float = 0.0
    delay_s: float = 0.0


@attrs.define(eq=False)
class DatagramProxy:
    """Passes datagrams on between daemons.

    Attributes:
        loop: The event loop.
        rng: Decides what is lost.
        known_by_own: The known address of each daemon by its own.
        own_by_known: The reverse.
        sockets: Sockets by known address and port.
        links: What is wrong, by known addresses of sender and receiver.
        passed: Datagrams passed on.
        dropped: Datagrams lost or cut.
    """

    loop: Loop
    rng: random.Random
    known_by_own: dict[str, str] = attrs.Factory(dict)
    own_by_known: dict[str, str] = attrs.Factory(dict)
    sockets: dict[tuple[str, int], socket.socket] = attrs.Factory(dict)
    links: dict[tuple[str, str], LinkState] = attrs.Factory(dict)
    passed: int = 0
    dropped: int = 0

    def add(self, own: str, known: str) -> None:
        """Begins to stand in for a daemon.

        Raises:
            OSError: Its known address cannot be bound.
        """
        self.known_by_own[own] = known
        self.own_by_known[known] = own
        for port in PORTS:
            sock = datagrams.open_socket((known, port))
            self.sockets[known, port] = sock
            read = partial(self._pass_on, known, port, sock)
            self.loop.on_readable(sock, read)

    def link(self, source: str, target: str) -> LinkState:
        """Returns the state of a direction, to be read or changed."""
        return self.links.setdefault((source, target), LinkState())

    def _pass_on(self, target: str, port: int, sock: socket.socket) -> None:
        for data, (sender, _) in datagrams.receive_batch(sock):
            source = self.known_by_own.get(sender)
            if source is None:
                self.dropped += 1
                continue
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

    def _deliver(
        self, source: str, target: str, port: int, data: bytes
    ) -> None:
        self.passed += 1
        to = (self.own_by_known[target], port)
        datagrams.send(self.sockets[source, port], data, to)

    def close(self) -> None:
        """Ends the proxy."""
        for sock in self.sockets.values():
            self.loop.stop_watching(sock)
            sock.close()
