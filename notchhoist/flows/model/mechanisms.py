"""Switches that disable single mechanisms, to measure what each is worth.

All mechanisms are enabled unless the settings disable them.
``benchmarks/ablate.py`` plays days with one mechanism after the other disabled.
"""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import fields, replace


class Mechanisms(Struct, frozen=True):
    """Which mechanisms are enabled.

    Attributes:
        load: New flows are placed by load; otherwise at random.
        own_offers: A balancer counts its own offers before agents report them.
        zone: Servers of the local zone are preferred.
        uploads_near: Uploads leave the local zone only if necessary.
        pace: Servers with a long service time count as smaller.
        failing: Servers that fail requests while their health check passes
            count as slower.
        early: Packets that arrive before routes are known are kept.
        kept_wish: Flows that were searched for keep their request hints.
        confirming: The platform confirms the server list before a flow that was
            not found is reset.
        isolation: A balancer that receives nothing from others is not ready.
        few_readers: A few balancers read the store on behalf of all.
        narrow_patience: Over a low-bandwidth link, agents may be silent for
            longer.
        holding: Requests queue at the agent for a slot of the server.
        order: Requests that can be answered on time go first; otherwise the
            order of arrival applies.
        late_first: Late requests that would otherwise be lost go first.
        load_of_new: ``late_first`` applies only as far as new requests leave
            capacity of the server unused.
        priority: Among requests that can be on time, a higher priority goes
            first.
        at_once: Requests that cannot be served in time are refused at once.
        doubt: Callers that may be on a retry are served within its earlier
            deadline.
        leavers: Callers that close their flow no longer wait.
        opening_wish: Agents keep the request hints of the opening packet.
        expected: Flows that were just offered count as requests.
        anew: After a cold restart of a whole service, its agents know all of
            its flows.
        if_free: New flows are first offered to servers with a free slot.
        splits: Where a route names several services, flows are searched for at
            all of them.
        resting: Idle flows are reset when their server has exited. Also, once a
            server list is stable, it stays stable for searches.
        distances: Offers take the measured network distance between zones into
            account, and no flow is offered again while an answer to its first
            offer may still arrive.
        pieces: Balancers send each other large views compressed, in pieces.
    """

    load: bool = True
    own_offers: bool = True
    zone: bool = True
    uploads_near: bool = True
    pace: bool = True
    failing: bool = True
    early: bool = True
    kept_wish: bool = True
    confirming: bool = True
    isolation: bool = True
    few_readers: bool = True
    narrow_patience: bool = True
    holding: bool = True
    order: bool = True
    late_first: bool = True
    load_of_new: bool = True
    priority: bool = True
    at_once: bool = True
    doubt: bool = True
    leavers: bool = True
    opening_wish: bool = True
    expected: bool = True
    anew: bool = True
    if_free: bool = True
    splits: bool = True
    resting: bool = True
    distances: bool = True
    pieces: bool = True

    def without(self, names: Iterable[str]) -> "Mechanisms":
        """Returns a copy with some mechanisms disabled; the names must exist.

        Examples:
            >>> Mechanisms().without(["early"]).early
            False
        """
        return replace(self, **dict.fromkeys(names, False))


NAMES = tuple(item.name for item in fields(Mechanisms))

ALL = Mechanisms()
