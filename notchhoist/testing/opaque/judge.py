"""Checks invariants by the observations of callers and backend servers."""

import collections
from collections.abc import Iterable

import attrs
from hdrh.histogram import HdrHistogram

from notchhoist.testing.opaque.traffic import Workload

HIGHEST_US = 60_000_000
DISRUPTIONS_KEPT = 10_000
EVACUATE_S = 3.0
"""Time after which an evacuated zone must get no new flows, seconds."""

DRAIN_S = 3.0
"""Time after which a draining server must get no new flows, seconds."""

COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
"""In any second a cold server may get its cold bound times ``COLD_OVERAGE``
plus ``COLD_SLACK`` new flows."""

CONTACT_S = 4.0
"""Time after a disruption in which deadlines do not hold and resets of open
flows are allowed, seconds."""


@attrs.define(eq=False)
class Tally:
    """Outcome counts and latencies of one kind of request."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latency: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(1, HIGHEST_US, 2)
    )


@attrs.frozen
class Ending:
    """The outcome of one request.

    Attributes:
        asked_at: When its caller sent it, seconds.
        zone: Availability zone of the caller.
        kind: Name of the kind of request.
        outcome: ``in_time``, ``late``, ``refused`` or ``failed``.
        latency_s: Time to the answer, seconds; 0 without an answer.
    """

    asked_at: float
    zone: str
    kind: str
    outcome: str
    latency_s: float


@attrs.define(eq=False)
class Judge:
    """Records observations and the rules that they break.

    Attributes:
        tallies: Outcomes by kind of request.
        broken: Broken rules, each with time and detail.
        runs: Number of executions of each non-repeatable request.
        permitted: Services that splits have named, by kind of request.
        arrivals: Number of requests by service and server.
        resets: Number of resets of open flows by cause.
        endings: Outcomes of all requests.
        disruptions: Times of unplanned disruptions, seconds.
        last_disruption: When the last unplanned disruption was, seconds.
        core_disturbed_at: When the store was last disturbed, seconds.
        evacuated: Evacuated zones, and since when.
        draining: Draining servers, and since when.
        cold_per_s: Cold bound of a server in slow start, new flows a second;
            0 for no limit.
        cold_openings: Times of the new flows that each cold server got in the
            last second.
    """

    tallies: dict[str, Tally] = attrs.Factory(
        lambda: collections.defaultdict(Tally)
    )
    broken: list[str] = attrs.Factory(list)
    runs: collections.Counter[int] = attrs.Factory(collections.Counter)
    permitted: dict[str, set[str]] = attrs.Factory(
        lambda: collections.defaultdict(set)
    )
    arrivals: dict[str, collections.Counter[str]] = attrs.Factory(
        lambda: collections.defaultdict(collections.Counter)
    )
    resets: collections.Counter[str] = attrs.Factory(collections.Counter)
    endings: list[Ending] = attrs.Factory(list)
    disruptions: list[float] = attrs.Factory(list)
    last_disruption: float = float("-inf")
    core_disturbed_at: float = float("-inf")
    evacuated: dict[str, float] = attrs.Factory(dict)
    draining: dict[str, float] = attrs.Factory(dict)
    cold_per_s: float = 0.0
    cold_openings: dict[str, collections.deque[float]] = attrs.Factory(
        lambda: collections.defaultdict(collections.deque)
    )

    def disturb(self, now: float) -> None:
        """Records an unplanned disruption."""
        self.last_disruption = max(self.last_disruption, now)
        if len(self.disruptions) < DISRUPTIONS_KEPT:
            self.disruptions.append(now)

    def is_calm(self, now: float) -> bool:
        """Tells whether deadlines hold: no recent disruption."""
        return now - self.last_disruption >= CONTACT_S

    def break_rule(self, rule: str, detail: str, now: float) -> None:
        """Records a broken rule."""
        self.broken.append(f"{now:.3f} {rule}: {detail}")

    def permit(self, kind: str, services: Iterable[str]) -> None:
        """Records that a configuration routes a kind of request to services."""
        self.permitted[kind].update(services)

    def on_run(
        self, number: int, workload: Workload, service: str, now: float
    ) -> None:
        """Records that a backend server starts to run a request."""
        permitted = {workload.service, *self.permitted[workload.name]}
        if service not in permitted:
            self.break_rule("ROUTE", f"{number} ran at {service}", now)
        if workload.kind == "safe":
            return
        self.runs[number] += 1
        if self.runs[number] > 1:
            self.break_rule("TWICE", f"{number} at {service}", now)

    def on_opening(
        self, server_id: str, zone: str, cold: bool, now: float
    ) -> None:
        """Records that a backend server got a new flow."""
        evacuated_s = self._calm_for(self.evacuated.get(zone, now), now)
        if evacuated_s > EVACUATE_S:
            self.break_rule("EVAC", f"{server_id} in {zone}", now)
        leaving_s = now - self.draining.get(server_id, now)
        calm = self.is_calm(now) and self._is_core_calm(now)
        if calm and leaving_s > DRAIN_S:
            self.break_rule("DRAIN", f"{server_id} after {leaving_s:.3f}", now)
        if not cold or not self.cold_per_s:
            return
        recent = self.cold_openings[server_id]
        recent.append(now)
        while now - recent[0] > 1.0:
            recent.popleft()
        if len(recent) > self.cold_per_s * COLD_OVERAGE + COLD_SLACK:
            self.break_rule("FAILBACK", f"{len(recent)} at {server_id}", now)

    def on_draining(self, server_id: str, now: float) -> None:
        """Records that the store acknowledged that a server drains.

        A change that the store accepts while it is disturbed has no
        propagation deadline, so it is not recorded.
        """
        if self._is_core_calm(now):
            self.draining[server_id] = now

    def on_started(self, server_id: str) -> None:
        """Records that a server started; an earlier incarnation has exited."""
        self.draining.pop(server_id, None)

    def _is_core_calm(self, now: float) -> bool:
        return now - self.core_disturbed_at >= CONTACT_S

    def _calm_for(self, since: float, now: float) -> float:
        """Returns how long a state has held without a disruption, seconds."""
        return now - max(since, self.last_disruption)

    def on_reset(self, alive: bool, by_server: bool, now: float) -> None:
        """Records a reset that a caller got on an open flow."""
        if by_server:
            self.resets["by the server"] += 1
        elif not alive:
            self.resets["server gone"] += 1
        elif not self.is_calm(now):
            self.resets["during a disruption"] += 1
        else:
            self.resets["unexcused"] += 1
            self.break_rule("FLOW", "a living flow was reset", now)

    def on_outcome(
        self,
        workload: Workload,
        outcome: str,
        latency_s: float,
        asked_at: float,
        zone: str,
    ) -> None:
        """Records the outcome of a request for its caller."""
        tally = self.tallies[workload.name]
        if outcome == "answered":
            outcome = "in_time" if latency_s <= workload.objective_s else "late"
            tally.latency.record_value(max(1, int(latency_s * 1e6)))
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        ending = Ending(asked_at, zone, workload.name, outcome, latency_s)
        self.endings.append(ending)

    def worth(self, workloads: tuple[Workload, ...]) -> float:
        """Returns the credit earned as a share of the possible credit."""
        earned = owed = 0.0
        for workload in workloads:
            tally = self.tallies[workload.name]
            owed += tally.asked * workload.worth
            earned += tally.in_time * workload.worth
            earned += tally.late * workload.late_worth
        return earned / owed if owed else 1.0

    def imbalance(self, service: str) -> float:
        """Returns the ratio of the busiest server's arrivals to the mean."""
        counts = list(self.arrivals[service].values())
        return max(counts) * len(counts) / sum(counts) if counts else 1.0
