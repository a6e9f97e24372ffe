"""Callers' packets that come before a balancer knows where anything goes.

After an outage of everything the routers send to balancers that have started
and have not read the platform's store yet. A caller sends three copies of an
opening packet in 0.6 s and waits in silence until 1.4 s: a copy that is thrown
away meanwhile costs it the whole try, and it has three.
"""

import collections

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.wishes import TRY_S

LAST_COPY_S = 0.6
"""The last copy of an opening packet follows the first after this, seconds; a
try whose copies all came before a balancer listened is not seen."""

ANSWER_S = 0.05
"""An opening packet is dropped so long before its caller gives up, seconds: a
server's acceptance takes that long to come back through a crowded host."""

DATA_KEPT_S = 0.4
"""Other packets are kept for so long, seconds: their senders send copies after
0.2 s and 0.4 s, and each copy takes the place of the one before."""

PACKETS_MAX = 4000
"""Packets kept at the most, one a flow: at 1.3 KB each 5 MB of the 128 MB that
the smallest host has. 33,000 new flows a second on 580 hosts are 57 each."""


class EarlyPacket(Struct, frozen=True):
    """A packet that waits until routes and servers are known.

    Attributes:
        segment: The packet.
        came_at: When it came, seconds.
    """

    segment: Segment
    came_at: float

    def ends_at(self) -> float:
        """Returns when nobody waits for it any more, seconds."""
        if not self.segment.opens:
            return self.came_at + DATA_KEPT_S
        return self.came_at + TRY_S - ANSWER_S - self.segment.waited_s


class EarlyPackets(Struct, eq=False):
    """Keeps the newest packet of each flow, the oldest flow first.

    Attributes:
        by_flow: The packets.
        known_from: Since when callers' packets have been seen here, seconds.
    """

    by_flow: collections.OrderedDict[bytes, EarlyPacket] = field(
        default_factory=collections.OrderedDict
    )

    known_from: float = float("inf")

    def note_start(self, now: float) -> None:
        """Notes that callers' packets are seen from now on, if not before."""
        self.known_from = min(self.known_from, now)

    def may_be_retry(self, since: float) -> bool:
        """Tells whether a try that began at a time may follow an unseen one.

        Args:
            since: When its first packet was sent, seconds.
        """
        return since - TRY_S + LAST_COPY_S < self.known_from

    def keep(self, segment: Segment, now: float) -> bool:
        """Keeps a packet; tells whether there was room for it."""
        if segment.resets:
            self.by_flow.pop(segment.flow, None)
            return True
        known = segment.flow in self.by_flow
        if not known and len(self.by_flow) >= PACKETS_MAX:
            self._drop_ended(now)
            if len(self.by_flow) >= PACKETS_MAX:
                return False
        self.by_flow[segment.flow] = EarlyPacket(segment, now)
        return True

    def _drop_ended(self, now: float) -> None:
        ended = [
            flow
            for flow, early in self.by_flow.items()
            if now >= early.ends_at()
        ]
        for flow in ended:
            del self.by_flow[flow]

    def take(self, now: float) -> list[Segment]:
        """Returns the packets that callers still wait for, and forgets all.

        An opening packet says that its caller has waited for as long as it was
        kept besides.
        """
        self._drop_ended(now)
        waiting = list(self.by_flow.values())
        self.by_flow.clear()
        return [_aged(early, now) for early in waiting]


def _aged(early: EarlyPacket, now: float) -> Segment:
    segment = early.segment
    if not segment.opens:
        return segment
    waited_s = segment.waited_s + now - early.came_at
    return replace(segment, waited_s=waited_s)
