"""Thrift structs of views."""

from typing import Any

from notchhoist.flows.codec.field_ranges import check_fields, fit_fields
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.model.fleet import (
    ColdBound,
    RequestKind,
    Route,
    ServerEntry,
)
from notchhoist.flows.model.messages import Member, ViewTell
from notchhoist.flows.model.revisions import (
    count_of,
    era_of,
    make_revision,
)
from notchhoist.flows.model.view import ViewChange


def member_struct(member: Member) -> Any:
    """Returns the Thrift struct of a balancer."""
    unserved = member.unserved or None
    return fit_fields(
        ttypes.Member(member.host, member.link_mbps, member.age_ms, unserved)
    )


def members_of(structs: Any) -> tuple[Member, ...]:
    """Returns the balancers in Thrift structs.

    Raises:
        ValueError: A field is missing or out of its range.
    """
    for struct in structs:
        check_fields(struct)
    return tuple(
        Member(m.host, m.link_mbps, m.age_ms, bool(m.unserved)) for m in structs
    )


def view_struct(update: ViewTell) -> Any:
    """Returns the Thrift struct of a part of a view."""
    change = update.change
    struct = ttypes.ViewTell(
        revision=count_of(change.revision),
        era=era_of(change.revision),
        base=count_of(change.base),
        age_ms=update.age_s * 1000,
        members=[member_struct(member) for member in update.members],
        part=update.part,
        parts=update.parts,
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
        asked=update.asked,
        placing_for_ms=update.placing_for_ms or None,
        rerouted_for_ms=update.rerouted_for_ms or None,
        reroutes_known_for_ms=update.reroutes_known_for_ms or None,
        routes_digest=change.routes_digest,
    )
    return fit_fields(struct)


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


def _zones_of(structs: Any) -> tuple[tuple[str, int], ...]:
    for struct in structs or ():
        check_fields(struct)
    return tuple(
        (struct.name, make_revision(struct.era or 0, struct.revision))
        for struct in structs or ()
    )


def _bounds_of(structs: Any) -> tuple[ColdBound, ...]:
    for struct in structs or ():
        check_fields(struct)
    return tuple(
        ColdBound(struct.service_name, struct.per_s, struct.lasts_s)
        for struct in structs or ()
    )


def view_of(struct: Any) -> ViewTell:
    """Returns the part of a view in a Thrift struct.

    Raises:
        ValueError: A field is missing or out of its range.
    """
    check_fields(struct)
    if struct.part >= struct.parts:
        raise ValueError(f"impossible part: {struct.part} of {struct.parts}")
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
        routes_digest=struct.routes_digest,
    )
    return ViewTell(
        change,
        struct.age_ms / 1000,
        members_of(struct.members),
        struct.part,
        struct.parts,
        struct.asked or 0,
        struct.placing_for_ms or 0,
        struct.rerouted_for_ms or 0,
        struct.reroutes_known_for_ms or 0,
    )


def _route_of(struct: Any) -> Route:
    check_fields(struct)
    for target in struct.targets:
        check_fields(target)
    if sum(target.weight for target in struct.targets) <= 0:
        raise ValueError(f"route {struct.name}: no target has a weight")
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
    """Returns the kind of a name; kinds of newer versions become once-only."""
    try:
        return RequestKind(name)
    except ValueError:
        return RequestKind.ONCE_ONLY


def _server_of(struct: Any) -> tuple[ServerEntry, int]:
    check_fields(struct)
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
