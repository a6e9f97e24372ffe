"""Tests of ``show processes``: which are not ready, away or started again."""

import httpx

from notchhoist import model
from notchhoist.cli import main as tool
from notchhoist.cli import queries, statements
from notchhoist.cli.fleet_reader import FleetReader, OperatorSettings
from notchhoist.daemon.flow_state import answer_state
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry

NOW = 100.0
AWAY = "10.0.0.9"


def ready_balancer():
    node = make_balancer("a", CODEC, "s", "10.0.1.1", started_at=10.0)
    node.fleet.on_listing([(entry(1), 1)], 1, 11.0)
    node.fleet.tables.on_table(crafting.table(), 1)
    node.on_published(11.0)
    return node


def waiting_balancer():
    node = make_balancer("b", CODEC, "s", "10.0.1.2", started_at=97.5)
    node.board.store_failures = 3
    node.board.store_error = "connect: errno 111"
    return node


def agent():
    node = make_agent(crafting.SERVICE, CODEC, 40.0)
    node.tick(40.1)
    return node


NODES = {
    "10.0.1.1": ready_balancer,
    "10.0.1.2": waiting_balancer,
    "10.0.0.1": agent,
}


def respond(request):
    host = request.url.host
    if host == AWAY:
        raise httpx.ConnectError("refused")
    target = request.url.raw_path.decode()
    reply = answer_state(NODES[host](), f"on-{host}", "a", target, NOW)
    return httpx.Response(reply.status, text=reply.body)


def reader(hosts=(*NODES, AWAY)):
    client = httpx.Client(transport=httpx.MockTransport(respond))
    daemons = tuple(model.Endpoint(host, 9464) for host in hosts)
    return FleetReader(OperatorSettings("no key", daemons), client)


def rows(text, hosts=(*NODES, AWAY)):
    statement = statements.parse_statement(text).unwrap()
    return queries.show(reader(hosts), statement)


def test_processes_that_are_not_ready_are_listed_with_the_reason():
    waiting, away = rows("show processes where ready = False")
    assert (waiting["host"], waiting["role"]) == ("on-10.0.1.2", "balancer")
    assert waiting["not_ready"] == "published state unknown"
    assert (waiting["not_ready_s"], waiting["uptime_s"]) == (2.5, 2.5)
    assert waiting["store_failures"] == 3
    assert waiting["store_error"] == "connect: errno 111"
    assert away["host"] == f"{AWAY}:9464"
    assert away["not_ready"] == "no answer: ConnectError"


def test_processes_that_were_started_again_come_first_by_uptime():
    found = rows("show processes where uptime_s < 70 order by uptime_s")
    assert [row["uptime_s"] for row in found] == [2.5, 60.0]
    assert [row["ready"] for row in found] == [False, True]


def test_processes_are_listed_if_none_answers():
    [away] = rows("show processes", [AWAY])
    assert away["ready"] is False


def test_a_text_of_another_writer_cannot_break_the_table():
    row = {"not_ready": "a\nb\x1b[2J\x00\x85", "host": "h"}
    [_, line] = tool.format_table([row]).split("\n")
    assert line.isprintable()
