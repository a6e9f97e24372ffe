"""Cuts a view into messages and puts it together again."""

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.model.messages import ViewTell
from notchhoist.flows.model.view import ViewChange

RECORDS_A_PART = 12
"""Routes and servers in one message: about 1,100 bytes at 90 bytes each."""

RECORDS = (
    "evacuated",
    "returned",
    "cold_bounds",
    "routes",
    "servers",
    "removed_routes",
    "removed_servers",
)
"""Fields of a change that hold records."""

PARTS_KEPT_S = 1.0


class Parts(Struct, eq=False):
    """The parts of one view that have come so far."""

    total: int
    since: float
    by_number: dict[int, ViewChange] = field(default_factory=dict)


class ViewParts(Struct, eq=False):
    """Views that come in parts.

    Attributes:
        incoming: Their parts, by sender, base, revision and number of parts:
            two answers of one sender that begin at different revisions are two
            views.
    """

    incoming: dict[tuple[str, int, int, int], Parts] = field(
        default_factory=dict
    )

    def whole(self, host: str, tell: ViewTell, now: float) -> ViewChange | None:
        """Takes a part; returns the view once all of its parts have come."""
        if tell.parts == 1:
            return tell.change
        change = tell.change
        key = (host, change.base, change.revision, tell.parts)
        parts = self.incoming.setdefault(key, Parts(tell.parts, now))
        parts.by_number[tell.part] = tell.change
        if len(parts.by_number) < parts.total:
            return None
        del self.incoming[key]
        return join([parts.by_number[n] for n in range(parts.total)])

    def sweep(self, now: float) -> None:
        """Forgets views whose other parts will not come."""
        for key, parts in list(self.incoming.items()):
            if now - parts.since > PARTS_KEPT_S:
                del self.incoming[key]


def split(change: ViewChange) -> list[ViewChange]:
    """Cuts a change into parts that fit a datagram each.

    Examples:
        >>> [part.removed_servers for part in split(
        ...     ViewChange(9, removed_servers=("a", "b"))
        ... )]
        [('a', 'b')]
    """
    left = {name: list(getattr(change, name)) for name in RECORDS}
    parts: list[ViewChange] = []
    while any(left.values()) or not parts:
        taken: dict[str, tuple] = {}
        room = RECORDS_A_PART
        for name, records in left.items():
            taken[name] = tuple(records[:room])
            del records[:room]
            room -= len(taken[name])
        parts.append(replace(change, **taken))
    return parts


def join(parts: list[ViewChange]) -> ViewChange:
    """Puts the parts of a change together again."""
    whole = {
        name: tuple(item for part in parts for item in getattr(part, name))
        for name in RECORDS
    }
    return replace(parts[0], **whole)
