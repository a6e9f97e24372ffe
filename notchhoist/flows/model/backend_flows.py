"""The flows of one backend server, as tracked by its agent."""

import enum

from msgspec import Struct

from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.model.segments import (
    SEQUENCE_MODULUS,
    Segment,
    is_after,
    is_within,
)

ACK_WINDOW_BYTES = 1 << 20
"""How far a caller's acknowledgement may follow a server's initial sequence
number and still show that the caller chose this server, bytes. Initial numbers
are random in 2**32, so an acknowledgement of another server's data lies in the
window by chance once in 4,000."""

SERVICE_TIME_GAIN = 0.1
"""Weight of a new sample in the smoothed service time: it covers about the last
20 samples."""

CLOSED_KEPT_S = 3.0
"""How long a closed flow is kept for late retransmissions, seconds; more than
the longest interval between two retransmissions, 1.6 s."""

RETRANSMISSION_MIN_S = 0.1
"""Shortest time to a retransmission, seconds: both ends send data again after
0.2 s or more. Data with an old sequence number that arrives sooner was
reordered on the way, not sent again."""

STALLED_REQUEST_S = 1.5
"""A request without an answer for this long, seconds, and for
``STALLED_REQUEST_SERVICE_TIMES`` service times, no longer counts as using a
slot. Requests take up to six times the mean; one request too many at a backend
server only waits there."""

STALLED_REQUEST_SERVICE_TIMES = 8.0


EXPECTED_REQUEST_S = 0.2
"""How long an offered flow counts as a request, seconds: a caller sends its
request a round-trip time of 2 to 8 ms after the acceptance, and retransmits it
after 0.2 s if it was lost."""


IDLE_TIMEOUT_MIN_S = 5.0
"""Backend servers keep an idle flow for longer than this, seconds; in current
deployments they close it after 12 s."""


class Phase(enum.Enum):
    """Phase of a flow at a backend server.

    Attributes:
        OFFERED: Its opening packet was handed to the backend server.
        ACCEPTED: The backend server accepted it; the caller may still choose
            another server.
        OPEN: The caller chose this backend server.
        UNCONFIRMED: Unconfirmed: after a restart of the agent, a packet was
            handed to the server to learn whether the flow is there.
        REFUSED: The server accepted it, it never opened, and its caller gets a
            reset. The rest of the handshake must not reach the server now: the
            flow would open there, and the reset would end an open flow.
        CLOSED: One end has closed it.
    """

    OFFERED = "offered"
    ACCEPTED = "accepted"
    OPEN = "open"
    UNCONFIRMED = "tried"
    REFUSED = "refused"
    CLOSED = "closed"


ENDED_PHASES = (Phase.CLOSED, Phase.REFUSED)
"""Phases of ended flows; only a new opening can follow."""


