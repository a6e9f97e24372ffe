"""Which request gets the next slot of a backend server, and which none.

Answers two loads. After an outage everybody who waited meanwhile asks at once,
while new callers arrive at the usual rate: requests that can still be on time
go first, but not at the price of those that are late already and would be lost.
A late answer serves its caller, none does not, and the backlog ends soon.

Where more new requests arrive than can be served, the backlog would never end:
each late one that is saved makes a new one late. Then those on time go first.
"""

import math
from collections.abc import Collection, Iterable, Sequence

from msgspec import Struct

from notchhoist.flows.decisions.holding import HeldRequest
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.wishes import Wish

FULL_LOAD = 1.1
SPARE_LOAD = 0.9
"""New requests per slot and service time. Below the lower one a backlog ends,
and late requests that would be lost go before those that can be on time; above
the upper one they don't; between the two they get a share of the slots. A tenth
on either side is what the smoothed service time is off by."""

LOAD_S = 1.0
"""New requests are counted over about this time, seconds: 20 of them at a
server with two slots, and soon enough to notice a burst."""

FRESH_S = 0.15
"""A request counts as new while its caller has waited no longer, seconds: the
second copy of an opening packet comes after 0.2 s."""


class SlotQueue(Struct, eq=False):
    """Shares out slots between requests that are late and that are not.

    Attributes:
        uses: Which mechanisms are in use.
        late_credit: Slots that late requests have coming.
        arrived: New requests, each counted less the longer ago it came.
        arrived_at: When the last one came, seconds.
    """

    uses: Mechanisms = ALL
    late_credit: float = 0.0
    arrived: float = 0.0
    arrived_at: float = float("-inf")

    def note_arrival(self, wish: Wish, now: float) -> None:
        """Counts a request if it is new."""
        if wish.may_be_retry or wish.age_s > FRESH_S:
            return
        self.arrived = self._recent(now) + 1.0
        self.arrived_at = now

    def _recent(self, now: float) -> float:
        return self.arrived * math.exp((self.arrived_at - now) / LOAD_S)

    def load(self, now: float, pace_s: float, slots: int) -> float:
        """Returns how much of the server new requests take; 1 is all of it."""
        per_s = self._recent(now) / LOAD_S
        return per_s * pace_s / max(1, slots)

    def late_share(self, now: float, pace_s: float, slots: int) -> float:
        """Returns the share of slots for late requests that would be lost."""
        if not self.uses.late_first:
            return 0.0
        if not self.uses.load_of_new:
            return 1.0
        spare = FULL_LOAD - self.load(now, pace_s, slots)
        return min(1.0, max(0.0, spare / (FULL_LOAD - SPARE_LOAD)))

    def pick(
        self,
        waiting: Collection[HeldRequest],
        now: float,
        pace_s: float,
        slots: int,
    ) -> HeldRequest | None:
        """Returns the request that gets the next slot, or None.

        Args:
            waiting: The requests that wait.
            now: Runtime clock, seconds.
            pace_s: Time that the backend server takes for one, seconds.
            slots: Requests that it works on at once.
        """
        if not self.uses.order:
            return min(waiting, key=lambda item: item.arrived_at, default=None)
        others = [item for item in waiting if not item.closes]
        waiting = others or list(waiting)
        late: list[HeldRequest] = []
        punctual: list[HeldRequest] = []
        for item in waiting:
            is_late = item.is_late(now, pace_s)
            if not is_late:
                punctual.append(item)
            if is_late or item.wish.may_be_retry:
                late.append(item)
        late.sort(key=lambda item: item.wanted_by(now, pace_s))
        if not punctual:
            return first_useful(late, now, pace_s)
        best = min(punctual, key=self._rank)
        if not is_pressed(late, now, pace_s, slots):
            return best
        self.late_credit += self.late_share(now, pace_s, slots)
        if self.late_credit < 1.0:
            return best
        self.late_credit -= 1.0
        return first_useful(late, now, pace_s) or best

    def _rank(self, item: HeldRequest) -> tuple[int, float]:
        priority = item.wish.priority if self.uses.priority else 0
        return priority, item.due


def hopeless(
    waiting: Iterable[HeldRequest], now: float, pace_s: float, slots: int
) -> list[HeldRequest]:
    """Returns requests that would get no slot if all went to late ones.

    They are told at once, not when their time is over. Others are not known to
    be in vain: a burst may end, and callers leave.

    Args:
        waiting: The requests that wait.
        now: Runtime clock, seconds.
        pace_s: Service time, seconds.
        slots: Slots of the backend server.
    """
    late = [item for item in waiting if item.is_late(now, pace_s)]
    late.sort(key=lambda item: (item.closes, item.last_start(pace_s)))
    start = now
    in_vain = []
    for item in late:
        if start > item.last_start(pace_s):
            in_vain.append(item)
        else:
            start += pace_s / max(1, slots)
    return in_vain


def first_useful(
    late: Sequence[HeldRequest], now: float, pace_s: float
) -> HeldRequest | None:
    """Returns the first whose caller still waits for the answer, else any."""
    for item in late:
        if now <= item.last_start(pace_s):
            return item
    return late[0] if late else None


def is_pressed(
    late: Sequence[HeldRequest], now: float, pace_s: float, slots: int
) -> bool:
    """Tells whether a late request is lost unless late ones go first now.

    Args:
        late: Late requests, those whose callers give up first in front.
        now: Runtime clock, seconds.
        pace_s: Service time, seconds.
        slots: Slots of the backend server.
    """
    start = now
    step_s = pace_s / max(1, slots)
    for item in late:
        if now > item.last_start(pace_s):
            continue
        start += step_s
        if start > item.wanted_by(now, pace_s):
            return True
    return False
