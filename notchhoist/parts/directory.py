"""A bounded directory of the owners of flows, with leases."""

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from notchhoist import model


@attrs.define
class Pointer:
    """Owner of a flow, with the time of the latest report.

    Attributes:
        owner: Agent that owns the flow.
        heard_at: Runtime clock when the owner, or the agent that assigned the
            flow to it, reported the ownership, seconds.
        pinned: The flow has a stream or an upload at the owner.
    """

    owner: model.Endpoint
    heard_at: float
    pinned: bool = False


@attrs.define
class Directory:
    """Maps callers to the agents that own their flows.

    Reports carry their age, so the newest one wins in any order of arrival
    without synchronized clocks.

    Examples:
        >>> directory = Directory(lease_s=10.0, capacity=100)
        >>> caller, agent = model.Endpoint("c", 1), model.Endpoint("a", 2)
        >>> directory.set_pointer(caller, agent, now=0.0)
        >>> directory.find(caller, now=5.0).owner == agent
        True
        >>> directory.find(caller, now=11.0) is None
        True

    Attributes:
        lease_s: Time after which a pointer without renewal expires, seconds.
        capacity: Maximum number of pointers; beyond it the least recently set
            one is dropped.
        pointers: The pointers, least recently set first.
    """

    lease_s: float
    capacity: int
    pointers: OrderedDict[model.Endpoint, Pointer] = attrs.Factory(OrderedDict)

    def set_pointer(
        self,
        caller: model.Endpoint,
        owner: model.Endpoint,
        now: float,
        pinned: bool = False,
    ) -> None:
        """Sets or renews a caller's pointer unless a newer one is known."""
        known = self.pointers.get(caller)
        if known is not None and known.heard_at > now:
            return
        self.pointers[caller] = Pointer(owner, now, pinned)
        self.pointers.move_to_end(caller)
        if len(self.pointers) > self.capacity:
            self.pointers.popitem(last=False)

    def find(self, caller: model.Endpoint, now: float) -> Pointer | None:
        """Returns the pointer of a caller, or None if its lease expired."""
        pointer = self.pointers.get(caller)
        if pointer is None or now - pointer.heard_at > self.lease_s:
            return None
        return pointer

    def forget(self, caller: model.Endpoint) -> None:
        """Removes the pointer of a caller, if there is one."""
        self.pointers.pop(caller, None)

    def owned_by(self, owner: model.Endpoint) -> Iterator[model.Endpoint]:
        """Yields the callers whose flows an agent owns."""
        for caller, pointer in self.pointers.items():
            if pointer.owner == owner:
                yield caller

    def expire(self, now: float) -> None:
        """Removes expired pointers from the start of the directory.

        It stops at the first pointer whose lease is valid; an expired one
        behind it stays, and ``find`` ignores it.
        """
        while self.pointers:
            caller, pointer = next(iter(self.pointers.items()))
            if now - pointer.heard_at <= self.lease_s:
                return
            del self.pointers[caller]
