"""Port for metrics and state, without which a process serves as well."""

from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.http_port import Handler, open_listener, serve_http
from notchhoist.daemon.loop import Loop

RETRY_INTERVAL_S = 1.0
"""Time until an address that cannot be bound is tried again, seconds."""


def open_metrics_port(
    loop: Loop,
    journal: FlowJournal,
    address: tuple[str, int],
    handler: Handler,
    attempt: int = 1,
) -> None:
    """Opens the port; if it is in use, tries again later.

    Meanwhile the process that holds it accepts the connections of balancers
    that check this host. They then do not notice that an agent restarts, which
    costs less than an agent that does not serve at all.

    Args:
        loop: The event loop.
        journal: Writer of the logs.
        address: Address to bind.
        handler: Returns the response for a path.
        attempt: Number of this attempt.
    """
    try:
        listener = open_listener(address)
    except OSError as error:
        if attempt == 1:
            journal.log(
                "metrics port",
                outcome="not available",
                address=f"tcp {address[0]}:{address[1]}",
                reason=str(error),
            )
        loop.call_later(
            RETRY_INTERVAL_S,
            lambda: open_metrics_port(
                loop, journal, address, handler, attempt + 1
            ),
        )
        return
    serve_http(loop, listener, handler)
    if attempt > 1:
        journal.log("metrics port", outcome="open", attempts=attempt)
