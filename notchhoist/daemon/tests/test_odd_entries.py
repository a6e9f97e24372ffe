"""Tests of real processes: balancers that read odd entries of other writers."""

import json
import os
import random
import subprocess
import sys

import pytest

from notchhoist.daemon.tests.test_flow_processes import status, wait_for
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.soak.store_port import store_server

BALANCERS = ("127.12.0.1", "127.12.0.2", "127.12.0.3")
AGENT, STORE = "127.12.0.9", "127.12.0.10"
METRICS_PORT = 9464
CONFIGURATION = {
    "routes": [
        {
            "name": "r",
            "host": "198.18.0.1",
            "path_prefix": "/443/",
            "kind": "safe",
            "service": "hallbook",
        }
    ],
    "limits": {"idle_timeout_ms": 15000},
}
ENTRY = {
    "service": "hallbook",
    "address": f"{AGENT}:28165",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 1,
}


def nested(depth):
    return "[" * depth + "]" * depth


ODD_VALUES = {
    "deep": ("service", nested(990)),
    "deeper": ("zone", nested(5000)),
    "objects": ("seq", '{"a":' * 990 + "1" + "}" * 990),
    "born": ("born", str(1 << 63)),
    "seq": ("seq", "1" * 5000),
    "slots": ("slots", "1e400"),
    "port-0": ("address", '"127.12.0.11:0"'),
    "port-70000": ("address", '"127.12.0.11:70000"'),
    "port-long": ("address", f'"127.12.0.11:{"1" * 5000}"'),
    "octet": ("address", f'"{"1" * 5000}.0.0.1:80"'),
    "nobody": ("address", '"0.0.0.0:80"'),
    "everybody": ("address", '"255.255.255.255:80"'),
    "name": ("service", f'"{"n" * 400_000}"'),
    "control": ("zone", r'"\u0000"'),
    "surrogate": ("zone", r'"\ud800"'),
}
"""Field and its value in an odd entry, by the end of the entry's id."""


def put_odd_entries(model, prefix):
    for name, (field, value) in ODD_VALUES.items():
        text = json.dumps({**ENTRY, field: "@"}).replace('"@"', value)
        model.put_raw(f"servers/{prefix}-{name}", text.encode())


def host_settings(ip, store_port):
    role = "side" if ip == AGENT else "front"
    document = {
        "node": f"{role}-{ip}",
        "serves": [role],
        "ip": ip,
        "zone": "a",
        "listen": {"datagram_addr": f"{ip}:28172", "ready": f"{ip}:28167"},
        "internal_ports": [27720, 27735],
        "seeds": [f"{host}:1" for host in BALANCERS],
        "bounds": {},
        "limits": {"link_mbps": 1000.0},
        "platform": {"address": f"{STORE}:{store_port}"},
    }
    if role == "side":
        document["listen"]["outbound"] = f"{ip}:28162"
        document |= {"app": f"{ip}:28165", "service": "hallbook"}
    return document


def start(ip, directory, store_port):
    path = directory / f"{ip}.json"
    path.write_text(json.dumps(host_settings(ip, store_port)))
    with open(directory / f"{ip}.log", "wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "notchhoist.daemon"],
            env={**os.environ, "NOTCHHOIST_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )


@pytest.fixture
def model():
    return StoreModel(random.Random(1))


@pytest.fixture
def processes(model, tmp_path):
    """Three balancers and an agent that start beside odd entries."""
    model.put("op/config", {**CONFIGURATION, "version": 3})
    put_odd_entries(model, "old")
    model.put("servers/i-1", ENTRY)
    with store_server(model, STORE) as port:
        started = [start(ip, tmp_path, port) for ip in (*BALANCERS, AGENT)]
        try:
            yield started
        finally:
            for process in started:
                process.kill()
                process.wait()


def read(ip, path):
    return json.loads(status(ip, path, METRICS_PORT)[1] or "{}")


def listed_servers(ip):
    rows = read(ip, "/dump/servers").get("entries", [])
    return {row["server"] for row in rows if row["listed"]}


def wait_for_version(processes, version):
    """Waits until a version is in force on all balancers, and none ended."""
    for ip in BALANCERS:
        wait_for(lambda ip=ip: read(ip, "/health").get("revision") == version)
    assert [process.poll() for process in processes] == [None] * 4


def test_odd_entries_end_no_process_and_stop_none_from_following(
    model, processes, tmp_path
):
    """Deep nesting, large numbers and odd ports ended all balancers at once."""
    for ip in (*BALANCERS, AGENT):
        wait_for(lambda ip=ip: status(ip)[0] == 200)
    wait_for_version(processes, 3)
    put_odd_entries(model, "new")
    model.put("op/config", {**CONFIGURATION, "version": 4})
    wait_for_version(processes, 4)
    for ip in BALANCERS:
        assert listed_servers(ip) == {"i-1"}
    skipped = 2 * len(ODD_VALUES)
    assert skipped in [
        read(ip, "/health")["not_understood"] for ip in BALANCERS
    ]
    good = {
        f"{prefix}-{name}": {**ENTRY, "address": f"127.12.{net}.{number}:80"}
        for net, prefix in enumerate(("old", "new"), 1)
        for number, name in enumerate(ODD_VALUES, 1)
    }
    for name, entry in good.items():
        model.put(f"servers/{name}", entry)
    model.put("op/config", {**CONFIGURATION, "version": 5})
    wait_for_version(processes, 5)
    for ip in BALANCERS:
        wait_for(lambda ip=ip: listed_servers(ip) == {"i-1", *good})
    for name in good:
        model.remove(f"servers/{name}")
    model.put("op/config", {**CONFIGURATION, "version": 6})
    wait_for_version(processes, 6)
    for ip in BALANCERS:
        wait_for(lambda ip=ip: listed_servers(ip) == {"i-1"})
    assert [status(ip)[0] for ip in (*BALANCERS, AGENT)] == [200] * 4
    for ip in (*BALANCERS, AGENT):
        check_log(tmp_path / f"{ip}.log")


def check_log(path):
    """Checks that each line is a record, and each problem is logged once."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    problems = [
        line["outcome"]
        for line in lines
        if line["message_type"] == "not understood"
    ]
    assert len(problems) == len(set(problems))
    assert all(len(problem) < 500 for problem in problems)
