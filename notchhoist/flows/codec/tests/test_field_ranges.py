"""Ranges of the fields of control messages, at their ends and past them."""

import math
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.field_ranges import FIELD_RANGES
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.codec.tests.messages import (
    MESSAGES,
    body_of,
    changed_copy,
    read_raw,
    structs_in,
    write_raw,
)
from notchhoist.flows.model.messages import (
    FlowsTell,
    LoadTell,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.ranges import I32_MAX
from notchhoist.flows.model.revisions import make_revision

I32, I64, DOUBLE = 8, 10, 4
WIDTHS = {I32: 31, I64: 63}
AGES = ("placing_for_ms", "rerouted_for_ms", "reroutes_known_for_ms")
UNCHECKED = {"routes_digest"}
"""Numbers that are compared and nothing else."""

NUMBERS = [
    (index, struct_index, spec[2], spec[1])
    for index, message in enumerate(MESSAGES)
    for struct_index, struct in enumerate(
        structs_in(body_of(read_raw(encode_message(message))))
    )
    for spec in struct.thrift_spec
    if spec and spec[1] in (I32, I64, DOUBLE)
]
"""Message, struct in it, name and wire type of each number that is sent."""


def message_with(index, struct_index, name, value):
    """Returns an encoded message with one field changed."""
    struct = read_raw(encode_message(MESSAGES[index]))
    changed = list(structs_in(body_of(struct)))[struct_index]
    setattr(changed, name, value)
    return write_raw(struct)


def past_the_ends(name, wire_type):
    """Yields values past the range of a field that the wire can carry."""
    low, high = FIELD_RANGES[name]
    if wire_type == DOUBLE:
        yield from (-1e-9, math.nextafter(high, math.inf))
        yield from (-math.inf, math.inf, math.nan)
        return
    width = WIDTHS[wire_type]
    for value in (low - 1, -(1 << width), high + 1, (1 << width) - 1):
        if not low <= value <= high and -(1 << width) <= value < 1 << width:
            yield value


@pytest.mark.parametrize(("index", "struct_index", "name", "wire"), NUMBERS)
def test_numbers_past_their_ranges_are_refused(index, struct_index, name, wire):
    if name in UNCHECKED:
        return
    for value in past_the_ends(name, wire):
        with pytest.raises(CodecError):
            decode_message(message_with(index, struct_index, name, value))


@pytest.mark.parametrize(("index", "struct_index", "name", "wire"), NUMBERS)
def test_numbers_at_the_ends_of_their_ranges_are_carried(
    index, struct_index, name, wire
):
    if name in UNCHECKED or name in ("part", "parts", "weight"):
        return
    for value in FIELD_RANGES[name]:
        carried = float(value)
        if wire != DOUBLE:
            carried = min(int(value), (1 << WIDTHS[wire]) - 1)
        data = message_with(index, struct_index, name, carried)
        message = decode_message(data)
        assert decode_message(encode_message(message)) == message
        msgspec.json.encode(message, enc_hook=str)


@pytest.mark.parametrize(
    "host",
    [
        "",
        "localhost",
        "host-1",
        "10.0.0",
        "10.0.0.1.2",
        "10.0.0.256",
        "10.0.0.-1",
        "10.0.0.1\0",
        "10.0.0.1 ",
        "::1",
        "10.0.0.\u0661",
        "1" * 60_000,
        "0" * 5_000 + ".0.0.1",
    ],
    ids=lambda host: repr(host)[:20],
)
def test_host_that_is_no_ipv4_address_is_refused(host):
    """It reached ``sendto``, which looked it up or raised a TypeError."""
    for message in MESSAGES[5:]:
        whole = read_raw(encode_message(message))
        for index, struct in enumerate(structs_in(body_of(whole))):
            if not hasattr(struct, "host"):
                continue
            changed = read_raw(encode_message(message))
            list(structs_in(body_of(changed)))[index].host = host
            with pytest.raises(CodecError, match="host"):
                decode_message(write_raw(changed))


@pytest.mark.parametrize("key", [b"", b"k", b"k" * 5, b"k" * 7, b"k" * 60_000])
def test_route_with_a_service_key_of_another_length_is_refused(key):
    struct = read_raw(encode_message(MESSAGES[5]))
    struct.view_tell.routes[0].service_key = key
    with pytest.raises(CodecError, match="service_key"):
        decode_message(write_raw(struct))


@given(st.randoms(use_true_random=False), st.sampled_from(MESSAGES))
def test_what_a_changed_message_decodes_to_can_be_used(draw, message):
    """What decodes can be encoded again, and written to the log."""
    data = changed_copy(draw, encode_message(message))
    try:
        decoded = decode_message(data)
    except CodecError as error:
        assert len(str(error)) < 300
        return
    assert type(decode_message(encode_message(decoded))) is type(decoded)
    msgspec.json.encode(decoded, enc_hook=str)


def test_changes_are_as_drawn_by_the_seed():
    data = encode_message(MESSAGES[5])
    copies = [changed_copy(random.Random(1), data) for _ in range(2)]
    assert copies[0] == copies[1] != data


def test_every_number_on_the_wire_has_a_range():
    kinds = [kind for kind in vars(ttypes).values() if isinstance(kind, type)]
    names = {
        spec[2]
        for kind in kinds
        for spec in getattr(kind, "thrift_spec", None) or ()
        if spec and spec[1] in (I32, I64, DOUBLE)
    }
    assert names - UNCHECKED == FIELD_RANGES.keys()


GROWING = {
    LoadTell: ("flows", "running", "pace_ms"),
    FlowsTell: ("flows", "running", "pace_ms", "age_ms"),
    ViewAsk: ("link_mbps",),
    ViewTell: AGES,
    ViewPiece: AGES,
}
"""Fields that may grow past what the wire carries, by kind of message."""


@given(st.floats(-1e300, 1e300) | st.integers(-(1 << 70), 1 << 70))
def test_times_and_counts_past_their_ranges_become_the_ends(value):
    """A placement 24.9 days ago did not fit, and each update raised."""
    for message in MESSAGES:
        for name in GROWING.get(type(message), ()):
            grown = replace(message, **{name: value})
            carried = getattr(decode_message(encode_message(grown)), name)
            assert carried == int(min(max(value, 0), I32_MAX))


@pytest.mark.parametrize("age_s", [-1.0, 0.0, 3e6, 1e300, math.inf])
def test_any_age_of_a_view_can_be_sent(age_s):
    for message in MESSAGES[5:]:
        aged = replace(message, age_s=age_s)
        carried = decode_message(encode_message(aged)).age_s
        assert carried == min(max(age_s, 0.0), I32_MAX / 1000)


@pytest.mark.parametrize(
    ("index", "name", "value"),
    [
        (0, "slots", -1),
        (0, "slots", 1 << 31),
        (1, "state_revision", make_revision(1 << 63, 0)),
        (1, "service", "\ud800"),
        (2, "number", 1 << 31),
        (2, "tag", 1 << 16),
        (4, "number", 1 << 63),
        (4, "revision", -1),
        (5, "asked", 1 << 63),
        (5, "age_s", math.nan),
        (5, "parts", 1 << 31),
        (6, "revision", make_revision(1 << 63, 0)),
    ],
)
def test_a_value_that_the_wire_does_not_carry_is_a_codec_error(
    index, name, value
):
    changed = replace(MESSAGES[index], **{name: value})
    with pytest.raises(CodecError):
        encode_message(changed)
