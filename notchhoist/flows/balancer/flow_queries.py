"""Queries to agents about flows, batched with one query in flight per agent.

After a power failure the flows of all callers are unknown. Querying every agent
of a service about each flow separately would take hosts with little CPU longer
than the callers' retransmission interval. Therefore the flows to query an agent
about are collected while a query to it is in flight, and then sent together.
The number of queries is limited by the round trips of the hosts, regardless of
the number of searches, and falls when the hosts are slow.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk
from notchhoist.flows.model.ranges import I32_MAX
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

RETRY_DELAY_S = 0.1
"""Delay before an unanswered query is first sent again, seconds; 30 round
trips. It doubles with each retry."""

RETRY_DELAY_MAX_S = 0.8
"""Maximum delay before a retry, seconds; short enough to reach a restarted
agent in time."""

QUERY_BYTES_MAX = 1_200
"""Maximum size of the packet headers and samples in a query, bytes, so that it
fits into a datagram. A single larger sample is sent alone."""

HEADER_BYTES = 34
"""Size of a packet header in a query, bytes."""


class QueryQueue(Struct, eq=False):
    """What is to be queried of one agent, and its query in flight.

    Attributes:
        headers: Packet headers of the flows to query about, by flow.
        samples: Sample packets to hand to the agent's server, by flow.
        number: Number of the query in flight; 0 for none.
        sent_at: When it was last sent, seconds.
        retry_delay_s: Delay after that until it is sent again, seconds.
        queried: Flows whose headers are in the query in flight.
        sampled: Flows whose samples are in the query in flight.
        send_count: How often the query in flight was sent.
    """

    headers: dict[bytes, bytes] = field(default_factory=dict)
    samples: dict[bytes, bytes] = field(default_factory=dict)
    number: int = 0
    sent_at: float = 0.0
    retry_delay_s: float = RETRY_DELAY_S
    queried: list[bytes] = field(default_factory=list)
    sampled: list[bytes] = field(default_factory=list)
    send_count: int = 0


class FlowQueries(Struct, eq=False):
    """Queries agents about flows.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        distances: Receives the measured round-trip times.
        queues: Query queues, by host and service tag.
        by_number: Keys of the queues with a query in flight, by its number.
        last_number: Number of the last query; see ``first_number``. The next
            one after the largest on the wire is 1.
    """

    board: BalancerBoard
    codec: SegmentCodec
    distances: Distances
    queues: dict[tuple[str, int], QueryQueue] = field(default_factory=dict)
    by_number: dict[int, tuple[str, int]] = field(default_factory=dict)
    last_number: int = 0

    def query(
        self, hosts: Iterable[str], tag: int, segment: Segment, now: float
    ) -> None:
        """Queries agents whether their servers hold the flow of a packet."""
        header = self.codec.header_with_note(segment, 0)
        for host in hosts:
            queue = self._queue_of(host, tag)
            queue.headers[segment.flow] = header
            if not queue.number:
                self._send_next(host, tag, queue, now)

    def send_sample(
        self,
        hosts: Iterable[str],
        tag: int,
        flow: bytes,
        datagram: bytes,
        now: float,
    ) -> None:
        """Has agents hand a sample packet to their servers."""
        for host in hosts:
            queue = self._queue_of(host, tag)
            queue.samples[flow] = datagram
            if not queue.number:
                self._send_next(host, tag, queue, now)

    def _queue_of(self, host: str, tag: int) -> QueryQueue:
        queue = self.queues.get((host, tag))
        if queue is None:
            queue = self.queues[host, tag] = QueryQueue()
        return queue

    def on_answer(self, host: str, number: int, now: float) -> set[bytes]:
        """Handles an answer and sends the next query if anything is queued.

        Returns:
            The flows that the answer is valid for: those of the query in flight
            that are still searched for. The answer to an older query may
            predate the opening of a flow.
        """
        key = self.by_number.get(number)
        queue = self.queues.get(key) if key else None
        if key is None or queue is None or key[0] != host:
            return set()
        asked = set(queue.queried)
        self._measure_round_trip(host, queue, now)
        for flow in queue.queried:
            queue.headers.pop(flow, None)
        for flow in queue.sampled:
            queue.samples.pop(flow, None)
        self._clear_in_flight(queue)
        queue.retry_delay_s = RETRY_DELAY_S
        if queue.headers or queue.samples:
            self._send_next(*key, queue, now)
        return asked

    def _measure_round_trip(
        self, host: str, queue: QueryQueue, now: float
    ) -> None:
        """Measures the round-trip time of a query that was sent once."""
        server = self.board.by_host.get(host)
        if server is not None and queue.send_count == 1:
            self.distances.add_sample(server, queue.sent_at, now)

    def _clear_in_flight(self, queue: QueryQueue) -> None:
        self.by_number.pop(queue.number, None)
        queue.number = 0

    def on_heard(self, host: str, tag: int, now: float) -> None:
        """Makes a retry due at once when a silent agent is heard again.

        An agent that has just started missed the query, and the delay before
        the next retry may have grown to 0.8 s.
        """
        queue = self.queues.get((host, tag))
        if (
            queue is None
            or not queue.number
            or queue.retry_delay_s <= RETRY_DELAY_S
        ):
            return
        queue.retry_delay_s = RETRY_DELAY_S
        queue.sent_at = now - RETRY_DELAY_S

    def forget(self, flow: bytes, hosts: set[str], tag: int) -> None:
        """Removes a flow from the queries to some agents."""
        for host in hosts:
            queue = self.queues.get((host, tag))
            if queue is None:
                continue
            queue.headers.pop(flow, None)
            queue.samples.pop(flow, None)
            for in_flight in (queue.queried, queue.sampled):
                if flow in in_flight:
                    in_flight.remove(flow)

    def tick(self, now: float) -> None:
        """Sends unanswered queries again and drops empty queues."""
        for key, queue in list(self.queues.items()):
            if not queue.headers and not queue.samples:
                self._clear_in_flight(queue)
                del self.queues[key]
            elif queue.number and now - queue.sent_at >= queue.retry_delay_s:
                queue.retry_delay_s = min(
                    2 * queue.retry_delay_s, RETRY_DELAY_MAX_S
                )
                self.board.records.counters[Count.QUESTIONS_REPEATED] += 1
                self._resend(*key, queue, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            (
                queue.sent_at + queue.retry_delay_s
                for queue in self.queues.values()
            ),
            default=float("inf"),
        )

    def _send_next(
        self, host: str, tag: int, queue: QueryQueue, now: float
    ) -> None:
        """Sends queued headers and samples, as many as fit into one query."""
        queue.queried, queue.sampled = [], []
        bytes_left = QUERY_BYTES_MAX
        for flow in queue.headers:
            if bytes_left < HEADER_BYTES:
                break
            bytes_left -= HEADER_BYTES
            queue.queried.append(flow)
        for flow, sample in queue.samples.items():
            if bytes_left < len(sample) and (queue.queried or queue.sampled):
                break
            bytes_left -= len(sample)
            queue.sampled.append(flow)
        self.last_number = self.last_number % I32_MAX + 1
        queue.number = self.last_number
        queue.send_count = 0
        self.by_number[queue.number] = (host, tag)
        self._emit(host, tag, queue, now)

    def _resend(
        self, host: str, tag: int, queue: QueryQueue, now: float
    ) -> None:
        """Sends the query in flight again under the same number.

        An answer to an earlier transmission is then valid, however late it
        arrives.
        """
        if queue.queried or queue.sampled:
            self._emit(host, tag, queue, now)
        else:
            self._clear_in_flight(queue)
            self._send_next(host, tag, queue, now)

    def _emit(self, host: str, tag: int, queue: QueryQueue, now: float) -> None:
        queue.sent_at = now
        queue.send_count += 1
        message = FlowsAsk(
            number=queue.number,
            tag=tag,
            heads=tuple(queue.headers[flow] for flow in queue.queried),
            samples=tuple(queue.samples[flow] for flow in queue.sampled),
        )
        self.board.records.counters[Count.QUESTIONS] += 1
        self.board.outbox.append(SendPeer(host, message))


def make_flow_queries(
    board: BalancerBoard,
    codec: SegmentCodec,
    distances: Distances,
    last_number: int = 0,
) -> FlowQueries:
    """Creates the queries of a balancer, with empty queues.

    Args:
        board: State of the balancer.
        codec: Codec of the packets.
        distances: Receives the measured round-trip times.
        last_number: The first query has the number after this one.
    """
    return FlowQueries(board, codec, distances, last_number=last_number)
