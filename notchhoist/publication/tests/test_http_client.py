"""HTTP client of the platform: responses and failures as typed results."""

import anyio
import httpx
import pytest

from notchhoist import publication


def read(handler, operation="configuration"):
    async def run():
        transport = httpx.MockTransport(handler)
        base = "http://127.0.0.1:1"
        async with httpx.AsyncClient(
            transport=transport, base_url=base
        ) as client:
            source = publication.HttpPlatform(client)
            if operation == "hosts":
                return await source.read_hosts()
            return await source.read_configuration(after=3, wait_s=1.0)

    return anyio.run(run)


def test_a_document():
    result = read(lambda request: httpx.Response(200, content=b"{}"))
    event = publication.to_event(result)
    assert (event.document, event.failed) == (b"{}", False)


def test_no_newer_document():
    event = publication.to_event(read(lambda request: httpx.Response(204)))
    assert (event.document, event.failed) == (b"", False)


def test_the_query_has_the_known_revision_and_the_waiting_time():
    queries = []

    def handler(request):
        queries.append(dict(request.url.params))
        return httpx.Response(204)

    read(handler)
    assert queries == [{"after": "3", "wait": "1.0"}]


def refuse_connection(request):
    raise httpx.ConnectError("refused")


@pytest.mark.parametrize(
    "handler", [refuse_connection, lambda request: httpx.Response(503)]
)
@pytest.mark.parametrize("operation", ["configuration", "hosts"])
def test_failures_are_typed(handler, operation):
    result = read(handler, operation)
    assert result.failure().operation == operation
    assert publication.to_event(result).failed


def test_a_host_list():
    text = b'{"live": ["a", "b"], "leaving": ["b"]}'
    result = read(lambda request: httpx.Response(200, content=text), "hosts")
    event = publication.to_event(result)
    assert event.leaving == {"b"}


def test_an_invalid_host_list_is_a_failure():
    result = read(lambda request: httpx.Response(200, content=b"[]"), "hosts")
    assert publication.to_event(result).failed
