"""The outcome of a run, second by second, as JSON."""

import json
from collections import defaultdict
from collections.abc import Iterable

import attrs

from notchhoist.testing.opaque.judge import Ending
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.opaque.world import OpaqueWorld


@attrs.frozen
class Record:
    """The outcome of a run.

    Attributes:
        title: Scenario and seed, or another name of the run.
        worth: Credit earned as a share of the credit owed.
        by_kind: The same for each kind of request and second.
        by_zone: The same for each availability zone and second.
        imbalance: Requests of the busiest server over the mean, by service.
        calls: Number of requests to the store.
        zone_mb: Traffic between zones, MB.
        disruptions: Times at which a fault was injected or ended, seconds.
        broken: Broken guarantees.
    """

    title: str
    worth: float
    by_kind: dict[str, dict[int, float]]
    by_zone: dict[str, dict[int, float]]
    imbalance: dict[str, float]
    calls: int
    zone_mb: float
    disruptions: list[float]
    broken: list[str]


def worth_by_second(
    endings: Iterable[Ending], workloads: dict[str, Workload], name: str
) -> dict[str, dict[int, float]]:
    """Returns earned over owed credit, by a field of the endings and second.

    Args:
        endings: How each request ended.
        workloads: Kinds of request by name.
        name: Field to group by, ``kind`` or ``zone``.
    """
    earned: dict[tuple[str, int], float] = defaultdict(float)
    owed: dict[tuple[str, int], float] = defaultdict(float)
    for ending in endings:
        kind = workloads[ending.kind]
        key = (getattr(ending, name), int(ending.asked_at))
        owed[key] += kind.worth
        if ending.outcome == "in_time":
            earned[key] += kind.worth
        elif ending.outcome == "late":
            earned[key] += kind.late_worth
    series: dict[str, dict[int, float]] = defaultdict(dict)
    for (group, second), total in sorted(owed.items()):
        series[group][second] = round(earned[group, second] / total, 4)
    return dict(series)


def make_record(title: str, world: OpaqueWorld) -> Record:
    """Returns the record of a finished run."""
    judge = world.judge
    kinds = {workload.name: workload for workload in world.workloads}
    return Record(
        title=title,
        worth=round(judge.worth(world.workloads), 4),
        by_kind=worth_by_second(judge.endings, kinds, "kind"),
        by_zone=worth_by_second(judge.endings, kinds, "zone"),
        imbalance={
            service: round(judge.imbalance(service), 3)
            for service in judge.arrivals
        },
        calls=world.store.calls,
        zone_mb=round(world.network.zone_bytes / 1e6, 3),
        disruptions=[round(at, 3) for at in judge.disruptions],
        broken=list(judge.broken),
    )


def write_record(record: Record) -> str:
    """Returns a record as JSON."""
    return json.dumps(attrs.asdict(record))


def read_record(text: str) -> Record:
    """Reads a record.

    Raises:
        ValueError: The text is not a record.
    """
    fields = json.loads(text)
    names = {field.name for field in attrs.fields(Record)}
    if not isinstance(fields, dict) or set(fields) != names:
        raise ValueError("not a record of a run")
    for name in ("by_kind", "by_zone"):
        fields[name] = {
            group: {int(second): share for second, share in series.items()}
            for group, series in fields[name].items()
        }
    return Record(**fields)
