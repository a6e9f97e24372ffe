"""Tests of real processes: a balancer and an agent, with simulated peers."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import urllib.error
import urllib.request

import httpx
import pytest

from notchhoist import model
from notchhoist.cli import main as tool
from notchhoist.cli.fleet_reader import FleetReader, OperatorSettings
from notchhoist.testing.opaque.frames import (
    ACK,
    SYN,
    Frame,
    decode_frame,
    encode_frame,
)
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.soak.final_checks import find_faults
from notchhoist.testing.soak.store_port import store_server

BALANCER, AGENT, CALLER, STORE = (
    "127.9.0.1",
    "127.9.0.2",
    "127.9.0.3",
    "127.9.0.4",
)
PORTS = {"packets": 28172, "ready": 28167, "outbound": 28162, "app": 28165}
PEERS = [27720, 27735]
SERVICE = ("198.18.0.1", 443)
WAIT_S = 20.0
POLL_S = 0.05
NEVER_SET = threading.Event()


def wait_for(check):
    """Waits until a check returns a true value; fails after ``WAIT_S``."""
    for _ in range(int(WAIT_S / POLL_S)):
        if value := check():
            return value
        NEVER_SET.wait(POLL_S)
    raise AssertionError(f"{check} stayed false")


def settings(role, store_port):
    ip = BALANCER if role == "front" else AGENT
    listen = {
        "datagram_addr": f"{ip}:{PORTS['packets']}",
        "ready": f"{ip}:{PORTS['ready']}",
    }
    document = {
        "node": f"{role}-1",
        "serves": [role],
        "ip": ip,
        "zone": "a",
        "listen": listen,
        "internal_ports": PEERS,
        "seeds": [],
        "bounds": {},
        "limits": {"link_mbps": 1000.0},
        "platform": {"address": f"{STORE}:{store_port}"},
    }
    if role == "side":
        listen["outbound"] = f"{ip}:{PORTS['outbound']}"
        document.update(app=f"{ip}:{PORTS['app']}", service="hallbook")
    return document


def start(path):
    return subprocess.Popen(
        [sys.executable, "-m", "notchhoist.daemon"],
        env={**os.environ, "NOTCHHOIST_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
    )


def stop(process):
    """Ends a process; returns the faults that the rest of its log shows."""
    process.kill()
    rest = process.stdout.read()
    process.wait()
    process.stdout.close()
    return [*find_faults(rest)]


def status(host, path="/ready", port=PORTS["ready"]):
    url = f"http://{host}:{port}{path}"
    try:
        with urllib.request.urlopen(url, timeout=5) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, ""
    except OSError:
        return 0, ""


@pytest.fixture
def fleet(tmp_path):
    """A running balancer and agent, and a store with a route and a server."""
    import random

    model = StoreModel(random.Random(1))
    model.put(
        "op/config",
        {
            "version": 3,
            "routes": [
                {
                    "name": "r",
                    "host": SERVICE[0],
                    "path_prefix": f"/{SERVICE[1]}/",
                    "kind": "safe",
                    "service": "hallbook",
                }
            ],
            "limits": {"idle_timeout_ms": 15000},
        },
    )
    model.put(
        "servers/i-1",
        {
            "service": "hallbook",
            "address": f"{AGENT}:{PORTS['app']}",
            "zone": "a",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        },
    )
    processes = {}
    with store_server(model, STORE) as port:
        for role in ("front", "side"):
            path = tmp_path / f"{role}.json"
            path.write_text(json.dumps(settings(role, port)))
            processes[role] = start(path)
        try:
            yield processes
        finally:
            faults = [stop(process) for process in processes.values()]
        assert not any(faults), faults


@pytest.fixture
def sockets():
    """The sockets of the caller and of the backend server."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.bind((CALLER, PORTS["packets"]))
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind((AGENT, PORTS["app"]))
    for sock in (caller, server):
        sock.settimeout(WAIT_S)
    with caller, server:
        yield caller, server


