"""What a balancer asks agents about flows, one question at a time each.

The load it answers: after a loss of power each caller's flow is unknown, and
asking every agent of a service about each of them by itself would take thin
hosts longer than callers wait for their next copy. Here the flows that an agent
is to be asked about wait while a question to it is under way, and then go in
one. The work is bounded by the round trips that the hosts can make, whatever is
searched for: it shrinks when they are slow.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

REPEAT_S = 0.1
"""Time until a question without an answer is repeated, seconds; 30 round
trips. It doubles with each repeat."""

REPEAT_MOST_S = 0.8
"""The longest such time, seconds: a restarting agent is heard soon enough."""

BYTES_A_QUESTION = 1_200
"""Bytes of heads and samples in one question, so that it fits a datagram; a
single larger sample goes alone."""

HEAD_COST = 34
"""Bytes that a head takes in a question."""


class Line(Struct, eq=False):
    """What one agent is asked.

    Attributes:
        heads: Heads to ask about, by flow.
        samples: Packets to be tried, by flow.
        number: Number of the question under way; 0 for none.
        sent_at: When it was sent, seconds.
        repeat_s: When it is repeated, seconds after that.
        asked: Flows whose heads are in the question under way.
        tried: Flows whose samples are.
        sent: How often the question under way was sent.
    """

    heads: dict[bytes, bytes] = field(default_factory=dict)
    samples: dict[bytes, bytes] = field(default_factory=dict)
    number: int = 0
    sent_at: float = 0.0
    repeat_s: float = REPEAT_S
    asked: list[bytes] = field(default_factory=list)
    tried: list[bytes] = field(default_factory=list)
    sent: int = 0


class Questions(Struct, eq=False):
    """Asks agents about flows.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        distances: Is told what answers take.
        lines: What is asked, by host and tag of the service.
        by_number: The lines whose questions are under way.
        count: Number of the last question; see ``first_number``.
    """

    board: BalancerBoard
    codec: SegmentCodec
    distances: Distances
    lines: dict[tuple[str, int], Line] = field(default_factory=dict)
    by_number: dict[int, tuple[str, int]] = field(default_factory=dict)
    count: int = 0

    def ask(
        self, hosts: Iterable[str], tag: int, segment: Segment, now: float
    ) -> None:
        """Asks agents whether they have the flow of a packet."""
        head = self.codec.head_with_note(segment, 0)
        for host in hosts:
            line = self._line(host, tag)
            line.heads[segment.flow] = head
            if not line.number:
                self._send(host, tag, line, now)

    def try_packet(
        self,
        hosts: Iterable[str],
        tag: int,
        flow: bytes,
        datagram: bytes,
        now: float,
    ) -> None:
        """Lets agents find out by handing a packet to their servers."""
        for host in hosts:
            line = self._line(host, tag)
            line.samples[flow] = datagram
            if not line.number:
                self._send(host, tag, line, now)

    def _line(self, host: str, tag: int) -> Line:
        line = self.lines.get((host, tag))
        if line is None:
            line = self.lines[host, tag] = Line()
        return line

    def on_answer(self, host: str, number: int, now: float) -> set[bytes]:
        """Takes account of an answer; what has gathered meanwhile is asked.

        Returns:
            The flows that it was still asked about; an older answer may be of
            a time before the flow was opened.
        """
        key = self.by_number.get(number)
        line = self.lines.get(key) if key else None
        if key is None or line is None or key[0] != host:
            return set()
        asked = set(line.asked)
        self._measure(host, line, now)
        for flow in line.asked:
            line.heads.pop(flow, None)
        for flow in line.tried:
            line.samples.pop(flow, None)
        self._free(line)
        line.repeat_s = REPEAT_S
        if line.heads or line.samples:
            self._send(*key, line, now)
        return asked

    def _measure(self, host: str, line: Line, now: float) -> None:
        """Takes the time of a question that was sent once."""
        server = self.board.by_host.get(host)
        if server is not None and line.sent == 1:
            self.distances.note(server, line.sent_at, now)

    def _free(self, line: Line) -> None:
        self.by_number.pop(line.number, None)
        line.number = 0

    def on_heard(self, host: str, tag: int, now: float) -> None:
        """Repeats a question at once to an agent that has kept silent.

        One that has just started missed it, and the pause before the next
        repeat may have grown to 0.8 s.
        """
        line = self.lines.get((host, tag))
        if line is None or not line.number or line.repeat_s <= REPEAT_S:
            return
        line.repeat_s = REPEAT_S
        line.sent_at = now - REPEAT_S

    def forget(self, flow: bytes, hosts: set[str], tag: int) -> None:
        """Asks no longer about a flow."""
        for host in hosts:
            line = self.lines.get((host, tag))
            if line is None:
                continue
            line.heads.pop(flow, None)
            line.samples.pop(flow, None)
            for under_way in (line.asked, line.tried):
                if flow in under_way:
                    under_way.remove(flow)

    def tick(self, now: float) -> None:
        """Repeats questions; forgets agents that are not asked."""
        for key, line in list(self.lines.items()):
            if not line.heads and not line.samples:
                self._free(line)
                del self.lines[key]
            elif line.number and now - line.sent_at >= line.repeat_s:
                line.repeat_s = min(2 * line.repeat_s, REPEAT_MOST_S)
                self.board.records.counters[Count.QUESTIONS_REPEATED] += 1
                self._repeat(*key, line, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            (line.sent_at + line.repeat_s for line in self.lines.values()),
            default=float("inf"),
        )

    def _send(self, host: str, tag: int, line: Line, now: float) -> None:
        """Asks what has gathered, as much as fits one question."""
        line.asked, line.tried = [], []
        room = BYTES_A_QUESTION
        for flow in line.heads:
            if room < HEAD_COST:
                break
            room -= HEAD_COST
            line.asked.append(flow)
        for flow, sample in line.samples.items():
            if room < len(sample) and (line.asked or line.tried):
                break
            room -= len(sample)
            line.tried.append(flow)
        self.count += 1
        line.number = self.count
        line.sent = 0
        self.by_number[line.number] = (host, tag)
        self._emit(host, tag, line, now)

    def _repeat(self, host: str, tag: int, line: Line, now: float) -> None:
        """Sends the question under way once more, under its number.

        An answer to the first one then counts, however late it comes.
        """
        if line.asked or line.tried:
            self._emit(host, tag, line, now)
        else:
            self._free(line)
            self._send(host, tag, line, now)

    def _emit(self, host: str, tag: int, line: Line, now: float) -> None:
        line.sent_at = now
        line.sent += 1
        question = FlowsAsk(
            number=line.number,
            tag=tag,
            heads=tuple(line.heads[flow] for flow in line.asked),
            samples=tuple(line.samples[flow] for flow in line.tried),
        )
        self.board.records.counters[Count.QUESTIONS] += 1
        self.board.outbox.append(SendPeer(host, question))


def make_questions(
    board: BalancerBoard,
    codec: SegmentCodec,
    distances: Distances,
    count: int = 0,
) -> Questions:
    """Makes a balancer's questions; nothing is asked yet.

    Args:
        board: What the balancer knows.
        codec: Codec of the packets.
        distances: Is told what answers take.
        count: Where their numbers begin.
    """
    return Questions(board, codec, distances, count=count)
