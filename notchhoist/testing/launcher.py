"""Starts deployments as real processes on loopback, for jobs and tests.

Only this test harness starts processes; the daemons start none.
"""

import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
import httpx
import orjson

from notchhoist import documents, model
from notchhoist.daemon.settings import Role, Settings
from notchhoist.testing.backend import BackendProfile
from notchhoist.testing.caller import Task
from notchhoist.testing.deployment import ServicePlan
from notchhoist.testing.stand_in import (
    BackendSettings,
    CallersSettings,
    FabricEntry,
    FabricSettings,
    PlatformSettings,
    StandInSettings,
)

OPERATOR_KEY = "tour-operator-key"
LOCAL = "127.0.0.1"
STOP_LIMIT_S = 30.0
DAEMON = (sys.executable, "-m", "notchhoist.daemon.main")
STAND_IN = (sys.executable, "-m", "notchhoist.testing.stand_in")


_allocated: set[model.Endpoint] = set()


def free_endpoint(host: str = LOCAL) -> model.Endpoint:
    """Returns an endpoint whose port the kernel chose, free on TCP and UDP.

    One process never returns the same endpoint twice.
    """
    while True:
        endpoint = _probe_endpoint(host)
        if endpoint is not None and endpoint not in _allocated:
            _allocated.add(endpoint)
            return endpoint


