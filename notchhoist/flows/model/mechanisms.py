"""Switches: each mechanism can be put out of use, to see what it is worth.

All are in use unless the settings say otherwise. ``benchmarks/ablate.py`` plays
days with one of them out of use after the other.
"""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import fields, replace


class Mechanisms(Struct, frozen=True):
    """Which mechanisms are in use.

    Attributes:
        load: New flows go by load; else by chance.
        own_offers: A balancer's own offers count before agents tell of them.
        zone: Servers of the own zone are preferred.
        uploads_near: Uploads leave their zone only in need.
        pace: Servers that are slow count as smaller.
        failing: Servers that fail behind a good health check count as slower.
        early: Packets that come before routes are known are kept.
        kept_wish: Flows that were searched for keep what their requests wish.
        confirming: The platform confirms the list before a lost flow is reset.
        isolation: A balancer that hears nobody is not ready.
        few_readers: A few balancers read the store for all.
        narrow_patience: On a narrow link agents may be silent for longer.
        holding: Requests wait beside the server for a slot.
        order: What can be on time goes first; else the order of arrival.
        late_first: Late requests that would be lost go first.
        load_of_new: They don't where new requests fill the server.
        priority: Among those on time, a higher priority goes first.
        at_once: Requests that wait in vain are refused at once.
        doubt: Callers that may be on a second try are served in time for it.
        leavers: Callers that close their flow no longer wait.
        opening_wish: Agents keep what the opening packet said.
        expected: Flows that were just offered count as requests.
        anew: Agents that started with a whole service know all its flows.
        if_free: New flows are first offered to servers with a free slot.
        splits: Where routes split, flows are searched for at all services.
        resting: Flows that rest are reset when their server is gone; also, a
            list of servers that has once settled stays so for searches.
        distances: Offers reckon with the measured distance between zones, and
            no flow is offered twice while its first offer may be answered.
        pieces: Balancers tell each other large views compressed, in pieces.
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
        """Returns the same with some out of use; names must be known.

        Examples:
            >>> Mechanisms().without(["early"]).early
            False
        """
        return replace(self, **dict.fromkeys(names, False))


NAMES = tuple(item.name for item in fields(Mechanisms))

ALL = Mechanisms()
