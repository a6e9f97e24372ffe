"""Balancer controller that weighs the network distance of servers."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.decisions import server_selection, zone_distance
from notchhoist.flows.decisions.attempts import ATTEMPTS_WHEN_FULL
from notchhoist.flows.decisions.zone_distance import RemotePenalty
from notchhoist.flows.model.fleet import RequestKind, Server

Costs = Mapping[str, RemotePenalty]


class ZoneLocality(Struct, eq=False):
    """Decides when a new flow goes to a server of a remote zone.

    Attributes:
        board: State of the balancer.
        distances: Round-trip times by zone.
    """

    board: BalancerBoard
    distances: Distances

    def costs(self, servers: Sequence[Server]) -> Costs:
        """Returns the penalties of remote servers, by zone.

        Args:
            servers: Servers among which a flow is placed.
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
            costs[zone] = zone_distance.remote_penalty(
                extra_s, pace_s, utilization
            )
        return costs

    def _utilization(self, servers: Sequence[Server]) -> float:
        """Returns the slot utilization of the servers' service."""
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
        """Returns the servers among which the next conditional offer is made.

        Only an agent knows whether a slot is free, and a nearby agent answers
        sooner. While nearly every attempt fails, only a few are made, and the
        reported loads decide where: otherwise an overloaded zone would never
        pass flows on. A flow of many requests goes by the number of open flows,
        to any zone with the fewest.
        """
        if opening.route.kind is not RequestKind.ONCE_ONLY:
            return untried
        if not any(_is_far(server, costs) for server in untried):
            return untried
        attempts = self.board.busy_shares.attempts(opening.service)
        if attempts <= ATTEMPTS_WHEN_FULL:
            return untried
        median_ms = _service_time_s(untried) * 1000
        nearby = [
            server
            for server in untried
            if not _is_far(server, costs)
            and not server_selection.is_slow(
                server, server_selection.effective_slots(server, median_ms), now
            )
        ]
        return nearby or untried

    def prefers_nearby_queue(
        self, opening: Opening, untried: Sequence[Server], costs: Costs
    ) -> bool:
        """Tells whether queueing at a nearby server beats one more attempt.

        Args:
            opening: The new flow.
            untried: Servers that it has not been offered to.
            costs: See ``costs``.
        """
        if not opening.busy or not untried:
            return False
        if not all(_is_far(server, costs) for server in untried):
            return False
        extra_s = min(
            costs[item.entry.zone].extra_round_trip_s for item in untried
        )
        long_lived_flow = opening.route.is_multi_request
        trips = (
            zone_distance.MULTI_REQUEST_ROUND_TRIPS
            if long_lived_flow
            else zone_distance.SINGLE_REQUEST_ROUND_TRIPS
        )
        return self._nearby_queue_wait_s(opening, costs) <= trips * extra_s

    def _nearby_queue_wait_s(self, opening: Opening, costs: Costs) -> float:
        """Returns the shortest queueing time at a busy nearby server, seconds.

        A server that reports no free slot although hardly any request runs
        there is failing and is left out.
        """
        waits_s = [float("inf")]
        for server_id in opening.busy:
            server = self.board.servers.get(server_id)
            if server is None or _is_far(server, costs):
                continue
            # The offer that has just come back is still counted there.
            counts_offer = server_id == opening.tried[-1] and server.offered > 0
            ahead = server.running - counts_offer
            slots = server.entry.slots
            if server.service_time_ms and ahead >= max(1, slots):
                pace_s = server.service_time_ms / 1000
                waits_s.append(
                    zone_distance.queueing_delay_s(ahead, slots, pace_s)
                )
        return min(waits_s)

    def accept_wait_s(self, server: Server) -> float:
        """Returns how long to wait for a server's acceptance, seconds."""
        if not self._is_enabled():
            return zone_distance.ACCEPT_WAIT_S
        return zone_distance.accept_wait_s(self.distances.round_trip_s(server))


def _is_far(server: Server, costs: Costs) -> bool:
    """Tells whether the distance of a server affects decisions."""
    return costs.get(
        server.entry.zone, zone_distance.DEFAULT_PENALTY
    ).is_significant


def _service_time_s(servers: Sequence[Server]) -> float:
    """Returns the median service time, seconds; 0 if few servers report it."""
    service_times_ms = [
        server.service_time_ms for server in servers if server.service_time_ms
    ]
    is_known = 2 * len(service_times_ms) >= len(servers)
    return server_selection.median(service_times_ms) / 1000 if is_known else 0.0
