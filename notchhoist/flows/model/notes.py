"""Notes: the data that balancers and agents exchange inside packets.

A packet has five bytes that are reserved for the load balancer and not covered
by its checksum. Bits 28 to 31 are the kind of the note; the meaning of the
lower bits depends on the direction. In notes for agents, bits 32 to 39 are the
time that the caller still waits and whether this may be its retry.
"""

import enum
import math
import zlib

from msgspec import Struct

from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.model.segments import Segment

_KIND_SHIFT = 28
_KIND_MASK = 0xF
_FLOWS_SHIFT = 16
_RUNNING_SHIFT = 8
_FLOWS_MAX = 0xFFF
_BYTE_MAX = 0xFF
_TAG_MASK = 0xFFFF
_HINTS_SHIFT = 16
_REMAINING_SHIFT = 32
_RETRY_SHIFT = 39
_SIX_BITS = 0x3F
_SEVEN_BITS = 0x7F
_THREE_BITS = 0x7
_TWO_BITS = 0x3
NO_HINTS = RequestHints()

OBJECTIVE_STEP_S = 0.025
"""Resolution of a latency objective in a note, seconds. The maximum of 63 steps
is 1.6 s; requests with a longer objective are never urgent."""

WAITED_STEP_S = 0.1
"""Resolution of a caller's waiting time in a note, seconds. The maximum of 7
steps is 0.7 s; the last retransmission of an opening packet comes at 0.6 s."""
SERVICE_TIME_STEP_MS = 8
"""Resolution of the service time in a note, ms; 255 steps are 2 s."""


ROUNDING_EPSILON = 1e-6
"""Keeps times that are whole steps from being rounded down by one step."""

REMAINING_STEP_S = 0.1
"""Resolution of the time that a caller still waits, seconds. The maximum of 127
steps is 12.7 s; callers that wait longer are never urgent."""


class NoteKind(enum.IntEnum):
    """Kind of a note.

    Attributes:
        NONE: The packet comes from a caller.
        PLACE: To an agent: a new flow for its backend server.
        FORWARD: To an agent: a packet of a flow that should be at its backend
            server.
        SAMPLE: To an agent: a packet of a flow that may be at its backend
            server.
        QUERY: To an agent, header only: is this flow at your backend server?
        ABSENT: Reply to ``QUERY``: the flow is not there.
        PRESENT: Reply to ``QUERY``: the flow is there.
        UNSURE: Reply to ``QUERY``: the agent started too recently to know.
        ACCEPTED: From an agent, header only: its backend server accepted the
            flow.
        REFUSED: From an agent: the opening packet is returned; nothing ran.
        RETURNED: From an agent: the packet is returned; its flow is not here.
        AT_COLD_BOUND: From an agent: the opening packet is returned; nothing
            ran. The server must get no new flow for a pause, which the note
            carries in place of the service time.
        PLACE_BOUNDED: As ``PLACE``, for a server with a cold bound; an agent
            that does not know the bound yet waits until it is reported.
        PLACE_IF_FREE: As ``PLACE``, but only if a slot is free for the flow. An
            agent of a version without this kind treats it as ``PLACE``.
        BUSY: Reply to ``PLACE_IF_FREE``: the opening packet is returned, since
            every slot is taken; nothing ran.
    """

    NONE = 0
    PLACE = 1
    FORWARD = 2
    SAMPLE = 3
    QUERY = 4
    ABSENT = 5
    PRESENT = 6
    UNSURE = 7
    ACCEPTED = 8
    REFUSED = 9
    RETURNED = 10
    AT_COLD_BOUND = 11
    PLACE_BOUNDED = 12
    PLACE_IF_FREE = 13
    BUSY = 14


_KINDS = tuple(NoteKind)


class Load(Struct, frozen=True):
    """Load of a backend server as counted by its agent.

    Attributes:
        flows: Open flows.
        running: Requests that are not answered yet.
        service_time_ms: Smoothed time from request to answer, ms; 0 if unknown.
    """

    flows: int = 0
    running: int = 0
    service_time_ms: int = 0


