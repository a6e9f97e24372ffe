"""Metrics of the opaque-flow daemons in the Prometheus text format.

They are formatted here because ``prometheus_client`` takes 0.1 s of processor
time to load, and a counter is one line.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, cast

from notchhoist.daemon.flow_journal import process_fields
from notchhoist.flows.model.records import (
    BUCKETS_S,
    Histogram,
    NotReady,
    Readiness,
    Series,
    Timing,
)
from notchhoist.flows.model.revisions import count_of, era_of
from notchhoist.links.scheduler import LinkScheduler

if TYPE_CHECKING:
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.distances import Distances
    from notchhoist.flows.balancer.node import BalancerNode

METRICS_PORT = 9464
"""Port of the metrics; the same as in ``deploy/system.toml``."""

METRICS_PATH = "/metrics"


def metrics_text(
    node: BalancerNode | AgentNode,
    balances: bool,
    now: float,
    link: LinkScheduler,
) -> str:
    """Returns the counters, gauges and histograms of a node.

    Args:
        node: The node.
        balances: Whether the node is a balancer.
        now: Runtime clock, seconds.
        link: Scheduler of the datagrams that leave the host.
    """
    board = node.board
    lines = _build_lines(balances)
    lines.append("# TYPE notchhoist_events counter")
    lines += [
        f'notchhoist_events_total{{event="{name.value}"}} {count}'
        for name, count in sorted(board.records.counters.items())
    ]
    if balances:
        gauges = _balancer_gauges(cast("BalancerNode", node), now)
    else:
        gauges = _agent_gauges(cast("AgentNode", node), now)
    gauges |= {"uptime_seconds": now - board.started_at} | _link_gauges(link)
    for name, value in gauges.items():
        lines.append(f"# TYPE notchhoist_{name} gauge")
        lines.append(f"notchhoist_{name} {value:g}")
    lines += _not_ready_lines(board.not_ready, node.readiness, now)
    if balances:
        lines += _round_trips(cast("BalancerNode", node).health.distances)
    lines += _histograms(board.records.histograms)
    return "\n".join(lines) + "\n"


def _balancer_gauges(node: BalancerNode, now: float) -> dict[str, float]:
    from notchhoist.flows.published.problems import count_problems
    from notchhoist.flows.published.reroutings import history_ms

    board = node.board
    texts, entries = count_problems(board)
    return {
        "flows": len(board.flows),
        "searches": len(board.searches),
        "openings": len(board.openings),
        "configuration_refused": bool(board.refused),
        "entries_skipped": entries,
        "parts_not_understood": texts,
        "configuration_version": board.table.version if board.table else 0,
        "view_revision": count_of(board.view.revision),
        "view_era": era_of(board.view.revision),
        "store_revision": count_of(board.store_revision),
        "store_era": board.store_era,
        "view_age_seconds": now - node.board.confirmed_at,
        "store_answer_age_seconds": now - board.store_answered_at,
        "store_failures": board.store_failures,
        "servers_suspected": sum(s.suspected for s in board.servers.values()),
        "servers_listed": sum(s.listed for s in board.servers.values()),
        "balancers_alive": len(node.synchronizer.membership.alive(now)),
        "routes_split": len(board.placed),
        "reroutes_known_seconds": history_ms(board, now) / 1000,
        "zones_evacuated": len(board.view.evacuated),
    }


def _build_lines(balances: bool) -> list[str]:
    """Returns the metric that names role, version and machine."""
    fields = process_fields(balances).items()
    labels = ",".join(f'{name}="{_label(value)}"' for name, value in fields)
    name = "notchhoist_build_info"
    return [f"# TYPE {name} gauge", f"{name}{{{labels}}} 1"]


def _not_ready_lines(
    present: NotReady | None, readiness: Readiness, now: float
) -> list[str]:
    """Returns for how long each reason has kept the process from being ready.

    The reasons that do not hold now are 0.
    """
    name = "notchhoist_not_ready_seconds"
    lines = [f"# TYPE {name} gauge"]
    for reason in NotReady:
        if reason is NotReady.STARTING:
            continue  # It ends before the metrics can be read.
        seconds = readiness.not_ready_s(now) if reason is present else 0.0
        lines.append(f'{name}{{reason="{reason.value}"}} {seconds:g}')
    return lines


def _round_trips(distances: Distances) -> list[str]:
    """Returns the round-trip times by zone, as far as they are known."""
    known = {
        zone: round_trips.estimate_s
        for zone, round_trips in sorted(distances.by_zone.items())
        if round_trips.estimate_s < float("inf")
    }
    if not known:
        return []
    name = "notchhoist_round_trip_seconds"
    lines = [f"# TYPE {name} gauge"]
    return lines + [
        f'{name}{{zone="{_label(zone)}"}} {round_trip_s:g}'
        for zone, round_trip_s in known.items()
    ]


def _agent_gauges(node: AgentNode, now: float) -> dict[str, float]:
    load = node.load(now)
    board = node.board
    return {
        "flows": load.flows,
        "requests_running": load.running,
        "requests_waiting": len(board.waiting),
        "slots": board.slots,
        "slots_taken": len(board.active),
        "service_time_seconds": board.pace_s,
        "failing_share": node.request_gate.answer_times.failing,
        "backend_gone": board.backend_gone,
        "evacuated": board.evacuated_since is not None,
        "cold_seconds": max(0.0, board.cold_until - now),
    }


def _link_gauges(link: LinkScheduler) -> dict[str, float]:
    return {
        "link_backlog_bytes": link.waiting,
        "link_drops": link.drops,
        "link_copies": link.copies,
    }


def _histograms(histograms: Mapping[Series, Histogram]) -> list[str]:
    """Returns all histograms; those of one duration share a metric name."""
    lines: list[str] = []
    for timing in Timing:
        selected = [item for item in histograms if item.timing is timing]
        if not selected:
            continue
        name = f"notchhoist_{timing.value}_seconds"
        lines.append(f"# TYPE {name} histogram")
        for series in selected:
            service, outcome = _label(series.service), _label(series.outcome)
            labels = f'service="{service}",outcome="{outcome}"'
            lines += _histogram_lines(name, labels, histograms[series])
    return lines


def _label(text: str) -> str:
    r"""Returns a label's value with the escapes of the text format.

    Examples:
        >>> print(_label('a "b"'))
        a \"b\"
    """
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def _histogram_lines(name: str, labels: str, histogram: Histogram) -> list[str]:
    lines = []
    total = 0
    for bound in BUCKETS_S:
        total += histogram.counts.get(bound, 0)
        label = "+Inf" if bound == float("inf") else f"{bound:g}"
        lines.append(f'{name}_bucket{{{labels},le="{label}"}} {total}')
    lines.append(f"{name}_sum{{{labels}}} {histogram.total_s:g}")
    lines.append(f"{name}_count{{{labels}}} {total}")
    return lines
