"""What the flows of a route are like, as a balancer sees them.

The kind of a route says whether its requests may run twice. Whether a flow
carries one of them or many, and how much goes each way, decides where it is
best placed, and shows in the callers' own packets.
"""

from msgspec import Struct, field

from notchhoist.flows.fleet import RequestKind, Route
from notchhoist.flows.segments import SEQUENCE_MODULUS, Segment

GAIN = 0.1
"""Weight of one flow in what is known of its route: about the last 20 flows."""

MANY_SHARE = 0.5
"""A route whose flows carry a second request more often than this counts as one
of many requests a flow."""

BULKY_KB = 8.0
"""Requests larger than this do not wait for a slot, KB: they fill a window of
several packets, and work on them is short beside their way."""

ANSWER_MAX = 1 << 24
"""More cannot have been answered between two packets of a caller, bytes; it is
an acknowledgement that does not belong to the flow."""

KEYS_MAX = 2000
"""Routes that are observed; the deployments have 450."""


class FlowShape(Struct, frozen=True):
    """What a flow is like.

    Attributes:
        many_share: Share of the flows that carry more than one request.
        sent_kb: Size of a request, KB.
        answered_kb: Size of an answer, KB.
    """

    many_share: float = 0.0
    sent_kb: float = 0.5
    answered_kb: float = 1.0

    @property
    def many(self) -> bool:
        """Whether a flow carries many requests."""
        return self.many_share > MANY_SHARE

    @property
    def bulky(self) -> bool:
        """Whether requests are large."""
        return self.sent_kb > BULKY_KB

    @property
    def carried_kb(self) -> float:
        """What a request carries both ways, KB."""
        return self.sent_kb + self.answered_kb


FIRST = {
    RequestKind.IDEMPOTENT: FlowShape(many_share=1.0),
    RequestKind.ONCE_ONLY: FlowShape(),
    RequestKind.UPLOAD: FlowShape(sent_kb=40.0),
}
"""What is supposed before anything was seen, as on the deployments of today.
Wrong guesses are mended within ten flows. Starting every route with one request
a flow instead was measured: see docs/DECISIONS/09."""


class FlowWatch(Struct, eq=False):
    """What was seen of one flow.

    Attributes:
        requests: Requests so far.
        sent: Bytes of them.
        answered: Bytes of their answers.
        ack: The caller's newest acknowledgement, or None before the first.
    """

    requests: int = 0
    sent: int = 0
    answered: int = 0
    ack: int | None = None

    def note(self, segment: Segment, repeated: bool) -> bool:
        """Takes a caller's packet; tells whether it begins a request.

        Args:
            segment: The packet.
            repeated: It is a copy of the one before.
        """
        moved = 0
        if self.ack is not None:
            moved = (segment.ack - self.ack) % SEQUENCE_MODULUS
        if self.ack is None or 0 < moved < ANSWER_MAX:
            self.ack = segment.ack
        if 0 < moved < ANSWER_MAX:
            self.answered += moved
        if not segment.size or repeated:
            return False
        self.sent += segment.size
        begins = not self.requests or 0 < moved < ANSWER_MAX
        self.requests += begins
        return begins


class RouteShapes(Struct, eq=False):
    """What the flows of each route are like.

    Attributes:
        known: What was seen so far, by the key of the service address.
    """

    known: dict[bytes, FlowShape] = field(default_factory=dict)

    def of(self, route: Route) -> FlowShape:
        """Returns what a route's flows are like.

        Examples:
            >>> kind = RequestKind.UPLOAD
            >>> route = Route("r", b"k", kind, (("a", 1),))
            >>> RouteShapes().of(route).bulky
            True
        """
        return self.known.get(route.service_key) or FIRST[route.kind]

    def note_second(self, route: Route) -> None:
        """Takes account of a flow that carries a second request."""
        old = self.of(route)
        share = old.many_share + GAIN * (1.0 - old.many_share)
        self._put(route, FlowShape(share, old.sent_kb, old.answered_kb))

    def note_end(self, route: Route, watch: FlowWatch) -> None:
        """Takes account of a flow that its caller has ended."""
        if not watch.requests or not watch.answered:
            return
        old = self.of(route)
        sent_kb = watch.sent / watch.requests / 1000
        answered_kb = watch.answered / watch.requests / 1000
        share = old.many_share
        if watch.requests == 1:
            share -= GAIN * share
        self._put(
            route,
            FlowShape(
                share,
                old.sent_kb + GAIN * (sent_kb - old.sent_kb),
                old.answered_kb + GAIN * (answered_kb - old.answered_kb),
            ),
        )

    def _put(self, route: Route, shape: FlowShape) -> None:
        key = route.service_key
        if key in self.known or len(self.known) < KEYS_MAX:
            self.known[key] = shape
