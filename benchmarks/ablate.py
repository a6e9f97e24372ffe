"""Measures the worth of each mechanism: plays days with one disabled each.

    python benchmarks/ablate.py CHECKOUT PLAY SITE:DAY[,DAY]... [--seeds 1,2]
        [--off NAME,NAME] [--jobs 6] [--out FILE]

``CHECKOUT`` is a copy of the repository whose deploy file is rewritten for each
mechanism (``notchhoist.flows.model.mechanisms``); ``PLAY`` is the users'
program that plays days. Prints, for each site, the mean worth of a day with
every mechanism enabled, its standard error over seeds, and the change when each
mechanism is disabled. A change within the error is not significant.
"""

import argparse
import concurrent.futures
import pathlib
import re
import statistics
import subprocess

from notchhoist.flows.model.mechanisms import NAMES

WORTH = re.compile(r"^worth (-?[\d.]+) =", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*)")
SERVES = re.compile(r"^(serves = .*)$", re.MULTILINE)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("checkout", type=pathlib.Path)
    parser.add_argument("play")
    parser.add_argument("days", nargs="+", help="SITE:DAY,DAY")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--off", default=",".join(NAMES))
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--out", type=pathlib.Path)
    return parser.parse_args()


def disable_mechanism(deploy, text, name):
    """Writes the deploy file with a mechanism disabled, or with none."""
    line = f'\\1\nenv = {{ NOTCHHOIST_OFF = "{name}" }}' if name else "\\1"
    deploy.write_text(SERVES.sub(line, text))


def play(options, site, day, seed, name):
    reason = f"Ablation: without {name or 'nothing'}"
    command = [options.play, "run", site, day, "--seed", seed, "--jobs", "1"]
    completed = subprocess.run(
        [*command, "--why", reason],
        cwd=options.checkout,
        capture_output=True,
        text=True,
        check=False,
    )
    match = WORTH.search(completed.stdout)
    if match is None:
        raise SystemExit(
            f"{site} {day}: {completed.stdout[-500:]}{completed.stderr}"
        )
    broken = BROKEN.search(completed.stdout)
    return float(match[1]), broken[1] if broken else ""


def play_all(options, name):
    """Returns the worths by site and day, and the broken rules."""
    jobs = [
        (site, day, seed)
        for site, _, days in (item.rpartition(":") for item in options.days)
        for day in days.split(",")
        for seed in options.seeds.split(",")
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda job: play(options, *job, name), jobs))
    worths = {}
    for (site, day, _), (worth, _) in zip(jobs, results, strict=True):
        worths.setdefault((site, day), []).append(worth)
    broken = sorted({rules for _, rules in results if rules})
    return worths, broken


def by_site(worths):
    means = {}
    for (site, _), values in worths.items():
        means.setdefault(pathlib.Path(site).stem, []).append(
            statistics.mean(values)
        )
    return {site: statistics.mean(values) for site, values in means.items()}


def standard_errors(worths):
    """Returns the standard error of the mean worth of each site's days."""
    deviations_by_site = {}
    for (site, _), values in worths.items():
        deviation = statistics.pstdev(values) / len(values) ** 0.5
        deviations_by_site.setdefault(pathlib.Path(site).stem, []).append(
            deviation
        )
    return {
        site: (sum(error * error for error in deviations) ** 0.5)
        / len(deviations)
        for site, deviations in deviations_by_site.items()
    }


def main():
    options = parse_arguments()
    deploy = options.checkout / "deploy/system.toml"
    text = deploy.read_text()
    lines = []

    def emit(line):
        print(line, flush=True)
        lines.append(line)

    try:
        base_worths, _ = play_all(options, "")
        base, errors = by_site(base_worths), standard_errors(base_worths)
        emit("| out of use | " + " | ".join(base) + " | broken |")
        emit("|---|" + "---|" * (len(base) + 1))
        emit(
            "| nothing | "
            + " | ".join(f"{base[s]:.3f} ± {errors[s]:.3f}" for s in base)
            + " | |"
        )
        for name in options.off.split(","):
            disable_mechanism(deploy, text, name)
            worths, broken = play_all(options, name)
            means = by_site(worths)
            cells = " | ".join(f"{means[s] - base[s]:+.3f}" for s in base)
            emit(f"| `{name}` | {cells} | {'; '.join(broken)} |")
    finally:
        deploy.write_text(text)
        if options.out is not None:
            options.out.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
