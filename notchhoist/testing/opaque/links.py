"""Links of the stand-in's hosts: what does not fit is lost."""

import attrs

from notchhoist.links.packets import Outgoing
from notchhoist.links.scheduler import (
    BYTES_PER_S_PER_MBPS,
    LinkScheduler,
    make_scheduler,
)

HOLDS_S = 0.06
"""What a link's own queue holds, seconds; about 12 packets at 2 Mbit/s."""


@attrs.define(eq=False)
class HostLink:
    """The link of a host, and the scheduler of the process before it.

    Attributes:
        rate: What it carries, bytes a second; 0 for everything.
        scheduler: Decides what the process lets leave.
        free_at: When all that was taken is through, seconds.
        sent: Datagrams that were taken.
        lost: Datagrams that did not fit.
    """

    rate: float
    scheduler: LinkScheduler
    free_at: float = 0.0
    sent: int = 0
    lost: int = 0

    def carry(self, packet: Outgoing, now: float) -> float:
        """Returns how long a datagram takes through the link, or infinity."""
        if not self.rate:
            return 0.0
        if self.free_at - now > HOLDS_S:
            self.lost += 1
            return float("inf")
        self.sent += 1
        self.free_at = max(self.free_at, now) + packet.size / self.rate
        return self.free_at - now


def make_link(mbps: float = 0.0, paced: bool = True) -> HostLink:
    """Makes the link of a host.

    Args:
        mbps: What it carries, Mbit/s; 0 for everything.
        paced: The process lets no more leave than it carries.
    """
    return HostLink(
        mbps * BYTES_PER_S_PER_MBPS, make_scheduler(mbps if paced else 0.0)
    )
