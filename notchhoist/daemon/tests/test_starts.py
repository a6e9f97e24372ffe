"""Tests of starts and ends of real processes in odd surroundings."""

import contextlib
import json
import os
import signal
import sys
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


@pytest.mark.parametrize("role", ROLES)
def test_a_missing_package_ends_a_start_with_a_record(start, role, tmp_path):
    status, last = start(role, packages=tmp_path).last_record()
    assert (status, last["status"]) == (4, 4)
    assert last["message_type"] == "exit"
    assert (last["outcome"], last["restart_helps"]) == ("package missing", "no")
    assert "msgspec" in last["reason"]


@pytest.mark.parametrize(
    ("role", "text"),
    [
        ("balancer", ""),
        ("agent", "{"),
        ("balancer", '{"serves": []}'),
        ("agent", "\0" * 9),
    ],
)
def test_settings_that_stay_invalid_end_a_start_with_a_record(
    start, role, text
):
    status, last = start(role, text).last_record()
    assert (status, last["status"]) == (2, 2)
    assert last["message_type"] == "exit"
    assert last["outcome"] == "settings refused"
    assert last["restart_helps"] == "no"


def test_settings_that_no_variable_names_end_a_start_with_a_record(start):
    started = start("balancer", NOTCHHOIST_NODE_FILE="")
    status, last = started.last_record()
    assert (status, last["outcome"]) == (2, "settings refused")
    assert "NOTCHHOIST_NODE_FILE" in last["reason"]


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("share", [0.0, 0.5, None])
def test_a_start_waits_for_settings_that_are_being_written(start, role, share):
    """Guards against an end by a file that is empty, cut off or missing."""
    text = json.dumps(make_settings(role))
    started = start(role, text[: int(len(text) * (share or 0.0))])
    if share is None:
        started.path.unlink()
    started.record("start waits")
    started.path.write_text(text)
    assert started.record("start")["host"] == f"{role}-1"


CHANGE_AFTER_READING = """
import json, os, sys
import notchhoist.daemon.__main__ as entry
import notchhoist.platform.settings as settings
load = settings.load_host_settings
def load_before_a_change(path):
    loaded = load(path)
    settings.load_host_settings = load
    with open(path) as file:
        document = json.load(file)
    document["seeds"] = ["127.11.0.9:1"]
    with open(path, "w") as file:
        json.dump(document, file)
    return loaded
settings.load_host_settings = load_before_a_change
entry.main()
"""


def test_settings_that_change_during_a_start_are_reloaded(start):
    """Guards against a change between the first read and the first check."""
    started = start(
        "balancer", command=[sys.executable, "-S", "-c", CHANGE_AFTER_READING]
    )
    assert started.record("reload")["changed"] == ["peers"]


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("text", ["", "{"])
def test_settings_that_are_half_written_at_a_signal_are_read_again(
    start, role, text
):
    started = start(role)
    started.record("start")
    started.path.write_text(text)
    started.process.send_signal(signal.SIGHUP)
    assert started.record("reload")["outcome"] == "refused"
    changed = make_settings(role, seeds=["127.11.0.9:1"])
    started.path.write_text(json.dumps(changed))
    reloads = wait_for(
        lambda: [
            item["outcome"]
            for item in started.records()
            if item["message_type"] == "reload"
        ][1:]
    )
    assert reloads == ["read"]


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
def test_an_address_that_stays_in_use_ends_a_start_with_a_record(start, role):
    with hold("ready"):
        status, last = start(role).last_record()
    assert (status, last["status"]) == (3, 3)
    assert last["outcome"] == "address not available"
    assert last["restart_helps"] == "yes"
    assert f"{IP}:{PORTS['ready']}" in last["reason"]


@pytest.mark.parametrize("role", ROLES)
def test_a_process_serves_while_its_metrics_port_is_in_use(start, role):
    with hold("metrics"):
        started = start(role)
        assert started.record("metrics port")["outcome"] == "not available"
        wait_for(lambda: answers(PORTS["ready"], "/ready"))
    wait_for(lambda: answers(METRICS_PORT, "/metrics"))


RAISE = """
import notchhoist.daemon.__main__ as entry
import notchhoist.daemon.flow_runner as runner
def fail(*arguments):
    raise {error}
def fail_deep(depth):
    return fail() if depth == 0 else fail_deep(depth - 1)
runner.run_host = lambda *arguments: fail_deep(500)
entry.main()
"""


