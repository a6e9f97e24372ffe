"""Which queued request gets the next slot of a backend server, and which none.

Two situations need different orders. After an outage all waiting callers send
their requests at once, while new ones arrive at the usual rate. Requests that
can still meet their latency objective go first, except before late requests
whose callers would otherwise time out: a late answer is better than none, and
the backlog is short-lived.

If new requests exceed the capacity of the server, the backlog never ends, and
each late request that is served makes a new one late. Then requests that can be
on time go first.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from msgspec import Struct

from notchhoist.flows.decisions.queued_requests import QueuedRequest
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.request_hints import RequestHints

FULL_LOAD = 1.1
SPARE_LOAD = 0.9
"""Loads, as new requests per slot and service time. Below ``SPARE_LOAD`` a
backlog ends, and late requests that would otherwise be abandoned go before
those that can be on time. Above ``FULL_LOAD`` they don't, and in between they
get a share of the slots. The margin of a tenth on either side is the error of
the smoothed service time."""

LOAD_WINDOW_S = 1.0
"""Time constant of the decaying count of new requests, seconds: it holds 20
requests at a server with two slots, and is short enough to notice a burst."""

NEW_REQUEST_MAX_AGE_S = 0.15
"""A request counts as new if its caller has waited at most this long, seconds:
the second copy of an opening packet arrives after 0.2 s."""


class SlotQueue(Struct, eq=False):
    """Divides slots between late requests and those that can be on time.

    Attributes:
        uses: Which mechanisms are in use.
        late_credit: Slots that late requests are entitled to.
        recent_arrivals: Exponentially decaying count of new requests, as of
            ``arrived_at``.
        arrived_at: When the last new request arrived, seconds.
    """

    uses: Mechanisms = ALL
    late_credit: float = 0.0
    recent_arrivals: float = 0.0
    arrived_at: float = float("-inf")

    def record_arrival(self, hints: RequestHints, now: float) -> None:
        """Counts a request if it is new.

        Args:
            hints: Hints on the request and its caller.
            now: Runtime clock, seconds.
        """
        if hints.may_be_retry or hints.waited_s > NEW_REQUEST_MAX_AGE_S:
            return
        self.recent_arrivals = self._decayed_arrivals(now) + 1.0
        self.arrived_at = now

    def _decayed_arrivals(self, now: float) -> float:
        return self.recent_arrivals * math.exp(
            (self.arrived_at - now) / LOAD_WINDOW_S
        )

    def load(self, now: float, pace_s: float, slots: int) -> float:
        """Returns the load of new requests; 1 is the server's capacity.

        Args:
            now: Runtime clock, seconds.
            pace_s: Service time, seconds.
            slots: Slots of the backend server.
        """
        per_s = self._decayed_arrivals(now) / LOAD_WINDOW_S
        return per_s * pace_s / max(1, slots)

    def late_share(self, now: float, pace_s: float, slots: int) -> float:
        """Returns the share of slots that urgent late requests get.

        A late request is urgent if its caller would abandon it otherwise.

        Args:
            now: Runtime clock, seconds.
            pace_s: Service time, seconds.
            slots: Slots of the backend server.
        """
        if not self.uses.late_first:
            return 0.0
        if not self.uses.load_of_new:
            return 1.0
        spare = FULL_LOAD - self.load(now, pace_s, slots)
        return min(1.0, max(0.0, spare / (FULL_LOAD - SPARE_LOAD)))

    def pick(
        self,
        waiting: Collection[QueuedRequest],
        now: float,
        pace_s: float,
        slots: int,
    ) -> QueuedRequest | None:
        """Returns the request that gets the next slot, or None.

        Args:
            waiting: The queued requests.
            now: Runtime clock, seconds.
            pace_s: Service time, seconds.
            slots: Slots of the backend server.
        """
        if not self.uses.order:
            return min(waiting, key=lambda item: item.arrived_at, default=None)
        not_closing = [item for item in waiting if not item.closes]
        waiting = not_closing or list(waiting)
        late: list[QueuedRequest] = []
        on_time: list[QueuedRequest] = []
        for item in waiting:
            is_late = item.is_late(now, pace_s)
            if not is_late:
                on_time.append(item)
            if is_late or item.hints.may_be_retry:
                late.append(item)
        late.sort(key=lambda item: item.safe_start(now, pace_s))
        if not on_time:
            return first_servable(late, now, pace_s)
        best = min(on_time, key=self._rank)
        if not has_urgent(late, now, pace_s, slots):
            return best
        self.late_credit += self.late_share(now, pace_s, slots)
        if self.late_credit < 1.0:
            return best
        self.late_credit -= 1.0
        return first_servable(late, now, pace_s) or best

    def _rank(self, item: QueuedRequest) -> tuple[int, float]:
        priority = item.hints.priority if self.uses.priority else 0
        return priority, item.due


def unservable(
    waiting: Iterable[QueuedRequest], now: float, pace_s: float, slots: int
) -> list[QueuedRequest]:
    """Returns late requests that get no slot even if late ones get all slots.

    They are refused at once, not only at their callers' timeouts. Nothing is
    certain about the others: a burst may end, and callers may abandon requests.

    Args:
        waiting: The queued requests.
        now: Runtime clock, seconds.
        pace_s: Service time, seconds.
        slots: Slots of the backend server.
    """
    late = [item for item in waiting if item.is_late(now, pace_s)]
    late.sort(key=lambda item: (item.closes, item.latest_start(pace_s)))
    start = now
    dropped = []
    for item in late:
        if start > item.latest_start(pace_s):
            dropped.append(item)
        else:
            start += pace_s / max(1, slots)
    return dropped


def first_servable(
    late: Sequence[QueuedRequest], now: float, pace_s: float
) -> QueuedRequest | None:
    """Returns the first late request that can still be answered in time.

    If there is none, returns the first one, or None if there are no requests.

    Args:
        late: Late requests, in the order in which they are served.
        now: Runtime clock, seconds.
        pace_s: Service time, seconds.
    """
    for item in late:
        if now <= item.latest_start(pace_s):
            return item
    return late[0] if late else None


def has_urgent(
    late: Sequence[QueuedRequest], now: float, pace_s: float, slots: int
) -> bool:
    """Tells whether a late request is abandoned unless late ones go first now.

    Args:
        late: Late requests, ordered by ``safe_start``.
        now: Runtime clock, seconds.
        pace_s: Service time, seconds.
        slots: Slots of the backend server.
    """
    start = now
    interval_s = pace_s / max(1, slots)
    for item in late:
        if now > item.latest_start(pace_s):
            continue
        start += interval_s
        if start > item.safe_start(now, pace_s):
            return True
    return False
