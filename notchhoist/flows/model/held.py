"""The flows of one backend server, as the agent beside it sees them."""

import enum

from msgspec import Struct

from notchhoist.flows.model.segments import (
    SEQUENCE_MODULUS,
    Segment,
    is_after,
    is_within,
)
from notchhoist.flows.model.wishes import Wish

ANSWER_WINDOW = 1 << 20
"""How far a caller's acknowledgement may lie behind a server's first number
and still show that the caller chose this server, bytes; opening numbers are
random in 2**32, so a stranger's falls in by chance once in 4,000."""

PACE_GAIN = 0.1
"""Weight of a new service time in the smoothed one: about the last 20."""

CLOSED_KEPT_S = 3.0
"""How long a closed flow is kept for stray copies, seconds; above the longest
pause between two copies, 1.6 s."""

COPY_AFTER_S = 0.1
"""Ends send data again after 0.2 s and more. What was seen before by its number
and comes sooner was overtaken by the packet behind it, seconds."""

STUCK_S = 1.5
"""A request that got no answer for so long, and for ``STUCK_PACES`` service
times, no longer counts as holding a slot. Work takes up to six times the mean;
one request too many at a backend server only waits there."""

STUCK_PACES = 8.0


EXPECTED_S = 0.2
"""A flow that was offered counts as a request for so long, seconds: a caller
asks a round trip of 2 to 8 ms after the acceptance, and sends a copy 0.2 s
later where that was lost."""


YOUNG_S = 5.0
"""Servers keep a silent flow for longer than this, seconds; they close idle
ones after 12 s on the deployments of today."""


class Phase(enum.Enum):
    """How far a flow has come.

    Attributes:
        OFFERED: Its opening packet was handed to the backend server.
        ACCEPTED: The backend server accepted; the caller may choose another.
        OPEN: The caller chose this backend server.
        TRIED: Handed over on suspicion after a restart of the agent.
        REFUSED: It was accepted but never opened, and its caller is told so.
            Were the end of its handshake to reach the server now, the flow
            would open there, and the reset be one of an open flow.
        CLOSED: One end has ended it.
    """

    OFFERED = "offered"
    ACCEPTED = "accepted"
    OPEN = "open"
    TRIED = "tried"
    REFUSED = "refused"
    CLOSED = "closed"


ENDED = (Phase.CLOSED, Phase.REFUSED)
"""Phases of a flow that can only begin anew."""


class HeldFlow(Struct, eq=False):
    """One flow at the backend server.

    Attributes:
        phase: How far it has come.
        balancer: Host of the balancer that its packets come through.
        since: When it got into its phase, seconds.
        last_at: When it was last used, seconds.
        opening: The opening packet, until the server has answered it.
        wish: What was said of its caller when it was offered, or None; the
            balancer that brings the request may not know it.
        wished_at: When that was, seconds.
        server_seq: The backend server's first sequence number.
        request_end: Sequence number after the newest request data.
        running_since: When the unanswered request arrived, or None.
        request_at: When the newest part of it arrived, seconds.
        sampled: It was only tried, to answer a balancer's question.
        sample: The newest packet from the caller, to reset it by.
        shown_at: When the server last sent a packet that shows it open,
            seconds.
        data: The newest packet from the caller that holds data.
        asked_at: When the server was last asked about it by a copy of a packet,
            seconds, or None.
    """

    phase: Phase
    balancer: str
    since: float
    last_at: float
    opening: Segment | None = None
    wish: Wish | None = None
    wished_at: float = 0.0
    server_seq: int | None = None
    request_end: int | None = None
    running_since: float | None = None
    request_at: float = 0.0
    sampled: bool = False
    sample: Segment | None = None
    shown_at: float = float("-inf")
    data: Segment | None = None
    asked_at: float | None = None

    def wish_now(self, told: Wish, now: float) -> Wish:
        """Returns what is known of the caller of the first request.

        Args:
            told: What came with the request.
            now: Runtime clock, seconds.
        """
        if self.wish is None:
            return told
        return self.wish.older(now - self.wished_at)

    def is_busy(self, now: float, stuck_s: float, expected_s: float) -> bool:
        """Tells whether it has a request that works, or one about to come.

        Args:
            now: Runtime clock, seconds.
            stuck_s: How long an answer may take, seconds.
            expected_s: How long a request is expected, seconds.
        """
        if self.running_since is not None:
            return now - self.running_since < stuck_s
        new = self.phase in (Phase.OFFERED, Phase.ACCEPTED)
        return new and now - self.since < expected_s

    def is_young(self, now: float) -> bool:
        """Tells whether a server that lives cannot have forgotten it yet."""
        return self.phase is Phase.OPEN and now - self.since < YOUNG_S

    @property
    def was_open_here(self) -> bool:
        """Whether the server itself has shown that it held the open flow."""
        return self.phase is Phase.OPEN and self.shown_at > float("-inf")

    @property
    def rests_asked(self) -> bool:
        """Whether its caller has sent nothing since the server was asked."""
        return self.asked_at is not None and self.last_at <= self.asked_at

    def note_shown(self, segment: Segment, now: float) -> None:
        """Takes account of what a server's packet shows of the flow.

        Another acceptance begins a new flow between the same addresses, which
        its caller may open elsewhere.
        """
        if not segment.accepts:
            self.shown_at = now
        elif self.server_seq is not None and segment.seq != self.server_seq:
            self.shown_at = float("-inf")
            self.sample = self.data = None

    def chosen_by(self, segment: Segment) -> bool:
        """Tells whether a caller's packet shows that it chose this server."""
        if self.server_seq is None:
            return False
        return is_within(segment.ack, self.server_seq, ANSWER_WINDOW)

    def is_new(self, segment: Segment) -> bool:
        """Tells whether a caller's data was not seen before."""
        end = segment.seq + segment.size
        return self.request_end is None or is_after(end, self.request_end)

    def is_copy(self, segment: Segment, now: float) -> bool:
        """Tells whether a caller sends data again.

        Args:
            segment: A packet with data.
            now: Runtime clock, seconds.
        """
        overtaken = now - self.request_at < COPY_AFTER_S
        return not overtaken and not self.is_new(segment)

    def note_request(self, segment: Segment, now: float) -> None:
        """Takes account of data from the caller that is new."""
        self.request_end = (segment.seq + segment.size) % SEQUENCE_MODULUS
        self.request_at = now
        if self.running_since is None:
            self.running_since = now

    def note_received(self, segment: Segment) -> None:
        """Takes account of what the server says it has received.

        An agent that has restarted learns by it which data is a copy.
        """
        if self.request_end is None or is_after(segment.ack, self.request_end):
            self.request_end = segment.ack

    def note_answer(self, now: float) -> float | None:
        """Takes account of data from the server.

        Returns:
            The service time where this ends a request, seconds, else None.
        """
        if self.running_since is None:
            return None
        elapsed = now - self.running_since
        self.running_since = None
        return elapsed
