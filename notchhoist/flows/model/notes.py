"""What balancer and agent tell each other inside a packet.

A packet has five bytes for the system's own use, which its checksum leaves out.
Bits 28 to 31 say what the note means; their values, like the lower bits, depend
on the direction. Bits 32 to 39 say to an agent how long the caller still waits,
and whether it may have tried before; to a balancer bit 32 says that the agent
keeps reservations.
"""

import enum
import math
import zlib

from msgspec import Struct

from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.wishes import Wish

_KIND_SHIFT = 28
_KIND_MASK = 0xF
_FLOWS_SHIFT = 16
_RUNNING_SHIFT = 8
_FLOWS_MAX = 0xFFF
_BYTE_MAX = 0xFF
_TAG_MASK = 0xFFFF
_HINT_SHIFT = 16
_LEFT_SHIFT = 32
_DOUBT_SHIFT = 39
_RESERVES_SHIFT = 32
_SIX_BITS = 0x3F
_SEVEN_BITS = 0x7F
_THREE_BITS = 0x7
_TWO_BITS = 0x3
NO_WISH = Wish()

OBJECTIVE_STEP_S = 0.025
"""Resolution of a latency objective in a note, seconds; 63 steps are 1.6 s,
and a request with a longer objective is never in a hurry."""

AGE_STEP_S = 0.1
"""Resolution of a caller's waiting time in a note; 7 steps are 0.7 s, and the
last copy of an opening packet comes after 0.6 s."""
PACE_STEP_MS = 8
"""Resolution of a reported service time, ms; 255 steps reach 2 s."""


EPSILON = 1e-6
"""Guards times of whole steps against being rounded down to the step below."""

LEFT_STEP_S = 0.1
"""Resolution of the time that a caller still waits, seconds; 127 steps are
12.7 s, and whoever waits for longer is nobody's first worry."""


class NoteKind(enum.IntEnum):
    """Meaning of a note; the lower four bits of a value go on the wire.

    Values above 15 are those that the other direction had first. What a process
    does not know it takes for ``NONE``.

    Attributes:
        NONE: The packet comes from a caller.
        PLACE: To an agent: a new flow for this backend server.
        HELD: To an agent: a packet of a flow that is believed to be there.
        TRY: To an agent: the same, but nobody is sure.
        ASK: To an agent, head only: is this flow at your backend server?
        ABSENT: Answer to ``ASK``: it is not.
        PRESENT: Answer to ``ASK``: it is.
        UNSURE: Answer to ``ASK``: started too recently to tell.
        TAKEN: From an agent, head only: its backend server accepted.
        REFUSED: From an agent: the opening packet comes back, nothing ran.
        RETURNED: From an agent: the packet comes back, the flow is not here.
        FULL: From an agent: the opening packet comes back, nothing ran, and the
            server is to get no new flow for the pause told instead of a pace.
        PLACE_BOUNDED: As ``PLACE``, for a server that bears only so much while
            it is cold; an agent that knows no more waits for word of it.
        PLACE_IF_FREE: As ``PLACE``, but only if a slot is free for it. An agent
            of a version that does not know this takes it for ``PLACE``.
        BUSY: Answer to ``PLACE_IF_FREE``: the opening packet comes back, every
            slot is taken, and nothing ran.
    """

    NONE = 0
    PLACE = 1
    HELD = 2
    TRY = 3
    ASK = 4
    ABSENT = 5
    PRESENT = 6
    UNSURE = 7
    TAKEN = 8
    REFUSED = 9
    RETURNED = 10
    FULL = 11
    PLACE_BOUNDED = 12
    PLACE_IF_FREE = 13
    BUSY = 14
    CALL = 15
    RESERVE = 16 | 5
    PLACE_CALLED = 16 | 6
    NONE_PARKED = 16 | 7


_TO_AGENT = {
    kind & _KIND_MASK: kind
    for kind in (
        *(NoteKind.PLACE, NoteKind.HELD, NoteKind.TRY, NoteKind.ASK),
        *(NoteKind.PLACE_BOUNDED, NoteKind.PLACE_IF_FREE),
        *(NoteKind.RESERVE, NoteKind.PLACE_CALLED, NoteKind.NONE_PARKED),
    )
}
_TO_BALANCER = {
    kind & _KIND_MASK: kind
    for kind in (
        *(NoteKind.ABSENT, NoteKind.PRESENT, NoteKind.UNSURE, NoteKind.TAKEN),
        *(NoteKind.REFUSED, NoteKind.RETURNED, NoteKind.FULL, NoteKind.BUSY),
        NoteKind.CALL,
    )
}


class Load(Struct, frozen=True):
    """How busy a backend server is, as its agent counts it.

    Attributes:
        flows: Open flows.
        running: Requests that have not been answered.
        pace_ms: Smoothed time from request to answer, ms; 0 if unknown.
    """

    flows: int = 0
    running: int = 0
    pace_ms: int = 0


