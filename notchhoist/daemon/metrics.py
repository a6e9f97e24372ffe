"""Metrics in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from notchhoist import blackboards
from notchhoist.daemon.runtime import Runtime

QUANTILES_PERCENT = (50.0, 90.0, 99.0, 99.9)
"""Published quantiles of the latency, percent."""
MICROSECONDS_PER_S = 1e6


class _BoardCollector:
    """Collects the metrics of a blackboard on each scrape."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics of the daemon."""
        board = self.runtime.node.board
        yield from _counters(board)
        yield GaugeMetricFamily(
            "notchhoist_revision",
            "Configuration revision in force",
            value=board.config.store.revision,
        )
        yield from self._peer_bytes()
        if isinstance(board, blackboards.AgentBoard):
            yield from _agent_metrics(board)

    def _peer_bytes(self) -> Iterator[Metric]:
        family = CounterMetricFamily(
            "notchhoist_peer_bytes",
            "Bytes between processes",
            labels=["direction"],
        )
        family.add_metric(["sent"], self.runtime.peers.sent_bytes)
        family.add_metric(["received"], self.runtime.peers.received_bytes)
        yield family


def _counters(
    board: blackboards.AgentBoard | blackboards.BalancerBoard,
) -> Iterator[Metric]:
    family = CounterMetricFamily(
        "notchhoist_events", "Counts since the start", labels=["event"]
    )
    for name, count in board.counters.items():
        family.add_metric([name.value], count)
    yield family


def _agent_metrics(board: blackboards.AgentBoard) -> Iterator[Metric]:
    gauges = {
        "flows": len(board.flows),
        "slots_taken": board.admission.in_flight,
        "queued": board.admission.queued(),
        "slot_limit": board.admission.ramp.limit(),
    }
    for name, value in gauges.items():
        yield GaugeMetricFamily(f"notchhoist_{name}", name, value=value)
    yield from _latencies(board)


def _latencies(board: blackboards.AgentBoard) -> Iterator[Metric]:
    family = SummaryMetricFamily(
        "notchhoist_latency_seconds", "Arrival to answer", labels=["kind"]
    )
    quantiles = GaugeMetricFamily(
        "notchhoist_latency_quantile_seconds",
        "Arrival to answer",
        labels=["kind", "quantile"],
    )
    for kind, histogram in board.latencies.items():
        count = histogram.get_total_count()
        total = histogram.get_mean_value() * count / MICROSECONDS_PER_S
        family.add_metric([kind], count, total)
        for quantile in QUANTILES_PERCENT:
            value = (
                histogram.get_value_at_percentile(quantile) / MICROSECONDS_PER_S
            )
            quantiles.add_metric([kind, str(quantile / 100)], value)
    yield family
    yield quantiles


def metrics_text(runtime: Runtime) -> str:
    """Returns all metrics of a daemon in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_BoardCollector(runtime))
    return generate_latest(registry).decode()
