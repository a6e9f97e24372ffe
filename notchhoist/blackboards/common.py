"""State that agents and balancers have in common."""

import collections
import enum

import attrs

from notchhoist import model, parts


class Count(enum.StrEnum):
    """Names of the counters in metrics and the state dump."""

    CALLER_DATAGRAMS = "caller_datagrams"
    CALLER_MALFORMED = "caller_malformed"
    PEER_MALFORMED = "peer_malformed"
    BACKEND_MALFORMED = "backend_malformed"
    MISDIRECTED = "misdirected"
    UNKNOWN_SERVICE = "unknown_service"
    STALE_DROPPED = "stale_dropped"
    NOT_READY = "not_ready"
    HOPS_EXHAUSTED = "hops_exhausted"
    FLOWS_PLACED = "flows_placed"
    FLOWS_ADOPTED = "flows_adopted"
    FLOWS_MOVED = "flows_moved"
    OWNER_ASKED = "owner_asked"
    OWNER_LOST = "owner_lost"
    REQUESTS = "requests"
    RETRANSMISSIONS = "retransmissions"
    ANSWERED = "answered"
    BUSY = "busy"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DELEGATED = "delegated"
    RETRIED = "retried"
    STARTED = "started"
    SHED = "shed"
    STRAY_RESPONSES = "stray_responses"
    GRANTS_WON = "grants_won"
    GRANTS_LOST = "grants_lost"
    FENCES_WON = "fences_won"
    FENCES_LOST = "fences_lost"
    PAUSES = "pauses"
    CONFIG_ADOPTED = "config_adopted"
    CONFIG_REFUSED = "config_refused"
    PLATFORM_READS = "platform_reads"
    PLATFORM_FAILURES = "platform_failures"
    LISTEN_FAILED = "listen_failed"
    AGENT_SUSPECTED = "agent_suspected"


Counters = collections.Counter[Count]

DECISIONS_KEPT = 500
"""Number of decisions that an agent keeps for operators."""


@attrs.frozen
class Decision:
    """A decision about a request, and its reason.

    Attributes:
        number: Sequence number in this process, from 1.
        at: Runtime clock, seconds.
        caller: Endpoint of the caller, as text.
        request: Method, path and message ID of the request.
        kind: Kind of request.
        outcome: How it ended, or what was done instead.
        reason: Short name of the cause; empty for an ordinary answer.
        tries: Number of its executions so far, local or delegated.
    """

    number: int
    at: float
    caller: str
    request: str
    kind: str
    outcome: str
    reason: str
    tries: int


@attrs.define
class ConfigBoard:
    """Configuration of a process and state of its synchronization.

    Times are of the runtime clock, in seconds.

    Attributes:
        store: Configuration in force.
        service: The only service that the process keeps, or empty for all.
        zone: Availability zone of the process.
        started_at: Time of the start.
        seeds: Peers from the settings, for a start without the platform.
        refused: Why the last refused document was refused, or None. Cleared
            when a higher revision is adopted.
        read_pending: A read of the configuration is in progress.
        hosts_pending: A read of the host list is in progress.
        next_ask_at: Time of the next query to a peer.
        next_hosts_at: Time of the next read of the host list.
        next_read_at: Earliest time of the next read of the configuration.
        fresh_at: Last time that the platform or a peer answered.
        leaving: Hosts reported to be leaving, each with the time of the last
            report.
        revision_at: Time at which the revision in force was adopted.
    """

    store: parts.RevisionStore
    service: str
    zone: str
    started_at: float
    seeds: tuple[model.Endpoint, ...] = ()
    refused: model.ConfigurationRefusedError | None = None
    read_pending: bool = False
    hosts_pending: bool = False
    next_ask_at: float = 0.0
    next_hosts_at: float = 0.0
    next_read_at: float = 0.0
    fresh_at: float = -1.0
    leaving: dict[str, float] = attrs.Factory(dict)
    revision_at: float = 0.0
