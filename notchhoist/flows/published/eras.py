"""What a balancer knows is carried over a restore of the platform's store.

A store that comes back from a copy has forgotten the last seconds of what it
had acknowledged. Whoever wrote that writes it again, so for a moment the store
knows less than the balancers: its first list of a new era adds to what they
know, and takes nothing back.
"""

from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import ServerEntry
from notchhoist.flows.model.revisions import count_of, era_of, make_revision

SETTLE_S = 2.5
"""How long a restored store may lack what its writers write again, seconds:
they do so within about two, and half a second is left for the list after it."""


def newest_word(known: ServerEntry, entry: ServerEntry) -> ServerEntry:
    """Returns what counts of a server's first entry in a new era.

    The copy may hold an older word than the last one before the restore: a
    server that has announced its end does not become ready again, and one that
    has started again is not the former one again.

    Examples:
        >>> leaving = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, True)
        >>> newest_word(leaving, replace(leaving, draining=False)).draining
        True
    """
    if 0 < entry.born_ms < known.born_ms:
        return known
    announced = known.draining and not known.withdrawn
    if announced and known.is_same_as(entry):
        return replace(entry, draining=True)
    return entry


class EraKeeper(Struct, eq=False):
    """Notices that a new era has begun, and when it has settled.

    Attributes:
        board: What the balancer knows.
        settles_at: When the store holds again what it had lost, seconds.
        unsettled: No whole list has been taken since then.
    """

    board: BalancerBoard
    settles_at: float = float("-inf")
    unsettled: bool = False

    def begins(self, revision: int) -> bool:
        """Tells whether a list is the first of a new era."""
        board = self.board
        known = era_of(board.view.revision)
        return board.fleet_known and era_of(revision) > known

    def begin(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        revision: int,
        now: float,
    ) -> list[tuple[ServerEntry, int]]:
        """Begins a new era.

        Entries of living servers may be missing until it has settled, as after
        an outage of the store.

        Args:
            entries: The first list.
            revision: Its revision.
            now: Runtime clock, seconds.

        Returns:
            The entries, those that were created before the restore as such.
        """
        board = self.board
        before = board.view.revision
        self.settles_at = now + SETTLE_S
        self.unsettled = True
        board.store_failed_at = now
        board.records.decide(
            "store restored",
            b"",
            f"settles in {SETTLE_S} s",
            before=before,
            revision=revision,
        )
        return [(_dated(entry, before), at) for entry, at in entries]

    def is_settled(self, now: float) -> bool:
        """Tells whether a whole list may take back what is known."""
        return now >= self.settles_at

    def is_first_word(self, entry: ServerEntry, revision: int) -> bool:
        """Tells whether an entry is the first of its server in a new era."""
        known = self.board.view.changed_at.get(entry.server_id, 0)
        return era_of(revision) > era_of(known)


def _dated(entry: ServerEntry, before: int) -> ServerEntry:
    """Returns an entry with the era in which it was created.

    Entries on one host replace each other by the order of their creation. The
    copy's were created before the restore, as their counts say, and must not
    replace what came after them and has been lost with the copy.
    """
    created = count_of(entry.created)
    if created > count_of(before):
        return entry
    return replace(entry, created=make_revision(era_of(before), created))
