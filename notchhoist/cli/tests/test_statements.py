"""Tests of the command language and of change statements."""

import pytest

from notchhoist import documents, model
from notchhoist.cli import document_changes, opaque_queries, statements
from notchhoist.testing.deployment import HALLBOOK, service_of

SERVICE = service_of(HALLBOOK, 0, 67.0)
CURRENT = model.Configuration(7, (SERVICE,))
ATTACH = (
    "attach server hallbook-8 to hallbook in gonville "
    "agent 10.7.0.1:7000 address 10.7.0.1:5683 slots 3"
)


def change(text, current=CURRENT):
    statement = statements.parse_statement(text).unwrap()
    return document_changes.next_document(current, statement)


@pytest.mark.parametrize(
    ("text", "column"),
    [
        ("", 1),
        ("shw flows", 1),
        ("show", 5),
        ("show flows limit many", 18),
        ("show flows where servers", 25),
        ("why flow nowhere", 10),
        ("attach server a to b in c agent x", 33),
        ("wait until revision", 20),
    ],
)
def test_syntax_error_has_column(text, column):
    error = statements.parse_statement(text).failure()
    assert error.column == column
    assert error.expected


def test_every_subject_of_opaque_flow_daemons_is_parsed():
    for subject in opaque_queries.SUBJECTS:
        statement = statements.parse_statement(f"show {subject}").unwrap()
        assert statement.subject == subject


def test_show_statement_with_all_clauses():
    text = (
        'show flows where server = a-1 and streams >= 2 and caller ~ "10." '
        "order by streams desc limit 4 at entry-1;"
    )
    statement = statements.parse_statement(text).unwrap()
    assert statement == statements.Show(
        "flows",
        (
            statements.Condition("server", "=", "a-1"),
            statements.Condition("streams", ">=", 2.0),
            statements.Condition("caller", "~", "10."),
        ),
        "streams",
        True,
        4,
        "entry-1",
    )


def test_attach_keeps_the_former_witness_set():
    document = change(ATTACH).unwrap()
    (service,) = document.services
    assert document.revision == 8
    assert service.servers[-1].name == "hallbook-8"
    assert service.epoch == 8
    assert service.former == (model.WitnessSet(0, SERVICE.agents()),)


def test_detach_drain_and_weigh():
    (service,) = (
        change("detach server hallbook-1 from hallbook").unwrap().services
    )
    assert "hallbook-1" not in [server.name for server in service.servers]
    (service,) = change("drain server hallbook-2 of hallbook").unwrap().services
    assert service.servers[1].state is model.ServerState.DRAINING
    assert service.epoch == SERVICE.epoch
    (service,) = change("weigh kind booking of hallbook 90").unwrap().services
    assert service.kinds[0].weight == 90


def test_create_and_drop():
    created = change("create service front on 10.9.9.9:5683").unwrap()
    assert [service.name for service in created.services] == [
        "hallbook",
        "front",
    ]
    assert change("drop service hallbook").unwrap().services == ()


@pytest.mark.parametrize(
    "text",
    [
        "drop service nothing",
        "create service hallbook on 10.9.9.9:5683",
        "detach server nobody from hallbook",
        "drain server nobody of hallbook",
        "weigh kind nothing of hallbook 3",
        "weigh kind booking of hallbook 101",
        ATTACH.replace("hallbook-8", "hallbook-1"),
        ATTACH.replace("slots 3", "slots 0"),
    ],
)
def test_invalid_change_is_refused_with_statement_error(text):
    assert isinstance(change(text).failure(), model.StatementError)


def test_written_document_is_parsed_to_the_same():
    document = change(ATTACH).unwrap()
    text = documents.write_configuration(document)
    assert documents.parse_configuration(text).unwrap() == document
