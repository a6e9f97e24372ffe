"""Tests with real processes on loopback: data path, operator port, CLI."""

import asyncio
import contextlib
import signal
import socket

import anyio
import httpx
import pytest
from aiocoap import GET, POST, Context, Message

from notchhoist import documents, model
from notchhoist.cli import main as tool
from notchhoist.cli.fleet_reader import FleetReader, OperatorSettings
from notchhoist.testing import launcher
from notchhoist.testing.deployment import HALLBOOK
from notchhoist.testing.main_job import wait_ready, with_fewer_servers

TIMEOUT_S = 30.0


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("site")
    plan = with_fewer_servers(HALLBOOK, 2)
    deployment = launcher.Deployment(folder, 3, (plan,), balancers=2)
    deployment.memory_s = 6.0
    deployment.start()
    try:
        assert anyio.run(wait_ready, [deployment]) == []
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def reader(site):
    settings = OperatorSettings(
        launcher.OPERATOR_KEY,
        tuple(site.operators.values()),
        f"http://{site.platform_at}",
    )
    with httpx.Client(trust_env=False, timeout=5.0) as client:
        yield FleetReader(settings, client)


def run_tool(reader, text, **options):
    command = tool.Command(settings=None, **options)
    return tool.execute(command, text, reader)


async def ask(entry, message):
    context = await Context.create_client_context()
    try:
        response = await asyncio.wait_for(
            context.request(message).response, TIMEOUT_S
        )
    finally:
        await context.shutdown()
    return response


def uri(site, path):
    return f"coap://{site.entries['hallbook']}/{path}"


def test_standard_coap_client_gets_its_answer(site):
    message = Message(code=GET, uri=uri(site, "roster/hallbook/r-ordinary"))
    response = asyncio.run(ask(site, message))
    assert response.code.is_successful()
    assert b"r-ordinary" in response.payload


def test_standard_coap_client_books(site):
    message = Message(code=POST, uri=uri(site, "booking/hallbook/b-ordinary"))
    response = asyncio.run(ask(site, message))
    assert response.code.is_successful()
    assert b"b-ordinary" in response.payload


def test_malformed_data_on_every_port_is_counted_and_dropped(site):
    service = site.configuration.services[0]
    targets = [
        site.entries["hallbook"],
        *service.agents(),
        *(host.peer for host in site.configuration.balancers),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for target in targets:
            for data in (b"", b"\xff" * 9, bytes(1400), bytes(9000)):
                sock.sendto(data, (target.host, target.port))
    for target in service.agents():
        with contextlib.suppress(OSError):
            stream = socket.create_connection((target.host, target.port))
            stream.sendall(b"no message")
            stream.close()
    test_standard_coap_client_gets_its_answer(site)
    counters = [
        site.get_operator(name, "/metrics").text
        for name in (server.name for server in service.servers)
    ]
    assert all('event="peer_malformed"' in text for text in counters)


def test_wrong_operator_key_is_refused_with_an_error_type(site):
    operator = next(iter(site.operators.values()))
    for headers in ({}, {"authorization": "Bearer wrong-key"}):
        response = httpx.get(
            f"http://{operator}/health", headers=headers, trust_env=False
        )
        assert response.status_code == 401
        assert response.json()["error"] == "operator_key_refused"


def test_dump_is_paged_and_refuses_bad_requests(site):
    page = site.get_operator("hallbook-1", "/dump/counters?limit=1").json()
    assert len(page["entries"]) == 1
    assert page["total"] > 1
    refused = site.get_operator("hallbook-1", "/dump/nothing")
    assert refused.status_code == 404
    assert "counters" in refused.json()["expected"]
    assert (
        site.get_operator("hallbook-1", "/dump/flows?limit=x").status_code
        == 400
    )


def test_query_statements_succeed(reader, capsys):
    for text in (
        "show services",
        "show servers where state = active order by server desc limit 1",
        "show flows",
        "show requests",
        "show revisions at entry-3-0",
        "show leaving",
        "show counters where count > 0",
        "show peers",
        "why requests",
        "why configuration",
    ):
        assert run_tool(reader, text) == tool.EXIT_OK, text
    shown = capsys.readouterr().out
    assert "hallbook-2" in shown
    assert "booking:40 roster:10" in shown


def test_why_flow_shows_the_owner(site, reader, capsys):
    test_standard_coap_client_gets_its_answer(site)
    assert run_tool(reader, "show flows limit 1", json=True) == tool.EXIT_OK
    rows = documents.read_json(capsys.readouterr().out.encode()).unwrap()
    assert run_tool(reader, f"why flow {rows[0]['caller']}") == tool.EXIT_OK
    assert "owner" in capsys.readouterr().out


def test_operator_publishes_a_change_and_waits_for_it(
    site, reader, tmp_path, capsys
):
    revision = site.get_operator("entry-3-0", "/health").json()["revision"]
    wrong = run_tool(reader, "drop service hallbook", expect=revision + 7)
    assert wrong == tool.EXIT_CONFLICT
    path = tmp_path / "next.json"
    text = "weigh kind booking of hallbook 60"
    status = run_tool(reader, text, expect=revision, output=path)
    assert status == tool.EXIT_OK
    published = httpx.post(
        f"http://{site.platform_at}/test/publish",
        content=path.read_bytes(),
        trust_env=False,
    )
    assert published.status_code == 200
    wait = f"wait until revision {revision + 1} for 30 s"
    assert run_tool(reader, wait) == tool.EXIT_OK
    late = f"wait until revision {revision + 9} for 0 s"
    assert run_tool(reader, late) == tool.EXIT_NOT_IN_FORCE
    assert "lagging" in capsys.readouterr().out


def test_invalid_statements_are_refused(reader, capsys):
    refused = "weigh kind nothing of hallbook 60"
    assert run_tool(reader, refused) == tool.EXIT_REFUSED
    assert run_tool(reader, "show") == tool.EXIT_BAD_STATEMENT
    assert "column 5: expected SUBJECT" in capsys.readouterr().err


def test_terminated_balancer_exits_with_status_0(site):
    process = site.processes["entry-3-1"]
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0
    place = 1
    site.start_balancer(place, site.configuration.balancers[place])


def test_restarted_agent_serves_again_after_a_kill(site):
    service = site.configuration.services[0]
    site.kill("hallbook-1")
    test_standard_coap_client_gets_its_answer(site)
    site.start_agent(service, service.servers[0])
    test_standard_coap_client_gets_its_answer(site)


def test_allocated_endpoints_differ():
    given = {launcher.free_endpoint() for _ in range(20)}
    assert len(given) == 20
    assert all(isinstance(item, model.Endpoint) for item in given)