class BackendFlow(Struct, eq=False):
    """A flow at the backend server.

    Attributes:
        phase: Its phase.
        balancer: Host of the balancer that forwards its packets.
        since: When it entered its phase, seconds.
        last_at: When it was last used, seconds.
        opening: The opening packet, until the server has answered it.
        hints: Request hints that came with the offer, or None. They are kept
            because the balancer that forwards the request may not know them.
        hints_received_at: When those hints came, seconds.
        server_seq: The backend server's initial sequence number.
        request_end: Sequence number after the newest request data.
        running_since: When the unanswered request arrived, or None.
        request_at: When the newest part of that request arrived, seconds.
        sampled: It is known here only from a sample packet, sent to answer a
            balancer's query.
        last_packet: The newest packet from the caller, from which a reset is
            made.
        confirmed_open_at: When the server last sent a packet that shows that
            the flow is open, seconds.
        last_data_packet: The newest packet from the caller that contains data.
        flow_probed_at: When the last flow probe, a retransmitted packet, was
            sent to the server, seconds, or None.
    """

    phase: Phase
    balancer: str
    since: float
    last_at: float
    opening: Segment | None = None
    hints: RequestHints | None = None
    hints_received_at: float = 0.0
    server_seq: int | None = None
    request_end: int | None = None
    running_since: float | None = None
    request_at: float = 0.0
    sampled: bool = False
    last_packet: Segment | None = None
    confirmed_open_at: float = float("-inf")
    last_data_packet: Segment | None = None
    flow_probed_at: float | None = None

    def hints_at(self, received: RequestHints, now: float) -> RequestHints:
        """Returns the hints on the first request and its caller.

        Args:
            received: Hints that came with the request, used without earlier
                ones.
            now: Runtime clock, seconds.
        """
        if self.hints is None:
            return received
        return self.hints.aged(now - self.hints_received_at)

    def is_busy(self, now: float, stuck_s: float, expected_s: float) -> bool:
        """Tells whether it has a request that runs or is about to arrive.

        Args:
            now: Runtime clock, seconds.
            stuck_s: How long a request without an answer counts, seconds.
            expected_s: How long a new flow counts as a request, seconds.
        """
        if self.running_since is not None:
            return now - self.running_since < stuck_s
        new = self.phase in (Phase.OFFERED, Phase.ACCEPTED)
        return new and now - self.since < expected_s

    def is_within_idle_timeout(self, now: float) -> bool:
        """Tells whether a running server must still have the flow."""
        return (
            self.phase is Phase.OPEN and now - self.since < IDLE_TIMEOUT_MIN_S
        )

    @property
    def is_confirmed_open(self) -> bool:
        """Whether the server itself has shown that it has the open flow."""
        return self.phase is Phase.OPEN and self.confirmed_open_at > float(
            "-inf"
        )

    @property
    def is_idle_since_probe(self) -> bool:
        """Whether its caller has sent nothing since the last flow probe."""
        return (
            self.flow_probed_at is not None
            and self.last_at <= self.flow_probed_at
        )

    def record_server_packet(self, segment: Segment, now: float) -> None:
        """Records what a packet from the server shows about the flow.

        An acceptance with another sequence number starts a new flow between the
        same addresses, which its caller may open at another server.
        """
        if not segment.accepts:
            self.confirmed_open_at = now
        elif self.server_seq is not None and segment.seq != self.server_seq:
            self.confirmed_open_at = float("-inf")
            self.last_packet = self.last_data_packet = None

    def is_chosen_by(self, segment: Segment) -> bool:
        """Tells whether a caller's packet shows that it chose this server."""
        if self.server_seq is None:
            return False
        return is_within(segment.ack, self.server_seq, ACK_WINDOW_BYTES)

    def is_new_data(self, segment: Segment) -> bool:
        """Tells whether a packet has data of the caller not seen before."""
        end = segment.seq + segment.size
        return self.request_end is None or is_after(end, self.request_end)

    def is_retransmission(self, segment: Segment, now: float) -> bool:
        """Tells whether a packet is a retransmission of the caller's data.

        Args:
            segment: A packet with data.
            now: Runtime clock, seconds.
        """
        reordered = now - self.request_at < RETRANSMISSION_MIN_S
        return not reordered and not self.is_new_data(segment)

    def record_request(self, segment: Segment, now: float) -> None:
        """Records new data from the caller."""
        self.request_end = (segment.seq + segment.size) % SEQUENCE_MODULUS
        self.request_at = now
        if self.running_since is None:
            self.running_since = now

    def record_ack(self, segment: Segment) -> None:
        """Records which data the server acknowledges.

        A restarted agent learns by it which data is a retransmission.
        """
        if self.request_end is None or is_after(segment.ack, self.request_end):
            self.request_end = segment.ack

    def record_answer(self, now: float) -> float | None:
        """Records data from the server.

        Returns:
            The service time if this answers a request, seconds, else None.
        """
        if self.running_since is None:
            return None
        elapsed = now - self.running_since
        self.running_since = None
        return elapsed