def test_a_flow_opens_through_real_processes(fleet, sockets):
    caller, server = sockets
    for host in (BALANCER, AGENT):
        wait_for(lambda host=host: status(host)[0] == 200)
    syn = encode_frame(Frame((CALLER, 40001), SERVICE, SYN, seq=7), b"k")
    caller.sendto(syn, (BALANCER, PORTS["packets"]))
    raw, _ = server.recvfrom(2000)
    assert raw == syn
    accepted = Frame(SERVICE, (CALLER, 40001), SYN | ACK, seq=99, ack=8)
    server.sendto(encode_frame(accepted, b"k"), (AGENT, PORTS["outbound"]))
    assert decode_frame(caller.recv(2000)).seq == 99
    data = Frame((CALLER, 40001), SERVICE, ACK, 8, 100, b"hello")
    caller.sendto(encode_frame(data, b"k"), (BALANCER, PORTS["packets"]))
    assert server.recv(2000) == encode_frame(data, b"k")
    code, text = status(BALANCER, "/metrics", 9464)
    assert code == 200
    assert 'notchhoist_events_total{event="placed"} 1' in text


def test_malformed_input_on_every_port_does_not_end_a_process(fleet, sockets):
    caller, server = sockets
    for host in (BALANCER, AGENT):
        wait_for(lambda host=host: status(host)[0] == 200)
    malformed = [b"", b"x", b"\xff" * 31, b"\0" * 64, os.urandom(1400)]
    for text in malformed:
        for host in (BALANCER, AGENT):
            for port in (PORTS["packets"], PEERS[0], PEERS[0] + 1):
                caller.sendto(text, (host, port))
        server.sendto(text, (AGENT, PORTS["outbound"]))
        with (
            contextlib.suppress(OSError),
            socket.create_connection((BALANCER, PORTS["ready"]), 5) as tcp,
        ):
            tcp.sendall(text + b"\r\n\r\n")
    for host in (BALANCER, AGENT):
        assert status(host)[0] == 200


def test_a_planned_stop_fails_the_readiness_check_and_exits_with_0(fleet):
    wait_for(lambda: status(BALANCER)[0] == 200)
    fleet["front"].send_signal(signal.SIGTERM)
    wait_for(lambda: status(BALANCER)[0] == 503)
    assert fleet["front"].wait(WAIT_S) == 0


def test_a_reload_of_an_invalid_file_does_not_end_the_process(fleet, tmp_path):
    wait_for(lambda: status(BALANCER)[0] == 200)
    (tmp_path / "front.json").write_text("{")
    fleet["front"].send_signal(signal.SIGHUP)
    assert status(BALANCER)[0] == 200
    fleet["front"].send_signal(signal.SIGTERM)
    lines = [json.loads(line) for line in fleet["front"].stdout]
    [reload_line] = [x for x in lines if x["message_type"] == "reload"]
    assert reload_line["outcome"] == "refused"


def test_invalid_settings_end_the_process_with_a_reason(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"serves": []}')
    process = subprocess.run(
        [sys.executable, "-m", "notchhoist.daemon"],
        env={**os.environ, "NOTCHHOIST_NODE_FILE": str(path)},
        capture_output=True,
        check=False,
        timeout=WAIT_S,
    )
    assert process.returncode == 2
    assert process.stderr == b""
    last = json.loads(process.stdout.splitlines()[-1])
    assert (last["message_type"], last["status"]) == ("exit", 2)
    assert "serves" in last["reason"]


def test_settings_that_change_without_a_signal_are_reloaded(fleet, tmp_path):
    wait_for(lambda: status(BALANCER)[0] == 200)
    path = tmp_path / "front.json"
    changed = {**json.loads(path.read_text()), "seeds": ["127.9.0.9:1"]}
    path.write_text(json.dumps(changed))
    line = wait_for(lambda: read_until(fleet["front"], "reload"))
    assert line["changed"] == ["peers"]


def read_until(process, event):
    """Returns the next log line of an event; None at the end of the output."""
    for text in process.stdout:
        line = json.loads(text)
        if line["message_type"] == event:
            return line
    return None


def run_check(path):
    return subprocess.run(
        [sys.executable, "-m", "notchhoist.daemon", "--check"],
        env={**os.environ, "NOTCHHOIST_NODE_FILE": str(path)},
        capture_output=True,
        check=False,
        timeout=WAIT_S,
    )


