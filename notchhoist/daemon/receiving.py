"""Reading datagrams and handing them to the node of the process."""

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, cast

from msgspec import Struct, field

from notchhoist.base import datagrams
from notchhoist.base.errors import CodecError
from notchhoist.daemon.backlog import StallBacklog
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.loop import Loop
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

    def on_packets(self) -> None:
        """Reads packets of callers (balancer) or of the backend (agent)."""
        batch, waited = self._receive(SocketRole.PACKETS)
        clock = self.ports.loop.clock
        for raw, _ in batch:
            now = clock()
            try:
                if self.balances:
                    segment = self.codec.decode_request(raw)
                    if self._is_expired(segment, waited):
                        continue
                    effects = self.balancer.on_caller(segment, now)
                else:
                    segment = self.codec.decode_answer(raw)
                    effects = self.agent.on_backend(segment, now)
            except CodecError as error:
                self._on_malformed(error)
                continue
            self.perform(effects)
            self.packets_read += 1
            if self.packets_read % PACKETS_PER_TIMING == 0:
                self.node.board.records.observe(
                    Timing.FORWARDING, "", "forwarded", clock() - now
                )

    def on_peers(self) -> None:
        """Reads packets from agents (balancer) or balancers (agent)."""
        batch, waited = self._receive(SocketRole.PEERS)
        for raw, (host, _) in batch:
            now = self.ports.loop.clock()
            try:
                if self.balances:
                    segment, service = self.codec.decode_request(raw), ""
                else:
                    segment, service = decode_from_balancer(self.codec, raw)
            except CodecError as error:
                self._on_malformed(error)
                continue
            if self.balances:
                self.perform(self.balancer.on_agent(host, segment, now))
            elif not self._is_expired(segment, waited):
                self.perform(
                    self.agent.on_balancer(host, segment, now, service)
                )
        if waited:
            self._note_backlog_read()

    def on_control(self) -> None:
        """Reads control messages."""
        from notchhoist.flows.codec.message_codec import decode_message

        batch, waited = self._receive(SocketRole.CONTROL)
        for raw, (host, _) in batch:
            try:
                message = decode_message(raw)
            except CodecError as error:
                self._on_malformed(error)
                continue
            now = self.ports.loop.clock()
            self.perform(self.node.on_peer(host, message, now))
        if waited:
            self._note_backlog_read()

    def _on_malformed(self, error: CodecError) -> None:
        self.node.board.records.counters[Count.MALFORMED] += 1
        self.journal.log("malformed", reason=str(error))
