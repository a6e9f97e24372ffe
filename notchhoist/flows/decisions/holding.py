"""Requests that wait beside a backend server for one of its slots.

A backend server works on a few requests at once and queues the rest in the
order of arrival, so that after an outage everybody waits for what is late
already. The agent lets it have no more than it works on; the rest wait here,
and ``queueing`` picks from them.
"""

from msgspec import Struct

from notchhoist.flows.model.held import HeldFlow
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.wishes import RETRY_S, Wish

HOLD_MAX_S = 0.9
"""A caller is taken to wait for so long where nobody has told, seconds: below
half of the shortest timeout, 2 s, so that there is time for another try."""

HOLD_OPEN_MAX_S = 1.5
HOLD_OPEN_OBJECTIVES = 6.0
"""The same on an open flow, which cannot be refused: so many objectives, and no
longer than 1.5 s. Passed on after 0.9 s, late requests took half of the slots
of a service with twice its usual load."""

SAFE_PACES = 2.0
LEAST_PACES = 0.5
"""Service times before its caller gives up that a request should get its slot,
and that it must. Work spreads like a lognormal distribution with a sigma of
0.5: 92% takes less than the first, 8% less than the second. With one figure for
both, requests that are to be picked at the last moment would be given up just
before."""

CLOSES_AFTER_S = 0.1
"""A caller that closes its flow so long after its request, seconds, and before
anything has run, has given up. One that sends no more and waits for its answer
closes along with its request; it is served when nobody else waits, since nearly
all that did so after an outage had given up before they were accepted."""

HELD_PACKETS_MAX = 16
"""Packets kept of one request; an end has no more under way."""


class HeldRequest(Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        flow: Key of its flow.
        held: The flow.
        segments: Its packets.
        arrived_at: When the first of them came, seconds.
        wish: What is known of its caller, as of ``arrived_at``.
        unopened: The backend server does not hold the end of the handshake,
            so nothing can have run.
        closes: Its caller has closed the flow along with the request: it wants
            no more than this answer, or nothing at all.
    """

    flow: bytes
    held: HeldFlow
    segments: list[Segment]
    arrived_at: float
    wish: Wish
    unopened: bool = False
    closes: bool = False

    @property
    def due(self) -> float:
        """When it is late, seconds."""
        return self.arrived_at - self.wish.age_s + self.wish.objective_s

    @property
    def ends_at(self) -> float:
        """When its caller gives up, seconds, or a guess at that."""
        left_s = self.wish.left_s or self._usual_left_s()
        return self.arrived_at + left_s

    def _usual_left_s(self) -> float:
        if self.unopened or not self.wish.objective_s:
            return HOLD_MAX_S
        longest = HOLD_OPEN_OBJECTIVES * self.wish.objective_s
        return min(HOLD_OPEN_MAX_S, longest)

    def is_late(self, now: float, pace_s: float) -> bool:
        """Tells whether its answer would come after its objective."""
        return now + pace_s > self.due

    def last_start(self, pace_s: float) -> float:
        """Returns when a slot is of no more use to it, seconds."""
        return self.ends_at - LEAST_PACES * pace_s

    def wanted_by(self, now: float, pace_s: float) -> float:
        """Returns when it should get a slot lest its caller be lost, seconds.

        Whoever may be on a retry is first served in time for that. If it still
        waits after that time it was on its first try.
        """
        ends_at = self.ends_at
        if self.wish.may_be_retry and now <= ends_at - RETRY_S:
            ends_at -= RETRY_S
        return ends_at - SAFE_PACES * pace_s

    def is_given_up(self, segment: Segment, now: float) -> bool:
        """Tells whether a packet shows that the caller waits no longer."""
        if not self.unopened or not segment.closes or self.closes:
            return False
        return now - self.arrived_at >= CLOSES_AFTER_S

    def add(self, segment: Segment) -> None:
        """Adds a packet; copies and what exceeds the window are dropped."""
        self.closes = self.closes or segment.closes
        if len(self.segments) >= HELD_PACKETS_MAX:
            return
        if all(
            (known.seq, known.size) != (segment.seq, segment.size)
            for known in self.segments
        ):
            self.segments.append(segment)
