"""Callers' packets that arrive before a balancer knows any route.

After a full outage, routers send packets to balancers that have started and
have not read the platform's store yet. A caller sends three copies of an
opening packet within 0.6 s and sends nothing more until its timeout at 1.4 s. A
copy that is dropped meanwhile costs the caller one of its three connection
attempts.
"""

import collections

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.model.segments import Segment

LAST_RETRANSMISSION_S = 0.6
"""Time from the first copy of an opening packet to the last, seconds. A
connection attempt whose copies all arrive before a balancer listens is not
seen."""

ACCEPTANCE_RETURN_S = 0.05
"""An opening packet is dropped this long before its caller's timeout, seconds:
a server's acceptance takes that long to return through a busy host."""

DATA_KEPT_S = 0.4
"""Other packets are kept this long, seconds: their senders retransmit them
after 0.2 s and 0.4 s, and each retransmission replaces the previous packet."""

EARLY_PACKETS_MAX = 4000
"""Most packets that are kept, one per flow: at 1.3 KB each they take 5 MB of
the 128 MB of the smallest host. 33,000 new flows a second on 580 hosts are 57
for each host."""


class EarlyPacket(Struct, frozen=True):
    """A packet that waits until routes and servers are known.

    Attributes:
        segment: The packet.
        received_at: When it arrived, seconds.
    """

    segment: Segment
    received_at: float

    def expires_at(self) -> float:
        """Returns when its caller no longer waits for it, seconds."""
        if not self.segment.opens:
            return self.received_at + DATA_KEPT_S
        return (
            self.received_at
            + ATTEMPT_TIMEOUT_S
            - ACCEPTANCE_RETURN_S
            - self.segment.waited_s
        )


class EarlyPackets(Struct, eq=False):
    """Buffers the newest packet of each flow until routes are known.

    Attributes:
        by_flow: The packets by the key of their flow, the oldest flow first.
        receiving_since: When this balancer began to receive callers' packets,
            seconds.
    """

    by_flow: collections.OrderedDict[bytes, EarlyPacket] = field(
        default_factory=collections.OrderedDict
    )

    receiving_since: float = float("inf")

    def note_start(self, now: float) -> None:
        """Records that callers' packets are received; the first call counts."""
        self.receiving_since = min(self.receiving_since, now)

    def may_be_retry(self, since: float) -> bool:
        """Tells whether a connection attempt may follow one that was not seen.

        Args:
            since: When the first packet of the attempt was sent, seconds.
        """
        return (
            since - ATTEMPT_TIMEOUT_S + LAST_RETRANSMISSION_S
            < self.receiving_since
        )

    def keep(self, segment: Segment, now: float) -> bool:
        """Keeps a packet, or forgets a flow that its caller resets.

        Args:
            segment: The packet.
            now: Runtime clock, seconds.

        Returns:
            Whether there was room for the packet.
        """
        if segment.resets:
            self.by_flow.pop(segment.flow, None)
            return True
        known = segment.flow in self.by_flow
        if not known and len(self.by_flow) >= EARLY_PACKETS_MAX:
            self._drop_expired(now)
            if len(self.by_flow) >= EARLY_PACKETS_MAX:
                return False
        self.by_flow[segment.flow] = EarlyPacket(segment, now)
        return True

    def _drop_expired(self, now: float) -> None:
        expired = [
            flow
            for flow, early in self.by_flow.items()
            if now >= early.expires_at()
        ]
        for flow in expired:
            del self.by_flow[flow]

    def take(self, now: float) -> list[Segment]:
        """Returns the packets that callers still wait for; clears the buffer.

        The time that an opening packet was kept is added to the waiting time of
        its caller.
        """
        self._drop_expired(now)
        waiting = list(self.by_flow.values())
        self.by_flow.clear()
        return [_with_current_age(early, now) for early in waiting]


def _with_current_age(early: EarlyPacket, now: float) -> Segment:
    segment = early.segment
    if not segment.opens:
        return segment
    waited_s = segment.waited_s + now - early.received_at
    return replace(segment, waited_s=waited_s)
