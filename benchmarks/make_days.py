"""Writes day files with faults: each variant occurs twice, next to another.

Every day has planned work throughout, so that faults occur while backend
servers and balancers are added and removed. The second fault of a day, the
times and the planned work are drawn from a fixed seed. The files in ``days``
are written by

    python benchmarks/make_days.py benchmarks/days
"""

import pathlib
import random
import sys

SEED = 20261202
LENGTH_S = 32.0
"""Duration of the traffic of a standard day, seconds."""

# ruff: noqa: E501

STORE = [
    'kind = "platform_down", for_s = 5.0, how = "silent"',
    'kind = "platform_down", for_s = 5.0, how = "busy lapse"',
    'kind = "platform_down", for_s = 5.0, how = "reset lapse"',
    'kind = "platform_down", for_s = 7.0, how = "nodes busy revoke", share = 0.4',
    'kind = "platform_down", for_s = 7.0, how = "nodes many leader", share = 0.4',
    'kind = "platform_down", for_s = 7.0, how = "nodes reset meet", share = 0.4',
    'kind = "platform_slow", x = 60.0, for_s = 5.0',
    'kind = "platform_lost", x = 0.5, for_s = 5.0',
    'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"',
    'kind = "platform_compact", x = 5.0, for_s = 6.0',
    'kind = "platform_compact", x = 5.0, for_s = 6.0, how = "drain"',
]
PROCESSES = [
    'kind = "node_kill", share = 0.3',
    'kind = "node_kill", share = 0.2, for_s = 3.0, how = "power"',
    'kind = "node_kill", on = "side", share = 0.3',
    'kind = "node_kill", on = "side", share = 0.2, for_s = 3.0, how = "power"',
    'kind = "node_kill", on = "core", count = 2, for_s = 2.0, how = "reader drain"',
    'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet hard"',
    'kind = "node_freeze", share = 0.3, for_s = 3.0',
    'kind = "node_freeze", share = 0.3, for_s = 5.0, how = "renewed"',
    'kind = "node_freeze", on = "side", share = 0.3, for_s = 3.0',
    'kind = "node_slow", share = 0.4, x = 6.0, for_s = 5.0',
    'kind = "herd_kill", share = 0.6, for_s = 1.5',
    'kind = "herd_kill", share = 0.5, for_s = 2.0, how = "power"',
    'kind = "herd_kill", for_s = 1.5, how = "off"',
    'kind = "after_ack_kill", for_s = 3.0',
    'kind = "after_ack_kill", for_s = 3.0, how = "kill timed"',
    'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 4.0, how = "back"',
    'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 4.0, how = "ahead"',
    'kind = "hup", share = 1.0, gap_s = 2.0',
    'kind = "reset_conns", share = 1.0, x = 1.0',
]
LINKS = [
    'kind = "core_cut", count = 2, for_s = 5.0, how = "leader race"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "all"',
    'kind = "core_cut", count = 2, for_s = 5.0, how = "one_way"',
    'kind = "core_cut", count = 2, for_s = 5.0, how = "near refuse"',
    'kind = "core_cut", for_s = 5.0, how = "split"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "lure"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "relieve"',
    'kind = "core_cut", count = 1, for_s = 5.0, how = "seeds"',
    'kind = "node_cut", share = 0.3, for_s = 5.0',
    'kind = "node_cut", share = 0.3, for_s = 5.0, how = "all"',
    'kind = "node_cut", share = 0.3, for_s = 5.0, how = "servers"',
    'kind = "node_cut", share = 0.3, for_s = 5.0, how = "servers reborn"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "fronts"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "some"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "some lossy"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "one_way"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reset"',
    'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reborn"',
    'kind = "lossy", x = 0.06, for_s = 6.0',
]
SERVERS = [
    'kind = "srv_slow", share = 0.3, x = 6.0, for_s = 6.0',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "errors"',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "shed"',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "hang"',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "reset"',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "mute"',
    'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "slow"',
    'kind = "srv_lying_health", share = 0.3, for_s = 6.0, how = "errors"',
    'kind = "srv_lying_health", share = 0.3, for_s = 6.0, how = "hang"',
    'kind = "srv_lying_health", share = 0.3, for_s = 6.0, how = "bad"',
    'kind = "srv_flap", share = 0.3, gap_s = 1.5, for_s = 8.0',
    'kind = "replace_with_reuse", share = 0.25',
    'kind = "replace_with_reuse", share = 0.25, how = "dark"',
    'kind = "replace_with_reuse", share = 0.25, how = "drain"',
    'kind = "replace_with_reuse", share = 0.25, how = "side"',
    'kind = "burst", x = 1.5, for_s = 4.0',
]
PLANNED = [
    'kind = "release", share = 0.3, gap_s = 1.0',
    'kind = "scale_in", share = 0.15',
    'kind = "scale_in", share = 0.15, how = "spot", x = 2.0',
    'kind = "scale_out", share = 0.3, gap_s = 1.0',
    'kind = "roll_term", share = 0.5, gap_s = 1.2',
    'kind = "roll_term", share = 1.0, gap_s = 0.6, how = "busy"',
    'kind = "add_nodes", share = 0.5',
    'kind = "config_change", how = "route"',
    'kind = "config_change", how = "timeout"',
    'kind = "config_change", how = "idle"',
    'kind = "config_storm", for_s = 3.0, gap_s = 0.2',
    'kind = "big_config", count = 200',
]
CLOSINGS = [
    'closing = { kind = "power_off_all", down_s = 1.2 }',
    'closing = { kind = "kill_all", down_s = 1.0 }',
    "",
]


def day_text(
    number: int, first: str, second: str, closing: str, rng: random.Random
) -> str:
    """Returns the text of a day on which two faults occur twice each."""
    first_at = rng.uniform(2.0, 5.0)
    gap = rng.uniform(0.1, 3.0)
    second_at = rng.uniform(14.0, 18.0)
    faults = [
        (first_at, first),
        (first_at + gap, second),
        (second_at, second),
        (second_at + gap, first),
    ]
    plan = sorted(
        (rng.uniform(1.0, LENGTH_S - 6.0), work)
        for work in rng.sample(PLANNED, 5)
    )
    lines = [
        f'name = "pair-{number:02}"',
        'slot = "trouble"',
        f"seed = {SEED + number}",
        closing,
        *_entries("plan", plan),
        *_entries("faults", faults),
    ]
    text = "\n".join(line for line in lines if line)
    return f"# Written by benchmarks/make_days.py.\n[[day]]\n{text}\n"


def _entries(name: str, entries: list[tuple[float, str]]) -> list[str]:
    rows = [f"  {{ at = {at:.2f}, {what} }}," for at, what in entries]
    return [f"{name} = [", *rows, "]"]


def make_days() -> dict[str, str]:
    """Returns the text of each file by its name."""
    rng = random.Random(SEED)
    variants = STORE + PROCESSES + LINKS + SERVERS
    partners = list(variants)
    rng.shuffle(partners)
    days = {}
    for number, (first, second) in enumerate(
        zip(variants, partners, strict=True)
    ):
        closing = CLOSINGS[number % len(CLOSINGS)]
        text = day_text(number, first, second, closing, rng)
        days[f"pair-{number:02}.toml"] = text
    return days


def main() -> int:
    """Writes the files into the folder given on the command line."""
    folder = pathlib.Path(sys.argv[1])
    for name, text in make_days().items():
        (folder / name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
