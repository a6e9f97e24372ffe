"""Only the platform folder contains names of the platform's protocol."""

import pathlib
import re

import notchhoist

ROOT = pathlib.Path(notchhoist.__file__).parent
NAMES = re.compile(
    r"path_prefix|kv-(key|range|watch)|more_pages|allow_stale|datagram_addr"
    r"|cold_remaining_ms|internal_ports|NOTCHHOIST_NODE_FILE|as_of\b|op/config"
    r"|cold_per_s|op/evacuate|\"born\"|evacuate_ms|cold_start_s"
    r"|BOUNCED|heartbeat_ms|target_latency_ms|grace_s\b.*\{"
)


def test_only_the_platform_folder_contains_protocol_names():
    found = []
    for path in ROOT.rglob("*.py"):
        inner = path.relative_to(ROOT)
        if inner.parts[0] in ("platform", "testing") or "tests" in inner.parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                found.append(f"{inner}:{number}: {line.strip()}")
    assert not found
