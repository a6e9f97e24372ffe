"""A balancer's controller for availability zones that are evacuated."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard, ZoneState


class ZoneKeeper(Struct, eq=False):
    """Keeps which availability zones are to get no new flows.

    Attributes:
        board: What the balancer knows.
    """

    board: BalancerBoard

    def on_evacuated(self, zone: str, revision: int, now: float) -> None:
        """Takes word that an availability zone is to get no new flows."""
        board = self.board
        if not board.view.put_evacuation(zone, revision):
            return
        board.zones[zone] = ZoneState(evacuated_at=now)
        self._log_zone(zone, "evacuated", revision)

    def on_returned(self, zone: str, revision: int, now: float) -> None:
        """Takes word that an evacuation was withdrawn.

        The zone's servers may be cold although their entries do not say so
        yet: they count as cold for as long as a start takes.
        """
        board = self.board
        if not board.view.remove_evacuation(zone, revision):
            return
        state = board.zones.setdefault(zone, ZoneState())
        state.evacuated_at = None
        state.returned_at = now
        self._log_zone(zone, "returned", revision)

    def _log_zone(self, zone: str, outcome: str, revision: int) -> None:
        zones = sorted(self.board.view.evacuated)
        self.board.records.decide(
            "zone", b"", outcome, zone=zone, revision=revision, evacuated=zones
        )

    def on_listing(
        self,
        evacuated: Sequence[tuple[str, int]],
        revision: int,
        now: float,
        settled: bool,
    ) -> None:
        """Takes the whole list of evacuated zones.

        Args:
            evacuated: The zones, with the revision of each.
            revision: Revision of the list.
            now: Runtime clock, seconds.
            settled: What is not on the list has been withdrawn.
        """
        for zone, asked_at in evacuated:
            self.on_evacuated(zone, asked_at, now)
        if not settled:
            return
        listed = {zone for zone, _ in evacuated}
        for zone in list(self.board.view.evacuated):
            if zone not in listed:
                self.on_returned(zone, revision, now)
