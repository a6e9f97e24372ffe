"""The state dump of an opaque-flow daemon: JSON pages on request.

This module is loaded by the first request, not at the start of a daemon. Paths
and formats are those of the operator port of CoAP daemons, so that one tool
reads both.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice

import msgspec

from notchhoist.daemon.flow_distances import distance_rows
from notchhoist.daemon.flow_health import Node, Row, health
from notchhoist.daemon.flow_journal import flow_text
from notchhoist.daemon.flow_pressure import pressure_rows
from notchhoist.daemon.flow_splits import split_rows
from notchhoist.daemon.http_port import Reply
from notchhoist.daemon.pages import read_page
from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.balancer.readiness import age_s
from notchhoist.flows.decisions import server_selection
from notchhoist.flows.model.fleet import Route, Server
from notchhoist.flows.model.records import Records
from notchhoist.flows.model.view import ZoneKey
from notchhoist.flows.published import states
from notchhoist.flows.published.problems import (
    MAX_CHARACTERS,
    present_problems,
)

HEALTH_PATH = "/health"
DUMP_PATH = "/dump/"


def answer_state(
    node: Node, name: str, zone: str, target: str, now: float
) -> Reply | None:
    """Answers a request for the state of a daemon.

    Args:
        node: Node of the daemon.
        name: Name of its host.
        zone: Its availability zone.
        target: Path and query of the request.
        now: Runtime clock, seconds.

    Returns:
        The reply; None if the path is not one of the state dump.
    """
    path, _, query = target.partition("?")
    if path == HEALTH_PATH:
        return _reply(200, health(node, name, zone, now))
    if not path.startswith(DUMP_PATH):
        return None
    section = path.removeprefix(DUMP_PATH)
    sections = (
        _BALANCER_SECTIONS
        if isinstance(node, BalancerNode)
        else _AGENT_SECTIONS
    )
    row_source = sections.get(section)
    if row_source is None:
        names = " or ".join(sections)
        return _reply(404, {"error": f"section: expected {names}"})
    try:
        offset, limit = read_page(query)
    except ValueError as error:
        return _reply(400, {"error": str(error)})
    rows = list(row_source(node, now))
    entries = list(islice(rows, offset, offset + limit))
    page = {"section": section, "total": len(rows), "offset": offset}
    return _reply(200, {**page, "entries": entries})


def _reply(status: int, value: object) -> Reply:
    return Reply(status, msgspec.json.encode(value, enc_hook=str).decode())


def _servers(node: BalancerNode, now: float) -> Iterator[Row]:
    for service, servers in node.board.by_service.items():
        service_times_ms = [
            item.service_time_ms for item in servers if item.service_time_ms
        ]
        median_ms = server_selection.median(service_times_ms)
        outside_evacuated = server_selection.outside_evacuated_zones(
            servers, node.board.view.evacuated
        )
        usable = server_selection.usable_servers(outside_evacuated, now)
        for server in servers:
            counted_slots = server_selection.effective_slots(server, median_ms)
            row = _server_row(
                server, service, counted_slots, server in usable, now
            )
            yield row | _new_flow_limits_row(node, server, now)


def _new_flow_limits_row(node: BalancerNode, server: Server, now: float) -> Row:
    """Returns the columns that say why a server gets few or no new flows."""
    board = node.board
    cold_left_s = states.cold_until(board, server) - now
    return {
        "evacuated": states.is_evacuated(board, server),
        "bears_per_s": states.cold_bound_per_s(board, server, now) or None,
        "cold_for_s": round(cold_left_s, 3) if cold_left_s > 0 else 0.0,
        "full_for_s": max(0.0, round(server.at_cold_bound_until - now, 3)),
        "born_ms": server.entry.born_ms or None,
        "reborn": server.is_restart,
    }


def _zones(node: BalancerNode, now: float) -> Iterator[Row]:
    """Yields a row for each zone that is or was evacuated."""
    view = node.board.view
    for zone, state in sorted(node.board.zones.items()):
        since = state.evacuated_at
        yield {
            "zone": zone,
            "evacuated": zone in view.evacuated,
            "evacuated_s": None if since is None else age_s(now, since),
            "returned_s": age_s(now, state.returned_at),
            "revision": view.changed_at.get(ZoneKey(zone), 0),
        }


def _server_row(
    server: Server,
    service: str,
    counted_slots: float,
    takes_new: bool,
    now: float,
) -> Row:
    entry = server.entry
    return {
        "server": entry.server_id,
        "service": service,
        "server_host": entry.host,
        "zone": entry.zone,
        "state": "draining" if entry.draining else "ready",
        "slots": entry.slots,
        "listed": server.listed,
        "takes_new_flows": takes_new,
        "flows": server.flows,
        "running": server.running,
        "pace_ms": server.service_time_ms,
        "counts_as_slots": round(counted_slots, 2),
        "load_age_s": age_s(now, server.heard_at),
        "suspected": server.suspected,
        "lost": server.lost,
        "other_service": server.other_service,
        "cold": now < server.warm_at,
    }


def _placements(node: BalancerNode, now: float) -> Iterator[Row]:
    for flow, placement in node.board.flows.items():
        yield {
            "flow": flow_text(flow),
            "server": placement.server.entry.server_id,
            "phase": "accepted" if placement.accepted else "offered",
            "idle_s": age_s(now, placement.last_at),
        }
    for flow, search in node.board.searches.items():
        yield {
            "flow": flow_text(flow),
            "phase": "searched for",
            "unanswered": sorted(search.unanswered),
            "rounds": search.rounds,
            "idle_s": age_s(now, search.sent_at),
        }


def _routes(node: BalancerNode, _: float) -> Iterator[Row]:
    table = node.board.table
    if table is None:
        return
    for route in table.routes.values():
        yield _route_row(route)


def _route_row(route: Route) -> Row:
    key = route.service_key
    targets = [f"{name}:{weight}" for name, weight in route.targets]
    host = ".".join(str(octet) for octet in key[:4])
    return {
        "route": route.name,
        "address": f"{host}:{int.from_bytes(key[4:], 'big')}",
        "kind": route.kind.value,
        "targets": " ".join(targets),
        "priority": route.priority,
        "objective_ms": route.objective_ms,
        "timeout_ms": route.timeout_ms,
    }


def _balancers(node: BalancerNode, now: float) -> Iterator[Row]:
    for host, heard_at in node.synchronizer.membership.last_heard.items():
        yield {"peer": host, "heard_s": age_s(now, heard_at)}


def _agent_flows(node: AgentNode, now: float) -> Iterator[Row]:
    for flow, agent_flow in node.board.flows.items():
        yield {
            "flow": flow_text(flow),
            "phase": agent_flow.phase.value,
            "balancer": agent_flow.balancer,
            "idle_s": age_s(now, agent_flow.last_at),
            "running_s": None
            if agent_flow.running_since is None
            else age_s(now, agent_flow.running_since),
        }


def _waiting(node: AgentNode, now: float) -> Iterator[Row]:
    for request in node.board.waiting.values():
        yield {
            "flow": flow_text(request.flow),
            "waited_s": age_s(now, request.arrived_at),
            "late_in_s": round(request.due - now, 3),
            "priority": request.hints.priority,
            "may_be_refused": request.unopened,
        }


def _backend(node: AgentNode, now: float) -> Iterator[Row]:
    board = node.board
    load = node.load(now)
    yield {
        "service": board.service,
        "slots": board.slots,
        "slots_taken": len(board.active),
        "waiting": len(board.waiting),
        "flows": load.flows,
        "running": load.running,
        "service_ms": round(board.pace_s * 1000, 1),
        "told_ms": load.service_time_ms,
        "failing": round(node.request_gate.answer_times.failing, 3),
        "gone": board.backend_gone,
    } | _reported_state_row(node, now)


def _reported_state_row(node: AgentNode, now: float) -> Row:
    """Returns the columns of what balancers reported of the backend server."""
    board = node.board
    state, since = board.state, board.evacuated_since
    cold_s = max(0.0, round(board.cold_until - now, 3))
    return {
        "state_revision": state.revision if state else 0,
        "born_ms": state.born_ms if state else None,
        "evacuated_s": None if since is None else age_s(now, since),
        "cold_s": cold_s,
        "bound_per_s": state.bound_per_s if state and cold_s else None,
        "bound_used": len(node.opening_gate.recent_openings.times)
        if cold_s
        else 0,
    }


def _known_balancers(node: AgentNode, now: float) -> Iterator[Row]:
    for host, heard_at in node.board.balancers.items():
        yield {"peer": host, "heard_s": age_s(now, heard_at)}


def _counters(node: Node, _: float) -> Iterator[Row]:
    for name, count in sorted(node.board.records.counters.items()):
        yield {"key": name.value, "value": count}


def _problems(node: BalancerNode, _: float) -> Iterator[Row]:
    for key, problem in present_problems(node.board).items():
        for text in problem.texts:
            yield {"key": key[:MAX_CHARACTERS], "not_understood": text}


def _decisions(node: Node, _: float) -> Iterator[Row]:
    yield from _decision_rows(node.board.records)


def _decision_rows(records: Records) -> Iterator[Row]:
    for decision in records.costly:
        yield {
            "flow": flow_text(decision.flow) if decision.flow else "",
            "event": decision.event,
            "reason": decision.outcome,
            **decision.inputs,
        }


RowSource = Callable[..., Iterable[Row]]

_BALANCER_SECTIONS: dict[str, RowSource] = {
    "servers": _servers,
    "flows": _placements,
    "services": _routes,
    "zones": _zones,
    "pressure": pressure_rows,
    "splits": split_rows,
    "distances": distance_rows,
    "problems": _problems,
    "peers": _balancers,
    "counters": _counters,
    "decisions": _decisions,
}
_AGENT_SECTIONS: dict[str, RowSource] = {
    "backend": _backend,
    "flows": _agent_flows,
    "requests": _waiting,
    "peers": _known_balancers,
    "counters": _counters,
    "decisions": _decisions,
}
