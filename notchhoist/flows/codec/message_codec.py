"""Thrift compact encoding of the control messages of opaque flows.

Loaded when the first message is sent or comes, since a process must be
listening before it has time for this.
"""

from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.model.fleet import (
    ColdBound,
    RequestKind,
    Route,
    ServerEntry,
)
from notchhoist.flows.model.messages import (
    FlowsAsk,
    FlowsTell,
    LoadAsk,
    LoadTell,
    Member,
    PeerMessage,
    ServerState,
    ViewAsk,
    ViewTell,
)
from notchhoist.flows.model.revisions import (
    count_of,
    era_of,
    make_revision,
)
from notchhoist.flows.model.view import ViewChange

PROTOCOL_VERSION = 1
MAX_BYTES = 65_535
MAX_RECORDS = 10_000
AGE_MAX_S = 1e6

_ADDED_LATER = {
    "LoadAsk": ("state",),
    "LoadTell": ("state_revision", "state_era"),
    "Server": ("born_ms", "era", "created_era", "withdrawn"),
    "ServerState": ("draining", "era"),
    "ViewAsk": ("number", "era"),
    "Zone": ("era",),
    "ViewTell": (
        "asked",
        "era",
        "cold_bounds",
        "evacuated",
        "returned",
        "evacuated_total",
    ),
}
"""Fields that processes of an earlier version do not send."""

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_BYTES, container_length_limit=MAX_RECORDS
)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a control message."""
    struct = ttypes.FlowMessage(version=PROTOCOL_VERSION)
    match message:
        case LoadAsk():
            struct.load_ask = ttypes.LoadAsk(
                message.slots, _state_struct(message.state)
            )
        case LoadTell():
            struct.load_tell = ttypes.LoadTell(
                message.flows,
                message.running,
                message.pace_ms,
                message.stopping,
                count_of(message.state_revision),
                era_of(message.state_revision),
            )
        case FlowsAsk(number, tag, heads, samples):
            struct.flows_ask = ttypes.FlowsAsk(
                number, tag, list(heads), list(samples)
            )
        case FlowsTell():
            struct.flows_tell = _flows_struct(message)
        case ViewAsk():
            struct.view_ask = ttypes.ViewAsk(
                count_of(message.revision),
                message.link_mbps,
                message.number,
                era_of(message.revision),
            )
        case ViewTell():
            struct.view_tell = _view_struct(message)
    buffer = TTransport.TMemoryBuffer()
    struct.write(_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def _state_struct(state: ServerState | None) -> Any:
    if state is None:
        return None
    return ttypes.ServerState(
        revision=count_of(state.revision),
        era=era_of(state.revision),
        born_ms=state.born_ms,
        evacuated=state.evacuated,
        evacuated_for_ms=int(min(state.evacuated_for_s, AGE_MAX_S) * 1000),
        cold_for_ms=int(min(state.cold_for_s, AGE_MAX_S) * 1000),
        bound_per_s=state.bound_per_s,
        bound_lasts_s=state.bound_lasts_s,
        draining=state.draining,
    )


def _flows_struct(tell: FlowsTell) -> Any:
    return ttypes.FlowsTell(
        number=tell.number,
        present=list(tell.present),
        absent=list(tell.absent),
        unsure=list(tell.unsure),
        flows=tell.flows,
        running=tell.running,
        pace_ms=tell.pace_ms,
    )


def _view_struct(tell: ViewTell) -> Any:
    change = tell.change
    return ttypes.ViewTell(
        revision=count_of(change.revision),
        era=era_of(change.revision),
        base=count_of(change.base),
        age_ms=int(min(tell.age_s, AGE_MAX_S) * 1000),
        members=[
            ttypes.Member(m.host, m.link_mbps, m.age_ms) for m in tell.members
        ],
        part=tell.part,
        parts=tell.parts,
        version=change.version,
        idle_s=change.idle_s,
        routes=[_route_struct(route) for route in change.routes],
        removed_routes=list(change.removed_routes),
        servers=[_server_struct(*item) for item in change.servers],
        removed_servers=list(change.removed_servers),
        routes_total=change.routes_total,
        servers_total=change.servers_total,
        cold_bounds=[
            ttypes.ColdBound(bound.service, bound.per_s, bound.lasts_s)
            for bound in change.cold_bounds
        ],
        evacuated=[_zone_struct(*zone) for zone in change.evacuated],
        returned=[_zone_struct(*zone) for zone in change.returned],
        evacuated_total=change.evacuated_total,
        asked=tell.asked,
    )


def _zone_struct(name: str, revision: int) -> Any:
    return ttypes.Zone(name, count_of(revision), era_of(revision))


def _route_struct(route: Route) -> Any:
    return ttypes.Route(
        name=route.name,
        service_key=route.service_key,
        kind=route.kind.value,
        targets=[ttypes.Target(*target) for target in route.targets],
        priority=route.priority,
        objective_ms=route.objective_ms,
        timeout_ms=route.timeout_ms,
    )


def _server_struct(entry: ServerEntry, revision: int) -> Any:
    return ttypes.Server(
        server_id=entry.server_id,
        service_name=entry.service,
        host=entry.host,
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.draining,
        warm_in_s=entry.warm_in_s,
        created=count_of(entry.created),
        created_era=era_of(entry.created),
        revision=count_of(revision),
        era=era_of(revision),
        born_ms=entry.born_ms,
        withdrawn=entry.withdrawn,
    )


def decode_message(data: bytes) -> PeerMessage:
    """Decodes a control message.

    Examples:
        >>> tell = LoadTell(4, 1, 60, False)
        >>> decode_message(encode_message(tell)) == tell
        True

    Raises:
        CodecError: The bytes are no message of this version.
    """
    struct = ttypes.FlowMessage()
    try:
        struct.read(_FACTORY.getProtocol(TTransport.TMemoryBuffer(data)))
        return _message_of(struct)
    except Exception as error:  # The library raises many unrelated types.
        reason = f"{type(error).__name__}: {error}"[:200]
        raise CodecError("thrift", reason) from error


def _message_of(struct: Any) -> PeerMessage:
    if struct.version != PROTOCOL_VERSION:
        raise ValueError(f"protocol version {struct.version}")
    for body in (
        struct.load_ask,
        struct.load_tell,
        struct.view_ask,
        struct.flows_ask,
        struct.flows_tell,
    ):
        if body is not None:
            _check_whole(body)
    if struct.load_ask is not None:
        asked = struct.load_ask
        return LoadAsk(asked.slots, _state_of(asked.state))
    if struct.load_tell is not None:
        told = struct.load_tell
        return LoadTell(
            told.flows,
            told.running,
            told.pace_ms,
            told.stopping,
            make_revision(told.state_era or 0, told.state_revision or 0),
        )
    if struct.flows_ask is not None:
        question = struct.flows_ask
        heads, samples = tuple(question.heads), tuple(question.samples)
        return FlowsAsk(question.number, question.tag, heads, samples)
    if struct.flows_tell is not None:
        return _flows_of(struct.flows_tell)
    if struct.view_ask is not None:
        view = struct.view_ask
        known = make_revision(view.era or 0, view.revision)
        return ViewAsk(known, view.link_mbps, view.number or 0)
    if struct.view_tell is not None:
        return _view_of(struct.view_tell)
    raise ValueError("no known message")


def _check_whole(struct: Any) -> None:
    """Raises ValueError where a field is missing that has always been there."""
    later = _ADDED_LATER.get(type(struct).__name__, ())
    for entry in struct.thrift_spec:
        if not entry or entry[2] in later:
            continue
        if getattr(struct, entry[2]) is None:
            raise ValueError(f"{type(struct).__name__}.{entry[2]} is missing")


def _state_of(struct: Any) -> ServerState | None:
    if struct is None:
        return None
    _check_whole(struct)
    return ServerState(
        revision=make_revision(struct.era or 0, struct.revision),
        born_ms=struct.born_ms,
        evacuated=struct.evacuated,
        evacuated_for_s=max(0, struct.evacuated_for_ms) / 1000,
        cold_for_s=max(0, struct.cold_for_ms) / 1000,
        bound_per_s=max(0.0, struct.bound_per_s),
        bound_lasts_s=max(0.0, struct.bound_lasts_s),
        draining=bool(struct.draining),
    )


def _zones_of(structs: Any) -> tuple[tuple[str, int], ...]:
    for struct in structs or ():
        _check_whole(struct)
    return tuple(
        (struct.name, make_revision(struct.era or 0, struct.revision))
        for struct in structs or ()
    )


def _bounds_of(structs: Any) -> tuple[ColdBound, ...]:
    for struct in structs or ():
        _check_whole(struct)
    return tuple(
        ColdBound(struct.service_name, struct.per_s, struct.lasts_s)
        for struct in structs or ()
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
    )


def _view_of(struct: Any) -> ViewTell:
    _check_whole(struct)
    if not 0 <= struct.part < struct.parts <= MAX_RECORDS:
        raise ValueError(f"part {struct.part} of {struct.parts}")
    era = struct.era or 0
    change = ViewChange(
        revision=make_revision(era, struct.revision),
        base=make_revision(era, struct.base) if struct.base else 0,
        version=struct.version,
        idle_s=struct.idle_s,
        routes=tuple(_route_of(item) for item in struct.routes),
        removed_routes=tuple(struct.removed_routes),
        servers=tuple(_server_of(item) for item in struct.servers),
        removed_servers=tuple(struct.removed_servers),
        routes_total=struct.routes_total,
        servers_total=struct.servers_total,
        cold_bounds=_bounds_of(struct.cold_bounds),
        evacuated=_zones_of(struct.evacuated),
        returned=_zones_of(struct.returned),
        evacuated_total=struct.evacuated_total or 0,
    )
    age_s = struct.age_ms / 1000
    for item in struct.members:
        _check_whole(item)
    members = tuple(
        Member(m.host, m.link_mbps, m.age_ms) for m in struct.members
    )
    return ViewTell(
        change, age_s, members, struct.part, struct.parts, struct.asked or 0
    )


def _route_of(struct: Any) -> Route:
    _check_whole(struct)
    for target in struct.targets:
        _check_whole(target)
    if sum(target.weight for target in struct.targets) <= 0:
        raise ValueError(f"route {struct.name} leads nowhere")
    return Route(
        name=struct.name,
        service_key=struct.service_key,
        kind=_kind_of(struct.kind),
        targets=tuple((t.service_name, t.weight) for t in struct.targets),
        priority=struct.priority,
        objective_ms=struct.objective_ms,
        timeout_ms=struct.timeout_ms,
    )


def _kind_of(name: str) -> RequestKind:
    """Returns a kind; one that only newer processes know is once-only."""
    try:
        return RequestKind(name)
    except ValueError:
        return RequestKind.ONCE_ONLY


def _server_of(struct: Any) -> tuple[ServerEntry, int]:
    _check_whole(struct)
    entry = ServerEntry(
        server_id=struct.server_id,
        service=struct.service_name,
        host=struct.host,
        zone=struct.zone,
        slots=struct.slots,
        draining=struct.draining,
        warm_in_s=struct.warm_in_s,
        created=make_revision(struct.created_era or 0, struct.created),
        born_ms=struct.born_ms or 0,
        withdrawn=bool(struct.withdrawn),
    )
    return entry, make_revision(struct.era or 0, struct.revision)
