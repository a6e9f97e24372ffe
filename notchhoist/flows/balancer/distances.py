"""How far agents are, by what their answers take.

Needed where zones are as far apart as a request takes. A balancer
times words that it sends anyway: a question for a load, a numbered question for
flows, an offer that came back because no slot was free. Servers of a zone are
equally far, so what is measured at one counts for all of its zone.

An answer takes longer where an agent or this process was busy, never less than
the way there and back. So the least of a window counts, or rather the second
least: a word that is taken for the answer to a later question seems too quick.
"""

from msgspec import Struct, field

from notchhoist.flows.model.fleet import Server

DEFAULT_ROUND_TRIP_S = 0.003
"""A round trip that was not measured yet, seconds."""

WINDOW_S = 10.0
"""Length of a window, seconds. The least of this one and the last one counts,
so a way that has become longer is noticed after two of them."""

MIN_SAMPLES = 4
"""Answers of a zone before its distance counts as known. A process that has
just started reads its first answers late."""

AGREEMENT_FACTOR = 1.5
AGREEMENT_SLACK_S = 0.001
"""The two quickest answers agree if the second took no more than this many
times as long, and this much, seconds. Waits in links and processes differ from
one answer to the next; a distance does not."""

MAX_ROUND_TRIP_S = 1.0
"""Answers that took longer tell of a stall, not of a distance, seconds."""

ESTIMATE_KEPT_S = 60.0
"""A measure is forgotten when nothing has confirmed it for so long, seconds.
Constants decide then, and flows that go to that zone measure it again."""

UNKNOWN = float("inf")


class Window(Struct, eq=False):
    """The two quickest answers of a time.

    Attributes:
        min_s: What the quickest one took, seconds.
        second_min_s: The same for the next one.
        count: How many answers there were.
    """

    min_s: float = UNKNOWN
    second_min_s: float = UNKNOWN
    count: int = 0

    def add(self, sample_s: float) -> None:
        """Takes account of an answer."""
        self.count += 1
        if sample_s < self.min_s:
            self.min_s, self.second_min_s = sample_s, self.min_s
        elif sample_s < self.second_min_s:
            self.second_min_s = sample_s


class ZoneTrips(Struct, eq=False):
    """Round trips to one availability zone.

    Attributes:
        window: Answers since ``window_began_at``.
        before: Answers of the window before.
        window_began_at: When the window began, seconds.
        measured_at: When the last answer came, seconds.
        trip_s: The round trip as measured, seconds; ``UNKNOWN`` at first.
    """

    window: Window = field(default_factory=Window)
    before: Window = field(default_factory=Window)
    window_began_at: float = float("-inf")
    measured_at: float = float("-inf")
    trip_s: float = UNKNOWN

    def add(self, sample_s: float, now: float) -> None:
        """Takes account of an answer."""
        elapsed_s = now - self.window_began_at
        if elapsed_s >= WINDOW_S:
            self.before = self.window if elapsed_s < 2 * WINDOW_S else Window()
            self.window = Window()
            self.window_began_at = now
        self.window.add(sample_s)
        self.measured_at = now
        self._update_estimate()

    def _update_estimate(self) -> None:
        """Takes the second least answer, if there are enough that agree."""
        if self.window.count + self.before.count < MIN_SAMPLES:
            return
        low, high = sorted((self.window, self.before), key=_min_s)
        least_s = low.min_s
        second_s = min(low.second_min_s, high.min_s)
        if second_s <= AGREEMENT_FACTOR * least_s + AGREEMENT_SLACK_S:
            self.trip_s = second_s


def _min_s(window: Window) -> float:
    return window.min_s


class Distances(Struct, eq=False):
    """Knows what a word to an agent and back takes.

    Attributes:
        zone: Availability zone of the balancer.
        by_zone: What was measured, by availability zone.
    """

    zone: str = ""
    by_zone: dict[str, ZoneTrips] = field(default_factory=dict)

    def round_trip_s(self, server: Server) -> float:
        """Returns the time of a round trip to a server's agent, seconds."""
        trip_s = self._estimate_s(server.entry.zone)
        return trip_s if trip_s < UNKNOWN else DEFAULT_ROUND_TRIP_S

    def extra_s(self, zone: str) -> float:
        """Returns what a round trip to a zone takes beyond one in the own zone.

        It is 0 while one of them is not known.
        """
        own_s, trip_s = self._estimate_s(self.zone), self._estimate_s(zone)
        if UNKNOWN in (own_s, trip_s):
            return 0.0
        return max(0.0, trip_s - own_s)

    def _estimate_s(self, zone: str) -> float:
        trips = self.by_zone.get(zone)
        return trips.trip_s if trips is not None else UNKNOWN

    def note(self, server: Server, sent_at: float, now: float) -> None:
        """Takes account of an answer to a word that was sent once.

        Args:
            server: Whose agent has answered.
            sent_at: When the word was sent, seconds.
            now: Runtime clock, seconds.
        """
        trip_s = now - sent_at
        if not 0.0 < trip_s <= MAX_ROUND_TRIP_S:
            return
        zone = server.entry.zone
        trips = self.by_zone.get(zone)
        if trips is None:
            trips = self.by_zone[zone] = ZoneTrips()
        trips.add(trip_s, now)

    def sweep(self, now: float) -> None:
        """Forgets zones that nothing was heard of for long."""
        for zone, trips in list(self.by_zone.items()):
            if now - trips.measured_at > ESTIMATE_KEPT_S:
                del self.by_zone[zone]


def make_distances(zone: str) -> Distances:
    """Makes the distances of a balancer that has measured nothing yet.

    Args:
        zone: Availability zone of the balancer.
    """
    return Distances(zone)
