"""Draws records of runs side by side, as one self-contained HTML page.

python -m notchhoist.testing.opaque.experiment power-off --save a.json
python -m notchhoist.testing.opaque.page a.json b.json --output page.html
"""

import html
import sys
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from notchhoist.testing.opaque.record import Record, read_record

WIDTH = 560
HEIGHT = 180
MARGIN = 30
COLOURS = ("#1b6ca8", "#c8553d", "#588157", "#8d5a97", "#b08900")
"""Colours of the lines, in order; most colour-blind people can tell them
apart."""

SHADE_S = 0.5
"""Width of the band that marks a disruption, seconds."""

STYLE = """
body { font: 15px sans-serif; margin: 2em; color: #222; }
.runs { display: flex; flex-wrap: wrap; gap: 2em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em 0.2em 0; text-align: left; }
svg { background: #fff; border: 1px solid #ccc; }
.broken { color: #a00; font-weight: bold; }
"""


@attrs.frozen
class Scale:
    """Maps seconds and shares to coordinates of a chart.

    Attributes:
        first: First second shown.
        last: Last second shown.
    """

    first: float
    last: float

    def x(self, second: float) -> float:
        """Returns the x coordinate of a second."""
        span = max(1.0, self.last - self.first)
        part = (second - self.first) / span
        return round(MARGIN + part * (WIDTH - 2 * MARGIN), 1)

    def y(self, share: float) -> float:
        """Returns the y coordinate of a share.

        Examples:
            >>> Scale(0, 10).y(0.0), Scale(0, 10).y(1.0)
            (150.0, 30.0)
        """
        return round(HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN), 1)


def _scale(record: Record) -> Scale:
    seconds = [
        second for series in record.by_kind.values() for second in series
    ]
    return Scale(min(seconds, default=0), max(seconds, default=1))


def _disruption_marks(record: Record, scale: Scale) -> str:
    parts = []
    for at in record.disruptions:
        if not scale.first <= at <= scale.last:
            continue
        left, right = scale.x(at), scale.x(min(at + SHADE_S, scale.last))
        parts.append(
            f'<rect x="{left}" y="{MARGIN}" width="{right - left:.1f}" '
            f'height="{HEIGHT - 2 * MARGIN}" fill="#f3d9d3"/>'
        )
    return "".join(parts)


def _line(series: dict[int, float], scale: Scale, colour: str) -> str:
    points = " ".join(
        f"{scale.x(second)},{scale.y(share)}"
        for second, share in sorted(series.items())
    )
    return (
        f'<polyline points="{points}" fill="none" stroke="{colour}" '
        'stroke-width="2"/>'
    )


def _label(x: float, y: float, text: str, colour: str = "#555") -> str:
    return (
        f'<text x="{x}" y="{y}" font-size="11" fill="{colour}">'
        f"{html.escape(text)}</text>"
    )


def chart(series: dict[str, dict[int, float]], record: Record) -> str:
    """Returns an SVG chart of shares by second, with disruptions shaded."""
    scale = _scale(record)
    parts = [
        f'<svg width="{WIDTH}" height="{HEIGHT}" role="img">',
        _disruption_marks(record, scale),
    ]
    parts += [
        _label(2, scale.y(share) + 4, f"{share:g}") for share in (0, 0.5, 1)
    ]
    parts += [
        _label(scale.x(second), HEIGHT - 8, f"{second:g} s")
        for second in (scale.first, scale.last - 2)
    ]
    for number, (name, values) in enumerate(sorted(series.items())):
        colour = COLOURS[number % len(COLOURS)]
        parts.append(_line(values, scale, colour))
        parts.append(_label(MARGIN + 120 * number, 16, name, colour))
    return "".join([*parts, "</svg>"])


def _summary(record: Record) -> str:
    rows = [
        ("worth", f"{record.worth:.3f}"),
        ("calls to the store", str(record.calls)),
        ("MB between zones", f"{record.zone_mb:g}"),
        *(
            (f"{service}: busiest / mean", f"{ratio:.2f}")
            for service, ratio in record.imbalance.items()
        ),
        ("broken", str(len(record.broken))),
    ]
    cells = [
        f"<tr><th>{html.escape(name)}</th><td>{html.escape(value)}</td></tr>"
        for name, value in rows
    ]
    return f"<table>{''.join(cells)}</table>"


def page_text(records: list[Record]) -> str:
    """Returns the HTML page for some records."""
    runs = []
    for record in records:
        broken = "".join(
            f'<p class="broken">{html.escape(text)}</p>'
            for text in record.broken[:10]
        )
        runs.append(
            f"<section><h2>{html.escape(record.title)}</h2>{_summary(record)}"
            f"{broken}<h3>Worth by kind of request</h3>"
            f"{chart(record.by_kind, record)}"
            f"<h3>Worth by availability zone</h3>"
            f"{chart(record.by_zone, record)}</section>"
        )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Runs</title><style>{STYLE}</style>"
        "<h1>Simulated runs</h1>"
        "<p>Each point covers the requests that were sent in one second; "
        "shaded bands mark disruptions.</p>"
        f'<div class="runs">{"".join(runs)}</div></html>\n'
    )


@cappa.command(name="page", description="Draws records of runs side by side.")
@attrs.define
class Command:
    """The command line.

    Attributes:
        records: Records that ``experiment --save`` wrote.
        output: File for the page.
    """

    records: Annotated[list[Path], cappa.Arg()]
    output: Annotated[Path, cappa.Arg(long=True)] = Path("page.html")


def main() -> int:
    """Entry point; returns 2 if a record cannot be read."""
    command = cappa.parse(Command)
    records = []
    for path in command.records:
        try:
            records.append(read_record(path.read_text()))
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 2
    command.output.write_text(page_text(records))
    print(command.output)
    return 0


if __name__ == "__main__":
    sys.exit(main())
