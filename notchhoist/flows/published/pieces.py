"""A large change of the view in pieces: made once for all, joined once.

After a loss of power each balancer that knows the view is asked for all of it
by every other one at once, over links as narrow as 5 Mbit/s.
"""

from msgspec import Struct, field

from notchhoist.flows.model.messages import ViewPiece, ViewTell
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.parts import PARTS_KEPT_S

BYTES_A_PIECE = 1_000
"""Data in one message, bytes: a frame of 1,500 has room for it beside the names
of 16 balancers, which the first one carries."""

NO_CHANGE = ViewChange(0)


class ViewPacker(Struct, eq=False):
    """Cuts changes into pieces; the last one is kept, as many ask for it.

    Attributes:
        change: The change that was packed last.
        pieces: Its pieces.
    """

    change: ViewChange = NO_CHANGE
    pieces: list[bytes] = field(default_factory=list)

    def pack(self, change: ViewChange) -> list[bytes]:
        """Returns the pieces of a change."""
        if change != self.change:
            # Loaded late: a process must be listening before it has time.
            from notchhoist.flows.codec.view_pieces import pack_change

            data = pack_change(change)
            self.change = change
            self.pieces = [
                data[start : start + BYTES_A_PIECE]
                for start in range(0, len(data), BYTES_A_PIECE)
            ]
        return self.pieces


class Pieces(Struct, eq=False):
    """The pieces of one change that have come so far."""

    total: int
    since: float
    by_number: dict[int, ViewPiece] = field(default_factory=dict)


class ViewPieces(Struct, eq=False):
    """Changes that come in pieces.

    Attributes:
        incoming: Their pieces, by sender, base, revision and number of pieces.
            What is sent again fills the gaps.
    """

    incoming: dict[tuple[str, int, int, int], Pieces] = field(
        default_factory=dict
    )

    def whole(self, host: str, piece: ViewPiece, now: float) -> ViewTell | None:
        """Takes a piece; returns what was told once all of it has come.

        Raises:
            CodecError: The pieces are no change.
        """
        key = (host, piece.base, piece.revision, piece.parts)
        pieces = self.incoming.setdefault(key, Pieces(piece.parts, now))
        pieces.by_number[piece.part] = piece
        if len(pieces.by_number) < pieces.total:
            return None
        del self.incoming[key]
        from notchhoist.flows.codec.view_pieces import unpack_change

        ordered = [pieces.by_number[n] for n in range(pieces.total)]
        change = unpack_change(b"".join(item.data for item in ordered))
        return _told(ordered[0], change)

    def sweep(self, now: float) -> None:
        """Forgets changes whose other pieces will not come."""
        for key, pieces in list(self.incoming.items()):
            if now - pieces.since > PARTS_KEPT_S:
                del self.incoming[key]


def _told(first: ViewPiece, change: ViewChange) -> ViewTell:
    return ViewTell(
        change,
        first.age_s,
        first.members,
        asked=first.asked,
        placing_for_ms=first.placing_for_ms,
        rerouted_for_ms=first.rerouted_for_ms,
    )