def service_tag(service: str) -> int:
    """Returns 16 bits that stand for a service's name.

    An agent that shares an address with an earlier server of another service
    tells by them that a packet is not for it.

    Examples:
        >>> service_tag("hallbook") == service_tag("scoredrop")
        False
    """
    return zlib.crc32(service.encode()) & _TAG_MASK


def to_agent(kind: NoteKind, tag: int, wish: Wish = NO_WISH) -> int:
    """Returns a note for an agent of the service with a tag.

    Examples:
        >>> wish = Wish(objective_s=0.225, age_s=0.2, priority=1, left_s=2.3)
        >>> wish_of(to_agent(NoteKind.HELD, 7, wish)) == wish
        True
    """
    objective = min(round(wish.objective_s / OBJECTIVE_STEP_S), _SIX_BITS)
    age = min(round(wish.age_s / AGE_STEP_S), _THREE_BITS)
    priority = min(wish.priority, _TWO_BITS)
    left = min(int(wish.left_s / LEFT_STEP_S + EPSILON), _SEVEN_BITS)
    left |= wish.may_be_retry << (_DOUBT_SHIFT - _LEFT_SHIFT)
    hint = objective << 6 | age << 3 | priority << 1 | wish.upload
    wire = (kind & _KIND_MASK) << _KIND_SHIFT
    return left << _LEFT_SHIFT | wire | hint << _HINT_SHIFT | tag


def wish_of(note: int) -> Wish:
    """Returns what a note for an agent says of a flow's requests."""
    hint = note >> _HINT_SHIFT
    return Wish(
        objective_s=round((hint >> 6 & _SIX_BITS) * OBJECTIVE_STEP_S, 3),
        age_s=round((hint >> 3 & _THREE_BITS) * AGE_STEP_S, 3),
        priority=hint >> 1 & _TWO_BITS,
        upload=bool(hint & 1),
        left_s=round((note >> _LEFT_SHIFT & _SEVEN_BITS) * LEFT_STEP_S, 3),
        may_be_retry=bool(note >> _DOUBT_SHIFT & 1),
    )


def to_balancer(kind: NoteKind, load: Load, reserves: bool = False) -> int:
    """Returns a note for a balancer that also tells a load.

    Examples:
        >>> note = to_balancer(NoteKind.TAKEN, Load(40, 3, 64))
        >>> balancer_kind_of(note).name, load_of(note)
        ('TAKEN', Load(flows=40, running=3, pace_ms=64))

    Args:
        kind: Its meaning.
        load: The load.
        reserves: The agent keeps reservations.
    """
    return (
        reserves << _RESERVES_SHIFT
        | (kind & _KIND_MASK) << _KIND_SHIFT
        | min(load.flows, _FLOWS_MAX) << _FLOWS_SHIFT
        | min(load.running, _BYTE_MAX) << _RUNNING_SHIFT
        | min(load.pace_ms // PACE_STEP_MS, _BYTE_MAX)
    )


def full(load: Load, pause_s: float) -> int:
    """Returns the note of an opening packet that a server cannot bear now.

    Examples:
        >>> pause_of(full(Load(40, 3, 64), 0.25))
        0.256
    """
    steps = math.ceil(pause_s * 1000 / PACE_STEP_MS)
    pause = min(steps, _BYTE_MAX) * PACE_STEP_MS
    return to_balancer(NoteKind.FULL, Load(load.flows, load.running, pause))


def pause_of(note: int) -> float:
    """Returns the pause in a note of kind ``FULL``, seconds."""
    return load_of(note).pace_ms / 1000


def agent_kind_of(note: int) -> NoteKind:
    """Returns the meaning of a note for an agent."""
    return _TO_AGENT.get(note >> _KIND_SHIFT & _KIND_MASK, NoteKind.NONE)


def balancer_kind_of(note: int) -> NoteKind:
    """Returns the meaning of a note for a balancer."""
    return _TO_BALANCER.get(note >> _KIND_SHIFT & _KIND_MASK, NoteKind.NONE)


def tells_reserves(note: int) -> bool:
    """Tells whether the agent that sent a note keeps reservations."""
    return bool(note >> _RESERVES_SHIFT & 1)


def tag_of(segment: Segment) -> int:
    """Returns the service tag in a note for an agent."""
    return segment.note & _TAG_MASK


def load_of(note: int) -> Load:
    """Returns the load in a note for a balancer."""
    return Load(
        note >> _FLOWS_SHIFT & _FLOWS_MAX,
        note >> _RUNNING_SHIFT & _BYTE_MAX,
        (note & _BYTE_MAX) * PACE_STEP_MS,
    )