@pytest.mark.parametrize(
    "error", ["ValueError('x' * 100_000)", "MemoryError()", "KeyError(chr(0))"]
)
def test_an_uncaught_error_ends_a_process_with_a_short_record(start, error):
    program = RAISE.format(error=error)
    started = start("balancer", command=[sys.executable, "-S", "-c", program])
    status, last = started.last_record()
    assert (status, last["status"]) == (1, 1)
    assert (last["message_type"], last["host"]) == ("exit", "balancer-1")
    assert last["outcome"] == "uncaught error"
    assert error.partition("(")[0] in last["reason"]
    assert "fail_deep" in last["traceback"]
    assert len(started.log.read_bytes()) < 20_000


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("cause", ["settings", "address"])
def test_a_request_to_stop_ends_a_start_that_waits(start, cause, number):
    settings = make_settings("agent", bounds={"grace_s": WAIT_S})
    with hold("ready"):
        text = "{" if cause == "settings" else json.dumps(settings)
        started = start("agent", text)
        started.record("start waits")
        started.process.send_signal(number)
        status, last = started.last_record()
    assert (status, last["message_type"], last["status"]) == (0, "stopped", 0)


@pytest.mark.parametrize("role", ROLES)
def test_an_ordinary_stop_ends_with_a_record(start, role):
    started = start(role)
    started.record("start")
    started.process.terminate()
    status, last = started.last_record()
    assert (status, last["message_type"], last["status"]) == (0, "stopped", 0)


IGNORED_ERROR = """
import notchhoist.daemon.__main__ as entry
import notchhoist.daemon.flow_runner as runner
class Failing:
    def __del__(self):
        raise ValueError("x" * 100_000)
runner.run_host = lambda *arguments: Failing() and None
entry.main()
"""


def test_an_error_that_the_interpreter_ignores_is_a_short_record(start):
    started = start(
        "balancer", command=[sys.executable, "-S", "-c", IGNORED_ERROR]
    )
    assert started.last_record()[0] == 0
    assert "ValueError" in started.record("error ignored")["reason"]
    assert len(started.log.read_bytes()) < 20_000


SIGNAL_AT_IMPORT = """
import os, sys
import notchhoist.daemon.__main__ as entry
def kill(event, arguments):
    if event == "import" and arguments[0] == "{module}":
        for number in {numbers}:
            os.kill(os.getpid(), number)
sys.addaudithook(kill)
entry.main()
"""


@pytest.mark.parametrize("numbers", [(15,), (1, 15), (15, 1)])
@pytest.mark.parametrize(
    ("module", "is_serving"),
    [
        ("types", False),
        ("msgspec", False),
        ("notchhoist.platform.settings", False),
        ("notchhoist.daemon.flow_runner", False),
        ("notchhoist.flows.agent.node", False),
        ("notchhoist.daemon.settings_watch", True),
    ],
)
def test_a_request_to_stop_ends_a_start_at_any_import(
    start, module, is_serving, numbers
):
    """Guards against ends without a record before the handlers are set."""
    program = SIGNAL_AT_IMPORT.format(module=module, numbers=numbers)
    started = start("agent", command=[sys.executable, "-S", "-c", program])
    status, last = started.last_record()
    assert (status, last["message_type"], last["status"]) == (0, "stopped", 0)
    events = [record["message_type"] for record in started.records()]
    assert ("stop" in events) == is_serving


def test_log_lines_never_reach_a_socket_without_standard_output(start):
    """Guards against sockets that get the numbers of closed files."""
    closing = ["sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh"]
    started = start("agent", command=closing + run_command("agent"))
    wait_for(lambda: answers(PORTS["ready"], "/ready"))
    folder = f"/proc/{started.process.pid}/fd"
    files = [os.readlink(f"{folder}/{number}") for number in range(3)]
    assert files == [os.devnull] * 3


@pytest.mark.parametrize("limit", [7, 8, 9, 10])
def test_a_lack_of_file_descriptors_ends_a_start_with_a_record(start, limit):
    limiting = ["sh", "-c", f'ulimit -n {limit}; exec "$@"', "sh"]
    started = start("agent", command=limiting + run_command("agent"))
    status, last = started.last_record()
    assert (last["message_type"], last["status"]) == ("exit", status)
    assert (status, last["outcome"]) in (
        (1, "uncaught error"),
        (3, "address not available"),
    )


def test_a_log_that_nobody_reads_does_not_stop_a_process(start, tmp_path):
    """Guards against a full pipe, in which the next log line waits forever."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    pipe = os.open(path, os.O_RDWR | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(pipe, b"x")
    piping = ["sh", "-c", f'exec "$@" >{path}', "sh"]
    started = start("agent", command=piping + run_command("agent"))
    wait_for(lambda: answers(PORTS["ready"], "/ready"))
    started.process.terminate()
    assert started.process.wait(WAIT_S) == 0
    os.close(pipe)
    assert json.loads(started.errors.read_text())["message_type"] == "stopped"
