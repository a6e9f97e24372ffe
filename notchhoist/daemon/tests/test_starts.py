"""Tests of starts and ends of real processes in odd surroundings."""

import json
import urllib.error
import urllib.request

import pytest

from notchhoist.daemon.tests.start_harness import (
    IP,
    METRICS_PORT,
    PORTS,
    ROLES,
    WAIT_S,
    Start,
    hold,
    make_settings,
    run_command,
    wait_for,
)

SHARED_PORTS = ("ready", "peers", "control")


@pytest.fixture
def start(tmp_path):
    """Starts one process with settings; it is killed in the end."""
    started = []

    def start_one(role, text=None, command=None, **variables):
        settings = tmp_path / "settings.json"
        if text is None:
            text = json.dumps(make_settings(role))
        settings.write_text(text)
        command = command or run_command(role)
        started.append(Start(tmp_path, command, **variables))
        return started[-1]

    yield start_one
    for one in started:
        one.process.kill()
        one.process.wait()


def answers(port, path):
    """Returns whether an HTTP port answers, with any status."""
    try:
        urllib.request.urlopen(f"http://{IP}:{port}{path}", timeout=5).close()
    except urllib.error.HTTPError as error:
        error.close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize(
    ("role", "name"),
    [
        ("balancer", "datagram_addr"),
        ("agent", "outbound"),
        *((role, name) for role in ROLES for name in SHARED_PORTS),
    ],
)
def test_a_start_waits_for_an_address_that_a_former_process_holds(
    start, role, name
):
    settings = make_settings(role, bounds={"grace_s": WAIT_S})
    with hold(name):
        started = start(role, json.dumps(settings))
        reason = started.record("start waits")["reason"]
    assert f"{IP}:{PORTS[name]}" in reason
    started.record("start")
    wait_for(lambda: answers(PORTS["ready"], "/ready"))


@pytest.mark.parametrize("role", ROLES)
def test_a_process_serves_while_its_metrics_port_is_in_use(start, role):
    with hold("metrics"):
        started = start(role)
        assert started.record("metrics port")["outcome"] == "not available"
        wait_for(lambda: answers(PORTS["ready"], "/ready"))
    wait_for(lambda: answers(METRICS_PORT, "/metrics"))
