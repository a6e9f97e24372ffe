"""Compresses a large change of the view and sends it in pieces.

After a power loss each balancer that has the view is queried for all of it by
all others at once, over links of as little as 5 Mbit/s. The pieces are made
once for all receivers, and each receiver unpacks them once.
"""

from msgspec import Struct, field

from notchhoist.flows.model.messages import ViewPiece, ViewTell
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.parts import REASSEMBLY_TIMEOUT_S

BYTES_PER_PIECE = 1_000
"""Data in one message, bytes. The first message also carries the hosts of 16
balancers, and a frame of 1,500 bytes has room for both."""

NO_CHANGE = ViewChange(0)


class ViewPacker(Struct, eq=False):
    """Cuts changes into pieces; caches the last one, as many request it.

    Attributes:
        packed_change: The change that was packed last.
        pieces: Its pieces.
    """

    packed_change: ViewChange = NO_CHANGE
    pieces: list[bytes] = field(default_factory=list)

    def pack(self, change: ViewChange) -> list[bytes]:
        """Returns the pieces of a change."""
        if change != self.packed_change:
            # Imported here as a starting process must listen first.
            from notchhoist.flows.codec.view_pieces import pack_change

            data = pack_change(change)
            self.packed_change = change
            self.pieces = [
                data[start : start + BYTES_PER_PIECE]
                for start in range(0, len(data), BYTES_PER_PIECE)
            ]
        return self.pieces


class PartialUpdate(Struct, eq=False):
    """The pieces of one update that have arrived so far."""

    total: int
    started_at: float
    by_number: dict[int, ViewPiece] = field(default_factory=dict)


class PieceAssembler(Struct, eq=False):
    """Reassembles updates that arrive in pieces.

    Attributes:
        incoming: Incomplete updates by sender, base, revision and number of
            pieces. A repeated response fills the gaps of the first one.
    """

    incoming: dict[tuple[str, int, int, int], PartialUpdate] = field(
        default_factory=dict
    )

    def add(self, host: str, piece: ViewPiece, now: float) -> ViewTell | None:
        """Adds a piece; returns the update once all pieces have arrived.

        Raises:
            CodecError: The pieces do not make up a change.
        """
        key = (host, piece.base, piece.revision, piece.parts)
        pieces = self.incoming.setdefault(key, PartialUpdate(piece.parts, now))
        pieces.by_number[piece.part] = piece
        if len(pieces.by_number) < pieces.total:
            return None
        del self.incoming[key]
        from notchhoist.flows.codec.view_pieces import unpack_change

        ordered = [pieces.by_number[n] for n in range(pieces.total)]
        change = unpack_change(b"".join(item.data for item in ordered))
        return _make_update(ordered[0], change)

    def sweep(self, now: float) -> None:
        """Drops updates whose missing pieces are overdue."""
        for key, pieces in list(self.incoming.items()):
            if now - pieces.started_at > REASSEMBLY_TIMEOUT_S:
                del self.incoming[key]


def _make_update(first: ViewPiece, change: ViewChange) -> ViewTell:
    return ViewTell(
        change,
        first.age_s,
        first.members,
        asked=first.asked,
        placing_for_ms=first.placing_for_ms,
        rerouted_for_ms=first.rerouted_for_ms,
    )
