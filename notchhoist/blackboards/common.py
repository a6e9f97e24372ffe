"""What the blackboards of both roles have in common."""

import collections
import enum

import attrs

from notchhoist import model, parts


class Count(enum.StrEnum):
    """Names of the counters."""

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


@attrs.frozen
class Decision:
    """What was decided about a request, and why.

    Attributes:
        number: Counts the decisions of this process.
        at: Runtime clock, seconds.
        caller: Endpoint of the caller, as text.
        request: Method, path and message ID.
        kind: Kind of request.
        outcome: How it ended, or what was done instead.
        reason: Short name of the cause; empty for an ordinary answer.
        tries: How often it was started or delegated.
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
    """What a process knows of the configuration and the platform.

    Attributes:
        store: The configuration in force.
        service: Scope: only this service; empty for all.
        zone: Availability zone of the process.
        started_at: Runtime clock at the start, seconds.
        seeds: Peers from the settings, for a start without the platform.
        refused: Why the last refused document was refused, or None.
        read_pending: A read of the configuration is under way.
        hosts_pending: A read of the host list is under way.
        next_ask_at: When to ask a peer next, runtime clock, seconds.
        next_hosts_at: When to read the host list next, likewise.
        next_read_at: No configuration read before this time.
        fresh_at: Last time that the platform or a peer answered.
        leaving: Host names said to be leaving, with the time of the last
            word of it.
        revision_at: When the revision in force was adopted.
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
