"""A balancer's controller that lets unsure agents find out by a packet.

An agent that has restarted beside a living server cannot tell which flows that
holds; the server itself gives back what is not its own.
"""

from msgspec import Struct

from notchhoist.flows.balancer.questions import Questions
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model import notes
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.segments import Segment, SegmentCodec

TRY_WAIT_S = 0.4
"""Unsure agents have this long to tell what came of a packet, seconds, or
``TRY_WAITS`` times as long as all agents took to answer this search: 98 answers
take a host with 0.163 of a core 0.2 s, and one with 0.038 a second."""

TRY_WAITS = 3.0

TRY_WAIT_MOST_S = 1.5
"""The longest such time, seconds."""


class FlowTrier(Struct, eq=False):
    """Hands one packet of a flow to every agent that cannot tell.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        questions: Carries the packets, those of several flows together.
    """

    board: BalancerBoard
    codec: SegmentCodec
    questions: Questions

    def try_unsure(self, search: Search, now: float) -> bool:
        """Tries all unsure agents of a search; tells whether there are any.

        Every agent is unsure after a loss of power. Tried one after the other,
        98 of them took 98 round trips, and a caller had left by then.
        """
        hosts = [host for host in search.unsure if host in self.board.by_host]
        search.unsure.clear()
        search.sent_at = now
        if not hosts:
            return False
        search.trying.update(hosts)
        sample = min(search.waiting, key=_cost_to_try)
        by_tag: dict[int, list[str]] = {}
        for host in hosts:
            by_tag.setdefault(self.board.by_host[host].tag, []).append(host)
        for tag, beside in by_tag.items():
            note = request_note(self.board, search, NoteKind.TRY, tag, now)
            datagram = self.codec.with_note(sample, note)
            self.questions.try_packet(beside, tag, sample.flow, datagram, now)
        search.answered_s = now - search.since
        waits_s = TRY_WAITS * search.answered_s
        search.try_s = min(max(TRY_WAIT_S, waits_s), TRY_WAIT_MOST_S)
        return True


def request_note(
    board: BalancerBoard,
    search: Search,
    kind: NoteKind,
    tag: int,
    now: float,
) -> int:
    """Returns a note for an agent with what a flow's requests wish for.

    It bears the tag of the agent's own service, as a flow may be at another one
    than its route names now. Without the wish a request that changed balancers
    would count as late from the start.
    """
    table = board.table
    service_key = search.waiting[0].service_key
    route = table.routes.get(service_key) if table else None
    wish = notes.NO_WISH
    if route is not None and board.uses.kept_wish:
        wish = route.wish(now - search.since)
    return notes.to_agent(kind, tag, wish)


def _cost_to_try(segment: Segment) -> tuple[bool, bool, int]:
    """Orders the packets that may find out where a flow is, the best first.

    One is enough. A server that holds the flow answers data, but may keep
    silent about an acknowledgement.
    """
    return (segment.resets, not segment.size, segment.size)
