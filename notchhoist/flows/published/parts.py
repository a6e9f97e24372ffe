"""Splits a change of the view into messages and reassembles it."""

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.model.messages import ViewTell
from notchhoist.flows.model.view import ViewChange

RECORDS_PER_PART = 12
"""Records in one message: about 1,100 bytes at 90 bytes each."""

RECORD_FIELDS = (
    "evacuated",
    "returned",
    "cold_bounds",
    "routes",
    "servers",
    "removed_routes",
    "removed_servers",
)
"""Fields of ``ViewChange`` that hold records."""

REASSEMBLY_TIMEOUT_S = 1.0


class PartialChange(Struct, eq=False):
    """The parts of one change that have arrived so far."""

    total: int
    started_at: float
    by_number: dict[int, ViewChange] = field(default_factory=dict)


class PartAssembler(Struct, eq=False):
    """Reassembles changes that arrive in parts.

    Attributes:
        incoming: Incomplete changes by sender, base, revision and number of
            parts. Two responses of one sender with different bases are
            different changes.
    """

    incoming: dict[tuple[str, int, int, int], PartialChange] = field(
        default_factory=dict
    )

    def add(self, host: str, update: ViewTell, now: float) -> ViewChange | None:
        """Adds a part; returns the change once all parts have arrived."""
        if update.parts == 1:
            return update.change
        change = update.change
        key = (host, change.base, change.revision, update.parts)
        parts = self.incoming.setdefault(key, PartialChange(update.parts, now))
        parts.by_number[update.part] = update.change
        if len(parts.by_number) < parts.total:
            return None
        del self.incoming[key]
        return join_parts([parts.by_number[n] for n in range(parts.total)])

    def sweep(self, now: float) -> None:
        """Drops changes whose missing parts are overdue."""
        for key, parts in list(self.incoming.items()):
            if now - parts.started_at > REASSEMBLY_TIMEOUT_S:
                del self.incoming[key]


def split_change(change: ViewChange) -> list[ViewChange]:
    """Splits a change into parts that fit into one datagram each.

    Examples:
        >>> [part.removed_servers for part in split_change(
        ...     ViewChange(9, removed_servers=("a", "b"))
        ... )]
        [('a', 'b')]
    """
    remaining = {name: list(getattr(change, name)) for name in RECORD_FIELDS}
    parts: list[ViewChange] = []
    while any(remaining.values()) or not parts:
        taken: dict[str, tuple] = {}
        room = RECORDS_PER_PART
        for name, records in remaining.items():
            taken[name] = tuple(records[:room])
            del records[:room]
            room -= len(taken[name])
        parts.append(replace(change, **taken))
    return parts


def join_parts(parts: list[ViewChange]) -> ViewChange:
    """Reassembles a change from all of its parts."""
    whole = {
        name: tuple(item for part in parts for item in getattr(part, name))
        for name in RECORD_FIELDS
    }
    return replace(parts[0], **whole)
