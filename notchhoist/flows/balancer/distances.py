"""Network distances of availability zones: round-trip times to agents.

They matter where a round trip between zones takes as long as a request. Only
messages that are sent anyway are timed: load probes, numbered queries for
flows, and offers that come back because no slot was free. Servers of one zone
are taken to be equally far, so a sample from one of them counts for its whole
zone.

An answer takes longer if the agent or this process is busy, but never less than
the round trip. The estimate is therefore the minimum over a sliding window, or
rather the second smallest sample: a message that is mistaken for the answer to
a later request gives a sample that is too short.
"""

from msgspec import Struct, field

from notchhoist.flows.model.fleet import Server

DEFAULT_ROUND_TRIP_S = 0.003
"""Round-trip time assumed before one is measured, seconds."""

WINDOW_S = 10.0
"""Length of a window, seconds. The minimum is taken over the current window and
the previous one, so a longer path is noticed after two windows."""

MIN_SAMPLES = 4
"""Samples of a zone before its round-trip time counts as known. A process that
has just started reads its first answers late."""

AGREEMENT_FACTOR = 1.5
AGREEMENT_SLACK_S = 0.001
"""The two smallest samples agree if the second is at most this many times the
first plus this many seconds. Delays in links and processes vary from one answer
to the next; the network distance does not."""

MAX_ROUND_TRIP_S = 1.0
"""Longer samples show a stall, not a distance, and are ignored, seconds."""

ESTIMATE_KEPT_S = 60.0
"""An estimate without a new sample for this long is discarded, seconds.
Decisions then use constants, and flows placed in that zone measure it again."""

UNKNOWN = float("inf")


class Window(Struct, eq=False):
    """The two smallest round-trip samples of a time window.

    Attributes:
        min_s: The smallest sample, seconds.
        second_min_s: The second smallest sample, seconds.
        count: Number of samples.
    """

    min_s: float = UNKNOWN
    second_min_s: float = UNKNOWN
    count: int = 0

    def add(self, sample_s: float) -> None:
        """Adds a round-trip sample."""
        self.count += 1
        if sample_s < self.min_s:
            self.min_s, self.second_min_s = sample_s, self.min_s
        elif sample_s < self.second_min_s:
            self.second_min_s = sample_s


class ZoneRoundTrip(Struct, eq=False):
    """Round-trip time to one availability zone.

    Attributes:
        window: Samples since ``window_began_at``.
        previous_window: Samples of the previous window.
        window_began_at: When the current window began, seconds.
        measured_at: When the last sample was taken, seconds.
        estimate_s: The estimated round-trip time, seconds; ``UNKNOWN`` at
            first.
    """

    window: Window = field(default_factory=Window)
    previous_window: Window = field(default_factory=Window)
    window_began_at: float = float("-inf")
    measured_at: float = float("-inf")
    estimate_s: float = UNKNOWN

    def add(self, sample_s: float, now: float) -> None:
        """Adds a round-trip sample and updates the estimate."""
        elapsed_s = now - self.window_began_at
        if elapsed_s >= WINDOW_S:
            self.previous_window = (
                self.window if elapsed_s < 2 * WINDOW_S else Window()
            )
            self.window = Window()
            self.window_began_at = now
        self.window.add(sample_s)
        self.measured_at = now
        self._update_estimate()

    def _update_estimate(self) -> None:
        """Takes the second smallest sample if enough samples agree."""
        if self.window.count + self.previous_window.count < MIN_SAMPLES:
            return
        low, high = sorted((self.window, self.previous_window), key=_min_s)
        least_s = low.min_s
        second_s = min(low.second_min_s, high.min_s)
        if second_s <= AGREEMENT_FACTOR * least_s + AGREEMENT_SLACK_S:
            self.estimate_s = second_s


def _min_s(window: Window) -> float:
    return window.min_s


class Distances(Struct, eq=False):
    """Round-trip times from this balancer to the agents of each zone.

    Attributes:
        zone: Availability zone of the balancer.
        by_zone: Round-trip times by availability zone.
    """

    zone: str = ""
    by_zone: dict[str, ZoneRoundTrip] = field(default_factory=dict)

    def round_trip_s(self, server: Server) -> float:
        """Returns the round-trip time to a server's agent, seconds."""
        trip_s = self._estimate_s(server.entry.zone)
        return trip_s if trip_s < UNKNOWN else DEFAULT_ROUND_TRIP_S

    def extra_s(self, zone: str) -> float:
        """Returns the additional round-trip time to a zone, seconds.

        This is the difference to the round-trip time within the local zone, or
        0 while either of them is unknown.
        """
        own_s, trip_s = self._estimate_s(self.zone), self._estimate_s(zone)
        if UNKNOWN in (own_s, trip_s):
            return 0.0
        return max(0.0, trip_s - own_s)

    def _estimate_s(self, zone: str) -> float:
        trips = self.by_zone.get(zone)
        return trips.estimate_s if trips is not None else UNKNOWN

    def add_sample(self, server: Server, sent_at: float, now: float) -> None:
        """Adds the round-trip time of a message that was sent only once.

        Args:
            server: The server whose agent answered.
            sent_at: When the message was sent, seconds.
            now: Runtime clock, seconds.
        """
        trip_s = now - sent_at
        if not 0.0 < trip_s <= MAX_ROUND_TRIP_S:
            return
        zone = server.entry.zone
        trips = self.by_zone.get(zone)
        if trips is None:
            trips = self.by_zone[zone] = ZoneRoundTrip()
        trips.add(trip_s, now)

    def sweep(self, now: float) -> None:
        """Discards estimates of zones without a recent sample."""
        for zone, trips in list(self.by_zone.items()):
            if now - trips.measured_at > ESTIMATE_KEPT_S:
                del self.by_zone[zone]


def make_distances(zone: str) -> Distances:
    """Creates the distances of a balancer, all of them unknown.

    Args:
        zone: Availability zone of the balancer.
    """
    return Distances(zone)