def service_tag(service: str) -> int:
    """Returns a 16-bit hash of a service's name.

    If a host was used by another service before, the agent there recognizes by
    the tag that a packet is not meant for its own service.

    Examples:
        >>> service_tag("hallbook") == service_tag("scoredrop")
        False
    """
    return zlib.crc32(service.encode()) & _TAG_MASK


def to_agent(kind: NoteKind, tag: int, hints: RequestHints = NO_HINTS) -> int:
    """Returns a note for an agent of the service that has a tag.

    Examples:
        >>> hints = RequestHints(
        ...     objective_s=0.225, waited_s=0.2, priority=1, remaining_s=2.3
        ... )
        >>> hints_of(to_agent(NoteKind.FORWARD, 7, hints)) == hints
        True
    """
    objective = min(round(hints.objective_s / OBJECTIVE_STEP_S), _SIX_BITS)
    waited = min(round(hints.waited_s / WAITED_STEP_S), _THREE_BITS)
    priority = min(hints.priority, _TWO_BITS)
    remaining = min(
        int(hints.remaining_s / REMAINING_STEP_S + ROUNDING_EPSILON),
        _SEVEN_BITS,
    )
    remaining |= hints.may_be_retry << (_RETRY_SHIFT - _REMAINING_SHIFT)
    packed = objective << 6 | waited << 3 | priority << 1 | hints.upload
    return (
        remaining << _REMAINING_SHIFT
        | kind << _KIND_SHIFT
        | packed << _HINTS_SHIFT
        | tag
    )


def hints_of(note: int) -> RequestHints:
    """Returns the request hints in a note for an agent."""
    packed = note >> _HINTS_SHIFT
    return RequestHints(
        objective_s=round((packed >> 6 & _SIX_BITS) * OBJECTIVE_STEP_S, 3),
        waited_s=round((packed >> 3 & _THREE_BITS) * WAITED_STEP_S, 3),
        priority=packed >> 1 & _TWO_BITS,
        upload=bool(packed & 1),
        remaining_s=round(
            (note >> _REMAINING_SHIFT & _SEVEN_BITS) * REMAINING_STEP_S, 3
        ),
        may_be_retry=bool(note >> _RETRY_SHIFT & 1),
    )


def to_balancer(kind: NoteKind, load: Load) -> int:
    """Returns a note for a balancer that also reports the load.

    Examples:
        >>> note = to_balancer(NoteKind.ACCEPTED, Load(40, 3, 64))
        >>> kind_of(note).name, load_of(note)
        ('ACCEPTED', Load(flows=40, running=3, service_time_ms=64))
    """
    return (
        kind << _KIND_SHIFT
        | min(load.flows, _FLOWS_MAX) << _FLOWS_SHIFT
        | min(load.running, _BYTE_MAX) << _RUNNING_SHIFT
        | min(load.service_time_ms // SERVICE_TIME_STEP_MS, _BYTE_MAX)
    )


def at_cold_bound(load: Load, pause_s: float) -> int:
    """Returns the note of an opening packet that exceeds the cold bound.

    Examples:
        >>> pause_of(at_cold_bound(Load(40, 3, 64), 0.25))
        0.256
    """
    steps = math.ceil(pause_s * 1000 / SERVICE_TIME_STEP_MS)
    pause = min(steps, _BYTE_MAX) * SERVICE_TIME_STEP_MS
    return to_balancer(
        NoteKind.AT_COLD_BOUND, Load(load.flows, load.running, pause)
    )


def pause_of(note: int) -> float:
    """Returns the pause in a note of kind ``AT_COLD_BOUND``, seconds."""
    return load_of(note).service_time_ms / 1000


def kind_of(note: int) -> NoteKind:
    """Returns the kind of a note; ``NONE`` for an unknown kind."""
    index = note >> _KIND_SHIFT & _KIND_MASK
    return _KINDS[index] if index < len(_KINDS) else NoteKind.NONE


def tag_of(segment: Segment) -> int:
    """Returns the service tag in a note for an agent."""
    return segment.note & _TAG_MASK


def load_of(note: int) -> Load:
    """Returns the load in a note for a balancer."""
    return Load(
        note >> _FLOWS_SHIFT & _FLOWS_MAX,
        note >> _RUNNING_SHIFT & _BYTE_MAX,
        (note & _BYTE_MAX) * SERVICE_TIME_STEP_MS,
    )
