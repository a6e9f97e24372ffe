"""Network links of the simulated hosts; a full link queue drops packets."""

import attrs

from notchhoist.links.packets import Outgoing
from notchhoist.links.scheduler import (
    BYTES_PER_S_PER_MBPS,
    LinkScheduler,
    make_scheduler,
)

QUEUE_LIMIT_S = 0.06
"""Limit of a link's own queue, seconds; about 12 packets at 2 Mbit/s."""


@attrs.define(eq=False)
class HostLink:
    """The link of a host, and the packet scheduler of the process in front.

    Attributes:
        rate: Capacity, bytes a second; 0 for no limit.
        scheduler: Decides which packets the process sends, and when.
        free_at: When all queued datagrams are transmitted, seconds.
        sent: Number of transmitted datagrams.
        lost: Number of datagrams dropped at a full queue.
    """

    rate: float
    scheduler: LinkScheduler
    free_at: float = 0.0
    sent: int = 0
    lost: int = 0

    def carry(self, packet: Outgoing, now: float) -> float:
        """Queues a datagram; returns its delay, or infinity if dropped."""
        if not self.rate:
            return 0.0
        if self.free_at - now > QUEUE_LIMIT_S:
            self.lost += 1
            return float("inf")
        self.sent += 1
        self.free_at = max(self.free_at, now) + packet.size / self.rate
        return self.free_at - now


def make_link(mbps: float = 0.0, paced: bool = True) -> HostLink:
    """Makes the link of a host.

    Args:
        mbps: Capacity, Mbit/s; 0 for no limit.
        paced: The process sends no faster than the link carries.
    """
    return HostLink(
        mbps * BYTES_PER_S_PER_MBPS, make_scheduler(mbps if paced else 0.0)
    )
