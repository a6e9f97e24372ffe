"""Requests that wait beside a backend server for one of its slots.

A backend server works on a few requests at once and queues the rest in the
order of arrival, so that after an outage everybody waits for what is late
already. The agent lets it have no more than it works on, and then picks what
can still be on time.
"""

from collections.abc import Iterable

from msgspec import Struct

from notchhoist.flows.held import HeldFlow
from notchhoist.flows.segments import Segment

HOLD_MAX_S = 0.9
"""A request whose flow has not opened waits here no longer, seconds; then its
caller gets an answer while there is time for another try. Below half of the
shortest timeout, 2 s."""

HOLD_OPEN_MAX_S = 1.5
HOLD_OPEN_OBJECTIVES = 6.0
"""A request on an open flow cannot be refused. It waits up to so many of its
objectives, and no longer than 1.5 s, while others can still be in time; then
the backend server gets it whatever else it has. Passed on after 0.9 s, late
requests took half of the slots of a service with twice its usual load."""

HELD_PACKETS_MAX = 16
"""Packets kept of one request; an end has no more under way."""


class Wish(Struct, frozen=True):
    """What a balancer says of a flow's requests.

    Attributes:
        objective_s: Latency objective, seconds; 0 for none.
        age_s: How long the caller has been waiting, seconds.
        priority: 0 is the highest.
        upload: Requests are large and work on them is short.
    """

    objective_s: float = 0.0
    age_s: float = 0.0
    priority: int = 0
    upload: bool = False


class HeldRequest(Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        flow: Key of its flow.
        held: The flow.
        segments: Its packets.
        arrived_at: When the first of them came, seconds.
        wish: What the balancer said.
        unopened: The backend server does not hold the end of the handshake,
            so nothing can have run.
    """

    flow: bytes
    held: HeldFlow
    segments: list[Segment]
    arrived_at: float
    wish: Wish
    unopened: bool = False

    @property
    def due(self) -> float:
        """When it is late, seconds."""
        return self.arrived_at - self.wish.age_s + self.wish.objective_s

    @property
    def hold_s(self) -> float:
        """How long it may wait, seconds."""
        if self.unopened or not self.wish.objective_s:
            return HOLD_MAX_S
        longest = HOLD_OPEN_OBJECTIVES * self.wish.objective_s
        return min(HOLD_OPEN_MAX_S, longest)

    @property
    def ends_at(self) -> float:
        """When it has waited for too long, seconds."""
        return self.arrived_at + self.hold_s

    def add(self, segment: Segment) -> None:
        """Adds a packet; copies and what exceeds the window are dropped."""
        if len(self.segments) >= HELD_PACKETS_MAX:
            return
        if all(
            (known.seq, known.size) != (segment.seq, segment.size)
            for known in self.segments
        ):
            self.segments.append(segment)


def pick(
    waiting: Iterable[HeldRequest], now: float, service_s: float
) -> HeldRequest | None:
    """Returns the request that gets the next slot, or None.

    First those that can still be on time: by priority, then the one that is
    late soonest. Then the others, by priority and age.

    Args:
        waiting: The requests that wait.
        now: Runtime clock, seconds.
        service_s: Time that the backend server takes for one, seconds.
    """
    return min(
        waiting,
        key=lambda item: _rank(item, now, service_s),
        default=None,
    )


def _rank(
    item: HeldRequest, now: float, service_s: float
) -> tuple[bool, int, float]:
    late = now + service_s > item.due
    order = item.arrived_at if late else item.due
    return (late, item.wish.priority, order)
