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
    """What a run came to.

    Attributes:
        title: Which run it was.
        worth: Credit earned as a share of the credit owed.
        by_kind: The same by second, for each kind of request.
        by_zone: The same by second, for each availability zone.
        imbalance: Busiest server over the mean, by service.
        calls: Calls to the store.
        zone_mb: Bytes between zones, MB.
        disruptions: When something was disturbed, seconds.
        broken: What must not have happened.
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
    endings: Iterable[Ending], credits: dict[str, Workload], name: str
) -> dict[str, dict[int, float]]:
    """Returns earned over owed by a field of the endings and by second.

    Args:
        endings: How each request ended.
        credits: Kinds of request by name.
        name: Field to group by, ``kind`` or ``zone``.
    """
    earned: dict[tuple[str, int], float] = defaultdict(float)
    owed: dict[tuple[str, int], float] = defaultdict(float)
    for ending in endings:
        kind = credits[ending.kind]
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
    """Makes the record of a run that has ended."""
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
        ValueError: It is none.
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