def test_settings_can_be_checked_without_a_start(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings("front", 1)))
    assert run_check(path).returncode == 0
    path.write_text(json.dumps({**settings("front", 1), "zone": 3, "ip": ""}))
    refused = run_check(path)
    assert refused.returncode == 2
    assert [b"zone" in refused.stderr, b"ip" in refused.stderr] == [True, True]


@pytest.fixture
def reader():
    daemons = (model.Endpoint(BALANCER, 9464), model.Endpoint(AGENT, 9464))
    operator_settings = OperatorSettings("no key on this path", daemons)
    with httpx.Client(trust_env=False, timeout=5.0) as client:
        yield FleetReader(operator_settings, client)


def run_tool(reader, capsys, text):
    """Returns the exit code of a statement and what it prints."""
    command = tool.Command(settings=None, json=True)
    code = tool.execute(command, text, reader)
    return code, capsys.readouterr().out


def rows(reader, capsys, text):
    return json.loads(run_tool(reader, capsys, text)[1])


def test_the_tool_explains_the_placement_of_a_flow(
    fleet, sockets, reader, capsys
):
    caller, server = sockets
    for host in (BALANCER, AGENT):
        wait_for(lambda host=host: status(host)[0] == 200)
    syn = encode_frame(Frame((CALLER, 40007), SERVICE, SYN, seq=7), b"k")
    caller.sendto(syn, (BALANCER, PORTS["packets"]))
    server.recvfrom(2000)
    accepted = Frame(SERVICE, (CALLER, 40007), SYN | ACK, seq=99, ack=8)
    server.sendto(encode_frame(accepted, b"k"), (AGENT, PORTS["outbound"]))
    caller.recv(2000)
    why = f"why flow {CALLER}:40007"
    found = wait_for(
        lambda: (
            [
                row
                for row in rows(reader, capsys, why)
                if row.get("phase") == "accepted"
            ][1:]
            and rows(reader, capsys, why)
        )
    )
    at_balancer = next(row for row in found if row["host"] == "front-1")
    assert at_balancer["server"] == "i-1"
    assert at_balancer["takes_new_flows"] is True
    assert "load_age_s" in at_balancer
    [shown] = rows(reader, capsys, "show servers where service = hallbook")
    assert (shown["server"], shown["failing"]) == ("i-1", 0.0)
    [balancer] = rows(reader, capsys, "show revisions")
    assert (balancer["revision"], balancer["refused"]) == (3, "")
    code, text = run_tool(reader, capsys, "wait until revision 3 for 5 s")
    assert (code, "in force everywhere" in text) == (0, True)
    assert rows(reader, capsys, "show counters where counter = placed")
    statement = "show counters where counter = offered_if_free"
    assert rows(reader, capsys, statement)
    [utilization] = rows(
        reader, capsys, "show pressure order by found_busy desc"
    )
    assert (utilization["service"], utilization["found_busy"]) == (
        "hallbook",
        0.0,
    )
    assert not rows(reader, capsys, "show splits order by outlived desc")
    [measured] = rows(reader, capsys, 'show distances where long_for = ""')
    assert measured["answers"] >= 1


def test_a_refused_flow_is_explained(fleet, sockets, reader, capsys):
    caller, _ = sockets
    wait_for(lambda: status(BALANCER)[0] == 200)
    nowhere = ("198.18.0.9", 443)
    syn = encode_frame(Frame((CALLER, 40008), nowhere, SYN, seq=7), b"k")
    caller.sendto(syn, (BALANCER, PORTS["packets"]))
    caller.recv(2000)
    [row] = rows(reader, capsys, "why flow 127.9.0.3:40008")
    assert (row["reason"], row["version"]) == ("no route", 3)


def test_an_invalid_request_for_state_is_refused(fleet):
    wait_for(lambda: status(BALANCER)[0] == 200)
    assert status(BALANCER, "/dump/nothing", 9464)[0] == 404
    assert status(BALANCER, "/dump/flows?limit=many", 9464)[0] == 400


def test_a_reload_signal_during_the_start_does_not_end_the_process():
    """A reload signal must not end a process that has just been started.

    SIGHUP ended daemons before their handler was installed.
    """
    code = (
        "import notchhoist.daemon.__main__, os, signal;"
        "os.kill(os.getpid(), signal.SIGHUP); print('alive')"
    )
    process = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=False,
        timeout=WAIT_S,
    )
    assert process.stdout == b"alive\n"
