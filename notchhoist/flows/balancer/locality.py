"""A balancer's controller for how far new flows are sent."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.decisions import placing, reaching
from notchhoist.flows.decisions.attempts import FULL_ATTEMPTS
from notchhoist.flows.decisions.reaching import FarCosts
from notchhoist.flows.model.fleet import RequestKind, Server

Costs = Mapping[str, FarCosts]


class ZoneLocality(Struct, eq=False):
    """Reckons with the distance of the servers that a flow may go to.

    Attributes:
        board: What the balancer knows.
        distances: What a round trip takes.
    """

    board: BalancerBoard
    distances: Distances

    def costs(self, servers: Sequence[Server]) -> Costs:
        """Returns what servers must be better by, by their zones.

        Args:
            servers: Servers that a flow is placed among.
        """
        if not servers or not self._is_enabled():
            return {}
        pace_s = _service_time_s(servers)
        if not pace_s:
            return {}
        utilization = self._utilization(servers)
        zones = {server.entry.zone for server in servers}
        zones.discard(self.board.zone)
        costs = {}
        for zone in zones:
            extra_s = self.distances.extra_s(zone)
            costs[zone] = reaching.far_costs(extra_s, pace_s, utilization)
        return costs

    def _utilization(self, servers: Sequence[Server]) -> float:
        """Returns the share of the slots that are taken."""
        utilization = self.board.busy_shares.busy(servers[0].entry.service)
        if utilization is not None:
            return utilization
        slots = sum(max(1, server.entry.slots) for server in servers)
        return sum(server.running for server in servers) / slots

    def _is_enabled(self) -> bool:
        return self.board.uses.distances and self.board.uses.zone

    def servers_to_ask(
        self,
        opening: Opening,
        untried: Sequence[Server],
        costs: Costs,
        now: float,
    ) -> Sequence[Server]:
        """Returns the servers that are asked for a free slot before others.

        Only an agent knows whether a slot is free, and one that is near says
        so sooner. Where nearly every attempt is in vain few are made, and words
        decide where: else a zone that is overrun would never hand flows over.
        A flow of many requests goes by open flows, wherever they are fewest.
        """
        if opening.route.kind is not RequestKind.ONCE_ONLY:
            return untried
        if not any(_is_far(server, costs) for server in untried):
            return untried
        attempts = self.board.busy_shares.attempts(opening.service)
        if attempts <= FULL_ATTEMPTS:
            return untried
        median_ms = _service_time_s(untried) * 1000
        local = [
            server
            for server in untried
            if not _is_far(server, costs)
            and not placing.is_unwell(
                server, placing.capacity(server, median_ms), now
            )
        ]
        return local or untried

    def prefers_local_queue(
        self, opening: Opening, untried: Sequence[Server], costs: Costs
    ) -> bool:
        """Tells whether waiting near is better than one more attempt.

        Args:
            opening: The new flow.
            untried: Servers that it was not offered to.
            costs: See ``costs``.
        """
        if not opening.busy or not untried:
            return False
        if not all(_is_far(server, costs) for server in untried):
            return False
        extra_s = min(costs[item.entry.zone].extra_s for item in untried)
        long_lived_flow = opening.route.long_lived
        trips = reaching.LONG_TRIPS if long_lived_flow else reaching.ONCE_TRIPS
        return self._local_queue_wait_s(opening, costs) <= trips * extra_s

    def _local_queue_wait_s(self, opening: Opening, costs: Costs) -> float:
        """Returns the shortest wait at a near server that was busy, seconds.

        One that had no slot though hardly anything runs there is failing.
        """
        waits_s = [float("inf")]
        for server_id in opening.busy:
            server = self.board.servers.get(server_id)
            if server is None or _is_far(server, costs):
                continue
            # The offer that has just come back still counts there.
            counts_offer = server_id == opening.tried[-1] and server.offered > 0
            ahead = server.running - counts_offer
            slots = server.entry.slots
            if server.pace_ms and ahead >= max(1, slots):
                pace_s = server.pace_ms / 1000
                waits_s.append(reaching.wait_s(ahead, slots, pace_s))
        return min(waits_s)

    def accept_wait_s(self, server: Server) -> float:
        """Returns how long a server has to accept a new flow, seconds."""
        if not self._is_enabled():
            return reaching.ACCEPT_WAIT_S
        return reaching.accept_wait_s(self.distances.round_trip_s(server))


def _is_far(server: Server, costs: Costs) -> bool:
    """Tells whether a server is so far that it matters."""
    return costs.get(server.entry.zone, reaching.USUAL_COSTS).is_long


def _service_time_s(servers: Sequence[Server]) -> float:
    """Returns the service time, seconds; 0 while few servers have told it."""
    service_times_ms = [server.pace_ms for server in servers if server.pace_ms]
    is_known = 2 * len(service_times_ms) >= len(servers)
    return placing.median(service_times_ms) / 1000 if is_known else 0.0
