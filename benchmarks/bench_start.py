"""Start-up cost of each role on the platform's hosts.

    python benchmarks/bench_start.py

Prints processor seconds and resident memory of whole processes: the interpreter
alone, and for each role until its modules are loaded and until its sockets are
bound. Figures are medians of several runs, with the ratio of processor time to
the interpreter alone.
"""

import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile

RUNS = 7
LOAD = """
import resource, sys
from notchhoist.daemon.flow_runner import make_daemon
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.loop import Loop
from notchhoist.platform.settings import load_host_settings
"""
BIND = """
loop = Loop(lambda: 0.0)
journal = FlowJournal("h", loop.clock, loop.clock, lambda line: None)
daemon = make_daemon(load_host_settings(sys.argv[1]), loop, journal, 0.0)
daemon.start()
"""
LOAD_COAP = "import notchhoist.daemon.main"


def make_settings(role):
    listen = {"datagram_addr": "127.9.1.1:28372", "ready": "127.9.1.1:28367"}
    document = {
        "node": role,
        "serves": [role],
        "ip": "127.9.1.1",
        "zone": "a",
        "listen": listen,
        "internal_ports": [27820, 27835],
        "bounds": {},
        "limits": {},
        "platform": {"address": "127.9.1.1:1"},
    }
    if role == "side":
        listen["outbound"] = "127.9.1.1:28362"
        document.update(app="127.9.1.1:1", service="s")
    return document


def measure(code, path):
    """Returns medians of processor seconds and resident MB."""
    seconds, memory = [], []
    command = [sys.executable, "-S", "-c", code, path]
    site = os.path.dirname(os.path.dirname(__import__("msgspec").__file__))
    path_list = os.pathsep.join([os.getcwd(), site])
    report = (
        "\nfor line in open('/proc/self/status'):"
        "\n    if line.startswith('VmRSS'): print(line.split()[1])"
    )
    command[3] = code + report
    for _ in range(RUNS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        completed = subprocess.run(
            command,
            env={**os.environ, "PYTHONPATH": path_list},
            capture_output=True,
            check=True,
            text=True,
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        seconds.append(
            after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime
        )
        memory.append(int(completed.stdout.split()[-1]) / 1024)
    return statistics.median(seconds), statistics.median(memory)


def main():
    with tempfile.TemporaryDirectory() as folder:
        bare = measure("pass", "")
        rows = [("interpreter alone", bare)]
        for role in ("front", "side"):
            path = os.path.join(folder, role)
            with open(path, "w") as file:
                json.dump(make_settings(role), file)
            rows.append((f"{role}: loaded", measure(LOAD, path)))
            rows.append((f"{role}: listening", measure(LOAD + BIND, path)))
        rows.append(("CoAP daemon: loaded", measure(LOAD_COAP, "")))
    print(f"{'':<22}{'CPU s':>8}{'MB':>8}{'ratio':>8}")
    for name, (seconds, memory) in rows:
        ratio = seconds / bare[0]
        print(f"{name:<22}{seconds:>8.3f}{memory:>8.1f}{ratio:>8.1f}")


if __name__ == "__main__":
    main()
