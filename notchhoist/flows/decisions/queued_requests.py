"""Requests that are queued at the agent for a slot of its backend server.

A backend server works on a few requests at once and queues the rest in order of
arrival, so that after an outage every request waits behind those that are late
already. The agent therefore forwards no more requests than the server works on
at once; the rest are queued here, and ``queueing`` picks from them.
"""

from msgspec import Struct

from notchhoist.flows.model.backend_flows import BackendFlow
from notchhoist.flows.model.request_hints import RETRY_DELAY_MAX_S, RequestHints
from notchhoist.flows.model.segments import Segment

DEFAULT_WAIT_MAX_S = 0.9
"""A caller whose timeout is not known is assumed to wait this long, seconds:
below half of the shortest timeout, 2 s, which leaves time for a retry."""

OPEN_FLOW_WAIT_MAX_S = 1.5
OPEN_FLOW_WAIT_OBJECTIVES = 6.0
"""The same for a request on an open flow, which cannot be refused: this many
latency objectives, but at most 1.5 s. When late requests were forwarded after
0.9 s, they took half of the slots of a service at twice its usual load."""

SAFE_START_SERVICE_TIMES = 2.0
LATEST_START_SERVICE_TIMES = 0.5
"""A request should get its slot ``SAFE_START_SERVICE_TIMES`` service times
before its caller's timeout, and must get it ``LATEST_START_SERVICE_TIMES``
before. Service times follow a lognormal distribution with a sigma of 0.5: 92%
of requests take less than the first, 8% less than the second. With one value
for both, requests that are picked at the last moment would be dropped just
before."""

ABANDONED_AFTER_S = 0.1
"""A caller that closes its flow this long after its request, seconds, and
before the request has run, has abandoned the request. A caller that only
half-closes its flow and waits for the answer closes it along with the request.
Such a request is served when no other waits, since nearly all callers that did
so after an outage had abandoned it before they were accepted."""

QUEUED_PACKETS_MAX = 16
"""Most packets that are kept of one request; an endpoint has no more in
flight."""


class QueuedRequest(Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        flow: Key of its flow.
        held: State of the flow at the agent.
        segments: Its packets.
        arrived_at: When the first packet arrived, seconds.
        hints: Hints on the request and its caller, as of ``arrived_at``.
        unopened: The last packet of the handshake has not been forwarded to the
            backend server, so the request cannot have run.
        closes: Its caller has closed the flow along with the request: it
            expects no answer after this one, or has abandoned the request.
    """

    flow: bytes
    held: BackendFlow
    segments: list[Segment]
    arrived_at: float
    hints: RequestHints
    unopened: bool = False
    closes: bool = False

    @property
    def due(self) -> float:
        """When its latency objective ends, seconds."""
        return self.arrived_at - self.hints.waited_s + self.hints.objective_s

    @property
    def expires_at(self) -> float:
        """When its caller's timeout ends, known or assumed, seconds."""
        left_s = self.hints.remaining_s or self._default_remaining_s()
        return self.arrived_at + left_s

    def _default_remaining_s(self) -> float:
        if self.unopened or not self.hints.objective_s:
            return DEFAULT_WAIT_MAX_S
        longest_s = OPEN_FLOW_WAIT_OBJECTIVES * self.hints.objective_s
        return min(OPEN_FLOW_WAIT_MAX_S, longest_s)

    def is_late(self, now: float, pace_s: float) -> bool:
        """Tells whether its answer would miss its latency objective."""
        return now + pace_s > self.due

    def latest_start(self, pace_s: float) -> float:
        """Returns the latest time at which a slot is of use to it, seconds."""
        return self.expires_at - LATEST_START_SERVICE_TIMES * pace_s

    def safe_start(self, now: float, pace_s: float) -> float:
        """Returns when it should get a slot to be answered in time, seconds.

        A caller that may be on a retry has ``RETRY_DELAY_MAX_S`` less left. It
        is first served as if it were; if it still waits after that time, this
        is its first connection attempt.
        """
        ends_at = self.expires_at
        if self.hints.may_be_retry and now <= ends_at - RETRY_DELAY_MAX_S:
            ends_at -= RETRY_DELAY_MAX_S
        return ends_at - SAFE_START_SERVICE_TIMES * pace_s

    def shows_abandonment(self, segment: Segment, now: float) -> bool:
        """Tells whether a packet shows that the caller abandoned the request.

        Args:
            segment: The caller's packet.
            now: Runtime clock, seconds.
        """
        if not self.unopened or not segment.closes or self.closes:
            return False
        return now - self.arrived_at >= ABANDONED_AFTER_S

    def add(self, segment: Segment) -> None:
        """Adds a packet.

        Retransmissions and packets beyond ``QUEUED_PACKETS_MAX`` are dropped.
        """
        self.closes = self.closes or segment.closes
        if len(self.segments) >= QUEUED_PACKETS_MAX:
            return
        if all(
            (known.seq, known.size) != (segment.seq, segment.size)
            for known in self.segments
        ):
            self.segments.append(segment)
