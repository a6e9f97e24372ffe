"""A balancer's controller for evacuations of availability zones."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard, ZoneState


class ZoneUpdater(Struct, eq=False):
    """Tracks which availability zones must get no new flows.

    Attributes:
        board: The balancer's blackboard.
    """

    board: BalancerBoard

    def on_evacuated(self, zone: str, revision: int, now: float) -> None:
        """Records that an availability zone must get no new flows."""
        board = self.board
        if not board.view.put_evacuation(zone, revision):
            return
        board.zones[zone] = ZoneState(evacuated_at=now)
        self._log_zone(zone, "evacuated", revision)

    def on_returned(self, zone: str, revision: int, now: float) -> None:
        """Records that the evacuation of a zone was withdrawn.

        The zone's servers may be cold although their entries do not say so
        yet. They count as cold for the slow-start time.
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
        self.board.records.record_decision(
            "zone", b"", outcome, zone=zone, revision=revision, evacuated=zones
        )

    def on_listing(
        self,
        evacuated: Sequence[tuple[str, int]],
        revision: int,
        now: float,
        complete: bool,
    ) -> None:
        """Applies a full listing of the evacuated zones.

        Args:
            evacuated: The zones, with the revision of each.
            revision: Revision of the listing.
            now: Runtime clock, seconds.
            complete: Evacuations that are not listed have been withdrawn.
        """
        for zone, requested_at in evacuated:
            self.on_evacuated(zone, requested_at, now)
        if not complete:
            return
        listed = {zone for zone, _ in evacuated}
        for zone in list(self.board.view.evacuated):
            if zone not in listed:
                self.on_returned(zone, revision, now)
