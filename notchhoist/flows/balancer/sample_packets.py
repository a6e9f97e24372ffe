"""Locates flows by sample packets where agents are unsure.

An agent that has restarted while its server kept running does not know which
flows the server holds. The server itself returns packets of flows that it does
not hold.
"""

from msgspec import Struct

from notchhoist.flows.balancer.flow_queries import FlowQueries
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model import notes
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.segments import Segment, SegmentCodec

SAMPLE_WAIT_MIN_S = 0.4
"""Minimum time to wait for the outcomes of sample packets, seconds. The wait is
``SAMPLE_WAIT_FACTOR`` times as long as all agents took to answer the search if
that is longer: 98 answers take 0.2 s on a host with 0.163 of a core, and 1 s on
one with 0.038."""

SAMPLE_WAIT_FACTOR = 3.0

SAMPLE_WAIT_MAX_S = 1.5
"""Maximum time to wait for the outcomes of sample packets, seconds."""


class SampleSender(Struct, eq=False):
    """Sends flow probes: one sample packet of a flow to every unsure agent.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        queries: Batches the samples of several flows into queries.
    """

    board: BalancerBoard
    codec: SegmentCodec
    queries: FlowQueries

    def send_to_unsure(self, search: Search, now: float) -> bool:
        """Sends a sample to all unsure agents of a search.

        After a power failure every agent is unsure. Samples sent to one agent
        after the other would take a round trip each, and callers would abandon
        their flows meanwhile.

        Returns:
            Whether there was any unsure agent.
        """
        hosts = [host for host in search.unsure if host in self.board.by_host]
        search.unsure.clear()
        search.sent_at = now
        if not hosts:
            return False
        search.sampled.update(hosts)
        sample = min(search.waiting, key=_sample_rank)
        by_tag: dict[int, list[str]] = {}
        for host in hosts:
            by_tag.setdefault(self.board.by_host[host].tag, []).append(host)
        for tag, tagged_hosts in by_tag.items():
            note = request_note(self.board, search, NoteKind.SAMPLE, tag, now)
            datagram = self.codec.with_note(sample, note)
            self.queries.send_sample(
                tagged_hosts, tag, sample.flow, datagram, now
            )
        search.answered_s = now - search.since
        waits_s = SAMPLE_WAIT_FACTOR * search.answered_s
        search.sample_wait_s = min(
            max(SAMPLE_WAIT_MIN_S, waits_s), SAMPLE_WAIT_MAX_S
        )
        return True


def request_note(
    board: BalancerBoard,
    search: Search,
    kind: NoteKind,
    tag: int,
    now: float,
) -> int:
    """Returns the note of a packet for an agent, with the flow's request hints.

    It carries the tag of the agent's own service, since a flow may be at a
    service that its route no longer names. Without the hints a request that
    moves to another balancer would count as late from the start.
    """
    table = board.table
    service_key = search.waiting[0].service_key
    route = table.routes.get(service_key) if table else None
    hints = notes.NO_HINTS
    if route is not None and board.uses.kept_wish:
        hints = route.request_hints(now - search.since)
    return notes.to_agent(kind, tag, hints)


def _sample_rank(segment: Segment) -> tuple[bool, bool, int]:
    """Returns a sort key that ranks packets as samples, the best one first.

    A server that holds the flow answers data but may not answer an
    acknowledgement. The smallest packet with data is enough.
    """
    return (segment.resets, not segment.size, segment.size)
