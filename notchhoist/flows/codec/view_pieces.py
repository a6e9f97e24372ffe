"""Pieces of large view changes, compressed once for several receivers."""

import zlib
from typing import Any

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.compact import read_struct, write_struct
from notchhoist.flows.codec.field_ranges import fit_fields
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.view_codec import (
    member_struct,
    members_of,
    view_of,
    view_struct,
)
from notchhoist.flows.model.messages import ViewPiece, ViewTell
from notchhoist.flows.model.revisions import count_of, era_of, make_revision
from notchhoist.flows.model.view import ViewChange

COMPRESSION_LEVEL = 1
"""zlib level; higher ones take twice the time and save one eighth more."""

UNPACKED_BYTES_MAX = 8_000_000
"""Largest decompressed change that is accepted; 10,000 servers take a tenth."""


def pack_change(change: ViewChange) -> bytes:
    """Returns a change, encoded and compressed."""
    update = ViewTell(change, 0.0, ())
    return zlib.compress(write_struct(view_struct(update)), COMPRESSION_LEVEL)


def unpack_change(data: bytes) -> ViewChange:
    """Decodes a change that ``pack_change`` has encoded.

    Raises:
        CodecError: The bytes are not an encoded change.
    """
    struct = ttypes.ViewTell()
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, UNPACKED_BYTES_MAX)
        if not unpacker.eof:
            raise ValueError("too long or truncated")
        read_struct(struct, plain)
        return view_of(struct).change
    except Exception as error:  # Errors of the library share no base type.
        reason = f"{type(error).__name__}: {error}"[:200]
        raise CodecError("view", reason) from error


def piece_struct(piece: ViewPiece) -> Any:
    """Returns the Thrift struct of a piece."""
    struct = ttypes.ViewPiece(
        revision=count_of(piece.revision),
        era=era_of(piece.revision),
        base=count_of(piece.base),
        age_ms=piece.age_s * 1000,
        members=[member_struct(member) for member in piece.members],
        part=piece.part,
        parts=piece.parts,
        data=piece.data,
        asked=piece.asked,
        placing_for_ms=piece.placing_for_ms or None,
        rerouted_for_ms=piece.rerouted_for_ms or None,
        reroutes_known_for_ms=piece.reroutes_known_for_ms or None,
    )
    return fit_fields(struct)


def piece_of(struct: Any) -> ViewPiece:
    """Returns the piece in a Thrift struct.

    Raises:
        ValueError: A part number is impossible, or a member lacks a field or
            has one out of its range.
    """
    if struct.part >= struct.parts:
        raise ValueError(f"impossible piece: {struct.part} of {struct.parts}")
    era = struct.era or 0
    return ViewPiece(
        revision=make_revision(era, struct.revision),
        base=make_revision(era, struct.base) if struct.base else 0,
        age_s=struct.age_ms / 1000,
        members=members_of(struct.members),
        part=struct.part,
        parts=struct.parts,
        data=struct.data,
        asked=struct.asked or 0,
        placing_for_ms=struct.placing_for_ms or 0,
        rerouted_for_ms=struct.rerouted_for_ms or 0,
        reroutes_known_for_ms=struct.reroutes_known_for_ms or 0,
    )
