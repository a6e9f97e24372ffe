"""Preserves a balancer's view over a restore of the platform's store.

A store that is restored from a backup has lost the last seconds of the writes
that it had acknowledged. The writers repeat them, so for a moment the store
holds less than the balancers know. The first listing of a new era therefore
adds to the view and removes nothing from it.
"""

from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import ServerEntry
from notchhoist.flows.model.revisions import count_of, era_of, make_revision

RESTORE_GRACE_S = 2.5
"""How long a restored store may lack writes that its backup lost, seconds. The
writers repeat them within about two seconds; half a second is left for the
listing after that."""


def merge_after_restore(known: ServerEntry, entry: ServerEntry) -> ServerEntry:
    """Merges a server's first entry in a new era with the known entry.

    The backup may hold an older entry than the last one before the restore. A
    server that has announced that it leaves must not become ready again, and a
    restarted server must not be taken for its former incarnation.

    Examples:
        >>> leaving = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, True)
        >>> ready = replace(leaving, draining=False)
        >>> merge_after_restore(leaving, ready).draining
        True
    """
    if 0 < entry.born_ms < known.born_ms:
        return known
    announced = known.draining and not known.withdrawn
    if announced and known.is_same_incarnation_as(entry):
        return replace(entry, draining=True)
    return entry


class EraTracker(Struct, eq=False):
    """Detects a new era of the store and the end of its grace period.

    Attributes:
        board: The balancer's blackboard.
        grace_until: When the writers have repeated what the backup had lost,
            seconds.
        listing_pending: No full listing has been applied since then.
    """

    board: BalancerBoard
    grace_until: float = float("-inf")
    listing_pending: bool = False

    def is_new_era(self, revision: int) -> bool:
        """Returns whether a listing is the first of a new era."""
        board = self.board
        known = era_of(board.view.revision)
        return board.fleet_known and era_of(revision) > known

    def start_era(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        revision: int,
        now: float,
    ) -> list[tuple[ServerEntry, int]]:
        """Starts a new era and its grace period.

        Entries of running servers may be missing until the grace period ends,
        as after an outage of the store.

        Args:
            entries: Entries of the first listing, with the revision of each.
            revision: Revision of that listing.
            now: Runtime clock, seconds.

        Returns:
            The entries; those created before the restore are assigned to the
            era before it.
        """
        board = self.board
        before = board.view.revision
        self.grace_until = now + RESTORE_GRACE_S
        self.listing_pending = True
        board.store_failed_at = now
        board.records.record_decision(
            "store restored",
            b"",
            f"grace period ends in {RESTORE_GRACE_S} s",
            before=before,
            revision=revision,
        )
        return [
            (_with_creation_era(entry, before), entry_revision)
            for entry, entry_revision in entries
        ]

    def is_grace_over(self, now: float) -> bool:
        """Returns whether a full listing may remove entries from the view."""
        return now >= self.grace_until

    def is_first_in_era(self, entry: ServerEntry, revision: int) -> bool:
        """Returns whether an entry is its server's first one in a new era."""
        known = self.board.view.changed_at.get(entry.server_id, 0)
        return era_of(revision) > era_of(known)


def _with_creation_era(entry: ServerEntry, before: int) -> ServerEntry:
    """Returns an entry whose creation revision is of the right era.

    Entries on one host replace each other in the order of their creation. The
    entries of the backup were created before the restore, which shows in their
    counts. They must not replace later entries that the backup had lost.
    """
    created = count_of(entry.created)
    if created > count_of(before):
        return entry
    return replace(entry, created=make_revision(era_of(before), created))
