"""Thrift compact encoding of the control messages of opaque flows.

Imported when the first message is sent or received: importing it takes time,
and a process must be listening first.
"""

from typing import Any

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.compact import read_message, write_message
from notchhoist.flows.codec.field_ranges import check_fields, fit_fields
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.view_codec import view_of, view_struct
from notchhoist.flows.codec.view_pieces import piece_of, piece_struct
from notchhoist.flows.model.messages import (
    FlowsAsk,
    FlowsTell,
    LoadAsk,
    LoadTell,
    PeerMessage,
    ServerState,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.revisions import (
    count_of,
    era_of,
    make_revision,
)

PROTOCOL_VERSION = 1
REASON_CHARACTERS_MAX = 200


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a control message.

    Times, counts and sizes past their ranges become the ends of these.

    Raises:
        CodecError: A field holds a value that the wire does not carry.
    """
    struct = ttypes.FlowMessage(version=PROTOCOL_VERSION)
    try:
        _set_body(struct, message)
        return write_message(struct)
    except Exception as error:  # Errors of the library share no base type.
        raise _codec_error(error) from error


def _codec_error(error: Exception) -> CodecError:
    reason = f"{type(error).__name__}: {error}"[:REASON_CHARACTERS_MAX]
    return CodecError("thrift", reason)


def _set_body(struct: Any, message: PeerMessage) -> None:
    match message:
        case LoadAsk(slots, state):
            struct.load_ask = fit_fields(
                ttypes.LoadAsk(slots, _state_struct(state))
            )
        case LoadTell():
            struct.load_tell = _load_struct(message)
        case FlowsAsk(number, tag, heads, samples):
            struct.flows_ask = fit_fields(
                ttypes.FlowsAsk(number, tag, list(heads), list(samples))
            )
        case FlowsTell():
            struct.flows_tell = _flows_struct(message)
        case ViewAsk():
            struct.view_ask = _query_struct(message)
        case ViewTell():
            struct.view_tell = view_struct(message)
        case ViewPiece():
            struct.view_piece = piece_struct(message)


def _load_struct(report: LoadTell) -> Any:
    struct = ttypes.LoadTell(
        report.flows,
        report.running,
        report.pace_ms,
        report.stopping,
        count_of(report.state_revision),
        era_of(report.state_revision),
        report.service or None,
    )
    return fit_fields(struct)


def _query_struct(query: ViewAsk) -> Any:
    struct = ttypes.ViewAsk(
        count_of(query.revision),
        query.link_mbps,
        query.number,
        era_of(query.revision),
        query.reads_pieces or None,
        query.unserved or None,
    )
    return fit_fields(struct)


def _state_struct(state: ServerState | None) -> Any:
    if state is None:
        return None
    struct = ttypes.ServerState(
        revision=count_of(state.revision),
        era=era_of(state.revision),
        born_ms=state.born_ms,
        evacuated=state.evacuated,
        evacuated_for_ms=state.evacuated_for_s * 1000,
        cold_for_ms=state.cold_for_s * 1000,
        bound_per_s=state.bound_per_s,
        bound_lasts_s=state.bound_lasts_s,
        draining=state.draining,
    )
    return fit_fields(struct)


def _flows_struct(reply: FlowsTell) -> Any:
    struct = ttypes.FlowsTell(
        number=reply.number,
        present=list(reply.present),
        absent=list(reply.absent),
        unsure=list(reply.unsure),
        flows=reply.flows,
        running=reply.running,
        pace_ms=reply.pace_ms,
        age_ms=reply.age_ms or None,
    )
    return fit_fields(struct)


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a control message.

    Examples:
        >>> report = LoadTell(4, 1, 60, False)
        >>> decode_message(encode_message(report)) == report
        True

    Raises:
        CodecError: The bytes are not a message of this protocol version.
    """
    struct = ttypes.FlowMessage()
    try:
        read_message(struct, data)
        return _message_of(struct)
    except Exception as error:  # Errors of the library share no base type.
        raise _codec_error(error) from error


def _message_of(struct: Any) -> PeerMessage:
    if struct.version != PROTOCOL_VERSION:
        raise ValueError(f"protocol version {struct.version}")
    for body in (
        struct.load_ask,
        struct.load_tell,
        struct.view_ask,
        struct.flows_ask,
        struct.flows_tell,
        struct.view_piece,
    ):
        if body is not None:
            check_fields(body)
    if struct.load_ask is not None:
        load_query = struct.load_ask
        return LoadAsk(load_query.slots, _state_of(load_query.state))
    if struct.load_tell is not None:
        load_report = struct.load_tell
        return LoadTell(
            load_report.flows,
            load_report.running,
            load_report.pace_ms,
            load_report.stopping,
            make_revision(
                load_report.state_era or 0, load_report.state_revision or 0
            ),
            load_report.service_name or "",
        )
    if struct.flows_ask is not None:
        flows_query = struct.flows_ask
        heads, samples = tuple(flows_query.heads), tuple(flows_query.samples)
        return FlowsAsk(flows_query.number, flows_query.tag, heads, samples)
    if struct.flows_tell is not None:
        return _flows_of(struct.flows_tell)
    if struct.view_ask is not None:
        view_query = struct.view_ask
        known = make_revision(view_query.era or 0, view_query.revision)
        number, reads_pieces = (
            view_query.number or 0,
            bool(view_query.reads_pieces),
        )
        unserved = bool(view_query.unserved)
        return ViewAsk(
            known, view_query.link_mbps, number, reads_pieces, unserved
        )
    if struct.view_tell is not None:
        return view_of(struct.view_tell)
    if struct.view_piece is not None:
        return piece_of(struct.view_piece)
    raise ValueError("no known message")


def _state_of(struct: Any) -> ServerState | None:
    if struct is None:
        return None
    check_fields(struct)
    return ServerState(
        revision=make_revision(struct.era or 0, struct.revision),
        born_ms=struct.born_ms,
        evacuated=struct.evacuated,
        evacuated_for_s=struct.evacuated_for_ms / 1000,
        cold_for_s=struct.cold_for_ms / 1000,
        bound_per_s=struct.bound_per_s,
        bound_lasts_s=struct.bound_lasts_s,
        draining=bool(struct.draining),
    )


def _flows_of(struct: Any) -> FlowsTell:
    return FlowsTell(
        number=struct.number,
        present=tuple(struct.present),
        absent=tuple(struct.absent),
        unsure=tuple(struct.unsure),
        flows=struct.flows,
        running=struct.running,
        pace_ms=struct.pace_ms,
        age_ms=struct.age_ms or 0,
    )