def _probe_endpoint(host: str) -> model.Endpoint | None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
        stream.bind((host, 0))
        port = stream.getsockname()[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            try:
                datagram.bind((host, port))
            except OSError:
                return None
        return model.Endpoint(host, port)


@attrs.define
class Deployment:
    """A deployment of real processes.

    Attributes:
        folder: Folder for settings, logs and reports.
        number: Number of the deployment; selects its loopback addresses.
        plans: Plans of its services.
        balancers: Number of entry hosts.
        memory_s: How long identities of non-repeatable requests are
            remembered, seconds.
        deadline_s: Deadline of every kind of request, seconds.
        service_s: Time that a backend server takes for a request, seconds.
        processes: Processes by name.
    """

    folder: Path
    number: int
    plans: Sequence[ServicePlan]
    balancers: int = 3
    memory_s: float = 6.0
    deadline_s: float = 3.0
    service_s: float = 0.03
    processes: dict[str, subprocess.Popen[bytes]] = attrs.Factory(dict)
    configuration: model.Configuration = attrs.field(init=False)
    platform_at: model.Endpoint = attrs.field(factory=free_endpoint)
    operators: dict[str, model.Endpoint] = attrs.Factory(dict)
    entries: dict[str, model.Endpoint] = attrs.Factory(dict)

    def start(self) -> None:
        """Starts every process except the callers."""
        self.folder.mkdir(exist_ok=True)
        self.configuration = self._make_configuration()
        document = self.folder / "published.json"
        text = documents.write_configuration(self.configuration)
        document.write_bytes(text)
        self._start_platform(document)
        for place, host in enumerate(self.configuration.balancers):
            self.start_balancer(place, host)
        for service in self.configuration.services:
            for server in service.servers:
                self.start_backend(service, server)
                self.start_agent(service, server)
        self._start_fabric()

    def _make_configuration(self) -> model.Configuration:
        hosts = tuple(
            model.BalancerHost(
                f"entry-{self.number}-{place}",
                self.plans[0].zones[place % len(self.plans[0].zones)],
                free_endpoint(),
            )
            for place in range(self.balancers)
        )
        services = tuple(self._service(plan) for plan in self.plans)
        return model.Configuration(1, services, hosts)

    def _service(self, plan: ServicePlan) -> model.Service:
        servers = tuple(
            model.BackendServer(
                name=f"{plan.name}-{place + 1}",
                zone=plan.zones[place % len(plan.zones)],
                agent=free_endpoint(),
                address=free_endpoint(),
                slots=slots,
            )
            for place, slots in enumerate(plan.slots)
        )
        kinds = tuple(
            attrs.evolve(kind, deadline_s=self.deadline_s)
            for kind in plan.kinds
        )
        return model.Service(
            name=plan.name,
            address=free_endpoint(self._listen_ip(0)),
            kinds=kinds,
            servers=servers,
            memory_s=self.memory_s,
        )

    def _listen_ip(self, place: int) -> str:
        return f"127.77.{self.number}.{place + 1}"

    def _start_platform(self, document: Path) -> None:
        settings = PlatformSettings(self.platform_at, str(document))
        self.stand_in("platform", StandInSettings(platform=settings))

    def _start_fabric(self) -> None:
        entries = []
        for service in self.configuration.services:
            entry = free_endpoint()
            self.entries[service.name] = entry
            targets = tuple(
                model.Endpoint(self._listen_ip(place), service.address.port)
                for place in range(self.balancers)
            )
            entries.append(FabricEntry(entry, targets))
        settings = FabricSettings(tuple(entries), seed=self.number + 1)
        self.stand_in("fabric", StandInSettings(fabric=settings))

    def start_balancer(self, place: int, host: model.BalancerHost) -> None:
        """Starts the balancer of an entry host."""
        self._daemon(
            Settings(
                role=Role.BALANCER,
                name=host.name,
                zone=host.zone,
                peer=host.peer,
                operator=free_endpoint(),
                operator_key=OPERATOR_KEY,
                platform=f"http://{self.platform_at}",
                listen_ip=self._listen_ip(place),
            )
        )

    def start_agent(
        self, service: model.Service, server: model.BackendServer
    ) -> None:
        """Starts the agent beside a backend server."""
        seeds = tuple(host.peer for host in self.configuration.balancers)
        self._daemon(
            Settings(
                role=Role.AGENT,
                name=server.name,
                zone=server.zone,
                peer=server.agent,
                operator=free_endpoint(),
                operator_key=OPERATOR_KEY,
                platform=f"http://{self.platform_at}",
                service=service.name,
                backend=server.address,
                peers=seeds,
                drain_s=5.0,
            )
        )

    def start_backend(
        self, service: model.Service, server: model.BackendServer
    ) -> None:
        """Starts a backend server."""
        profile = BackendProfile(
            service.name, server.name, server.slots, self.service_s
        )
        settings = BackendSettings(
            server.address, profile, str(self.report_path(server.name))
        )
        name = f"backend-{server.name}"
        self.stand_in(name, StandInSettings(backend=settings))

    def report_path(self, name: str) -> Path:
        """Returns the report file of a backend server or caller group."""
        return self.folder / f"{name}.report.json"

    def start_callers(
        self, service: str, callers: Sequence[Sequence[Task]], limit_s: float
    ) -> None:
        """Starts a process with a group of callers."""
        settings = CallersSettings(
            entry=self.entries[service],
            callers=tuple(tuple(tasks) for tasks in callers),
            report=str(self.report_path(f"callers-{service}")),
            limit_s=limit_s,
            seed=self.number + 11,
        )
        name = f"callers-{service}"
        self.stand_in(name, StandInSettings(callers=settings))

    def _daemon(self, settings: Settings) -> None:
        self.operators[settings.name] = settings.operator
        self._spawn(settings.name, DAEMON, settings, "// notchhoistd\n")

    def stand_in(self, name: str, settings: StandInSettings) -> None:
        """Starts a stand-in process."""
        self._spawn(name, STAND_IN, settings, "// stand-in\n")

    def _spawn(
        self, name: str, command: Sequence[str], settings: object, head: str
    ) -> None:
        path = self.folder / f"{name}.settings.json"
        text = orjson.dumps(
            documents.unstructure(settings), option=orjson.OPT_INDENT_2
        )
        path.write_bytes(head.encode() + text)
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [*command, str(path)], stdout=log, stderr=log
            )

    def get_operator(self, host: str, path: str) -> httpx.Response:
        """Sends a GET request to the operator port of a host's daemon."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{self.operators[host]}{path}"
        return httpx.get(url, headers=headers, timeout=5.0, trust_env=False)

    def lagging(self) -> list[str]:
        """Returns the hosts whose daemon has no configuration in force."""
        return [host for host in self.operators if not self._is_ready(host)]

    def _is_ready(self, host: str) -> bool:
        try:
            return self.get_operator(host, "/health").json()["revision"] >= 1
        except (httpx.HTTPError, KeyError, ValueError):
            return False

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def wait(self, name: str, limit_s: float) -> int:
        """Waits for a process to exit and returns its exit status."""
        return self.processes[name].wait(limit_s)

    def stop(self) -> None:
        """Stops every process with SIGTERM; kills those that do not exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
