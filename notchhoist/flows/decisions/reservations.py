"""Flows that wait at balancers for a slot of one backend server.

The load it answers is that of ``parking``. Who gets the next slot is decided as
among requests that wait beside the server.
"""

from collections.abc import Collection

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.decisions.holding import WaitingCaller
from notchhoist.flows.decisions.queueing import SlotQueue
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.wishes import TRY_S, Wish

KEPT_MAX = 1000
"""Reservations kept at the most; 500 bytes each."""

DEFER_S = 0.01
"""A reservation is left to others for so long, for each request that waits
beside the server, seconds: the server with the shortest queue calls first."""

URGENT_PACES = 3.0
"""Service times before it is late that a reservation is not left to others."""

AHEAD = 3
"""Requests that are called ahead of a free slot: the next ones are there when
it becomes free, also where balancers stand still for a few service times."""

REST_S = 0.1
"""A balancer that has not answered a call is called again after this time,
seconds."""


class Reservation(WaitingCaller, eq=False, kw_only=True):
    """A flow that waits at a balancer.

    Attributes:
        host: Host of the balancer.
        segment: Its opening packet.
    """

    host: str
    segment: Segment

    def is_over(self, now: float, pace_s: float) -> bool:
        """Tells whether its balancer has bound it, or a slot comes too late."""
        ends_at = self.arrived_at + TRY_S - self.wish.age_s
        return now >= min(ends_at, self.last_start(pace_s))


class Call(Struct, eq=False):
    """A call that its balancer has not answered.

    Attributes:
        reservation: The flow that was called.
        since: When, seconds.
    """

    reservation: Reservation
    since: float

    @property
    def host(self) -> str:
        """Host of the balancer."""
        return self.reservation.host


class Line(Struct, frozen=True):
    """What a backend server has to do already.

    Attributes:
        waiting: Requests that wait beside it.
        before: Requests that run before one that is called now.
        pace_s: Its service time, seconds.
        slots: Requests that it works on at once.
    """

    waiting: Collection[WaitingCaller]
    before: int
    pace_s: float
    slots: int

    def takes(self, item: Reservation, now: float) -> bool:
        """Tells whether a flow had better be called here now.

        Only one that will be on time here, unless the server runs out of work.
        While requests wait here, others may have a slot sooner; a flow cannot
        leave again.
        """
        if item.is_late(now, self.pace_s):
            return not self.waiting and self.before <= self.slots
        queue_s = max(0, self.before - self.slots) * self.pace_s / self.slots
        if item.is_late(now + queue_s, self.pace_s):
            return False
        waited_s = now - item.arrived_at
        is_urgent = now + URGENT_PACES * self.pace_s > item.due
        return is_urgent or waited_s >= DEFER_S * len(self.waiting)


class Reservations(Struct, eq=False):
    """What balancers have reserved.

    Attributes:
        by_key: Reservations by balancer and flow.
        resting: Balancers that are not to be called, and until when, seconds.
    """

    by_key: dict[tuple[str, bytes], Reservation] = field(default_factory=dict)
    resting: dict[str, float] = field(default_factory=dict)

    def keep(self, host: str, segment: Segment, wish: Wish, now: float) -> bool:
        """Keeps a reservation, or the news of one; tells whether it could."""
        key = (host, segment.flow)
        if key not in self.by_key and len(self.by_key) >= KEPT_MAX:
            return False
        self.by_key[key] = Reservation(
            segment.flow, now, wish, unopened=True, host=host, segment=segment
        )
        return True

    def drop(self, host: str, flow: bytes) -> Reservation | None:
        """Drops a reservation, if there is one, and returns it."""
        return self.by_key.pop((host, flow), None)

    def put_off(self, reservation: Reservation, now: float) -> None:
        """Keeps a reservation whose balancer has not answered a call."""
        key = (reservation.host, reservation.flow)
        self.by_key.setdefault(key, reservation)
        self.resting[reservation.host] = now + REST_S

    def drop_host(self, host: str) -> None:
        """Drops the reservations of a balancer."""
        for key in [key for key in self.by_key if key[0] == host]:
            del self.by_key[key]

    def pick(
        self, queue: SlotQueue, line: Line, now: float
    ) -> Reservation | None:
        """Takes out the reservation that is called next, or None.

        Args:
            queue: Says who is first.
            line: What the backend server has to do already.
            now: Runtime clock, seconds.
        """
        for key, item in list(self.by_key.items()):
            if item.is_over(now, line.pace_s):
                del self.by_key[key]
        ready = [
            item
            for item in self.by_key.values()
            if now >= self.resting.get(item.host, 0.0) and line.takes(item, now)
        ]
        waiting = [*ready, *line.waiting]
        best = replace(queue).pick(waiting, now, line.pace_s, line.slots)
        if not isinstance(best, Reservation):
            return None
        queue.pick(waiting, now, line.pace_s, line.slots)
        return self.drop(best.host, best.flow)
