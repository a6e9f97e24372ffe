"""Reading datagrams and handing them to the node of the process."""

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, cast

from msgspec import Struct, field

from notchhoist.base import datagrams
from notchhoist.base.errors import CodecError
from notchhoist.daemon.backlog import StallBacklog
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.loop import Loop, name_of
from notchhoist.daemon.ports import Ports, SocketRole
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.segments import Segment, SegmentCodec
from notchhoist.flows.model.service_names import decode_from_balancer

if TYPE_CHECKING:
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.node import BalancerNode

PACKETS_PER_TIMING = 64
"""One packet in this many is timed, which saves the clock calls of the rest."""

Received = tuple[bytes, tuple[str, int]]
"""A datagram and the address of its sender."""


class DatagramReceiver(Struct, eq=False):
    """Decodes the datagrams of all sockets; the node handles them.

    Attributes:
        balances: The process is a balancer and not an agent.
        ports: The sockets of the process.
        node: Takes packets and messages, and decides on effects.
        codec: Codec of the packets.
        journal: Writer of the logs.
        perform: Performs effects.
        backlog: Datagrams that waited while the process was stalled.
        packets_read: Number of packets read so far; some are timed.
    """

    balances: bool
    ports: Ports
    node: "BalancerNode | AgentNode"
    codec: SegmentCodec
    journal: FlowJournal
    perform: Callable[[Iterable[Effect]], None]
    backlog: StallBacklog = field(default_factory=StallBacklog)
    packets_read: int = 0

    @property
    def balancer(self) -> "BalancerNode":
        """The node, in the role of balancer."""
        return cast("BalancerNode", self.node)

    @property
    def agent(self) -> "AgentNode":
        """The node, in the role of agent."""
        return cast("AgentNode", self.node)

    def start(self, loop: Loop) -> None:
        """Reads the sockets whenever the event loop finds them readable."""
        sockets = self.ports.sockets
        loop.on_readable(sockets[SocketRole.PACKETS], self.on_packets)
        loop.on_readable(sockets[SocketRole.PEERS], self.on_peers)
        loop.on_readable(sockets[SocketRole.CONTROL], self.on_control)
        loop.on_stall = self.on_stall

    def on_stall(self, stalled_s: float, readable: Sequence[object]) -> None:
        """Handles the end of a stall before the sockets are read.

        Args:
            stalled_s: How long it lasted at least, seconds.
            readable: The sockets that hold datagrams.
        """
        sockets = self.ports.sockets
        roles = [role for role in SocketRole if sockets[role] in readable]
        self.backlog.on_stall(stalled_s, roles)
        self._note_backlog_read()
        self.journal.log(
            "stalled",
            outcome="resumed",
            stalled_s=round(stalled_s, 3),
            waiting=[role.name.lower() for role in roles],
        )

    def _note_backlog_read(self) -> None:
        if self.balances:
            self.balancer.on_resumed(self.ports.loop.clock())

    def _receive(self, role: SocketRole) -> tuple[list[Received], bool]:
        """Reads a batch; also tells whether it waited through a stall."""
        batch = datagrams.receive_batch(self.ports.sockets[role])
        return batch, self.backlog.has_waited(role, len(batch))

    def _is_expired(self, segment: Segment, waited: bool) -> bool:
        """Tells whether an opening packet has waited for too long.

        Its caller has given up, or has opened its flow through another process,
        so a server would open it in vain.
        """
        if not (waited and segment.opens and self.backlog.outlasted_callers):
            return False
        self.node.board.records.counters[Count.OPENINGS_EXPIRED] += 1
        return True

    def _handle_each(
        self, batch: list[Received], handle: Callable[[bytes, str], None]
    ) -> None:
        """Handles each datagram; one that fails does not cost the others."""
        for raw, (host, _) in batch:
            try:
                handle(raw, host)
            except CodecError as error:
                self._on_malformed(error)
            except Exception as error:  # Any type: it must cost one datagram.
                self.ports.loop.report(name_of(handle), error)

    def on_packets(self) -> None:
        """Reads packets of callers (balancer) or of the backend (agent)."""
        batch, waited = self._receive(SocketRole.PACKETS)
        handle = self._on_caller if self.balances else self._on_backend
        self._handle_each(batch, lambda raw, _: handle(raw, waited))

    def _on_caller(self, raw: bytes, waited: bool) -> None:
        now = self.ports.loop.clock()
        segment = self.codec.decode_request(raw)
        if not self._is_expired(segment, waited):
            self._forward(self.balancer.on_caller(segment, now), now)

    def _on_backend(self, raw: bytes, _: bool) -> None:
        now = self.ports.loop.clock()
        segment = self.codec.decode_answer(raw)
        self._forward(self.agent.on_backend(segment, now), now)

    def _forward(self, effects: Iterable[Effect], since: float) -> None:
        """Performs the effects of a packet; times some of them."""
        self.perform(effects)
        self.packets_read += 1
        if self.packets_read % PACKETS_PER_TIMING == 0:
            elapsed_s = self.ports.loop.clock() - since
            self.node.board.records.observe(
                Timing.FORWARDING, "", "forwarded", elapsed_s
            )

    def on_peers(self) -> None:
        """Reads packets from agents (balancer) or balancers (agent)."""
        batch, waited = self._receive(SocketRole.PEERS)
        if self.balances:
            self._handle_each(batch, self._on_agent)
        else:
            self._handle_each(
                batch, lambda raw, host: self._on_balancer(raw, host, waited)
            )
        if waited:
            self._note_backlog_read()

    def _on_agent(self, raw: bytes, host: str) -> None:
        now = self.ports.loop.clock()
        segment = self.codec.decode_request(raw)
        self.perform(self.balancer.on_agent(host, segment, now))

    def _on_balancer(self, raw: bytes, host: str, waited: bool) -> None:
        now = self.ports.loop.clock()
        segment, service = decode_from_balancer(self.codec, raw)
        if not self._is_expired(segment, waited):
            self.perform(self.agent.on_balancer(host, segment, now, service))

    def on_control(self) -> None:
        """Reads control messages."""
        batch, waited = self._receive(SocketRole.CONTROL)
        self._handle_each(batch, self._on_message)
        if waited:
            self._note_backlog_read()

    def _on_message(self, raw: bytes, host: str) -> None:
        from notchhoist.flows.codec.message_codec import decode_message

        message = decode_message(raw)
        now = self.ports.loop.clock()
        self.perform(self.node.on_peer(host, message, now))

    def _on_malformed(self, error: CodecError) -> None:
        self.node.board.records.counters[Count.MALFORMED] += 1
        self.journal.log("malformed", reason=str(error))
