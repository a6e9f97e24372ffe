"""The packet layout, by the platform's example, and malformed packets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.base.errors import CodecError
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import ACK, BOUNCED, FIN, SYN
from notchhoist.platform.packets import HEAD_BYTES, PacketCodec

CODEC = PacketCodec()
EXAMPLE_SYN = bytes.fromhex(
    "0000000011223344000000000100a1b2c3d59c4101bbc6120001644000070000"
)
EXAMPLE_RESET = bytes.fromhex(
    "000000000000000000000000020000000000 01bb9c4164400007c61200010000"
)


def test_the_example():
    segment = CODEC.decode_request(EXAMPLE_SYN)
    assert segment.opens
    assert segment.seq == 0x11223344
    assert segment.caller == "100.64.0.7"
    assert CODEC.make_reset(segment) == EXAMPLE_RESET


def test_both_directions_name_the_same_flow():
    there = crafting.request(data=b"x")
    back = crafting.answer(data=b"y")
    assert there.flow == back.flow
    assert there.service_key == back.service_key == crafting.KEY


def test_a_reset_lies_in_the_callers_window():
    reset = CODEC.make_reset(crafting.request(data=b"x", ack=4711))
    assert CODEC.decode_answer(reset).seq == 4711


def test_a_returned_packet_is_restored():
    segment = crafting.request(data=b"x")
    back = crafting.bounced(segment)
    assert back.returned
    assert back.flow == segment.flow
    assert CODEC.with_note(back, 0) == segment.raw


def test_a_note_changes_nothing_else():
    segment = crafting.request(data=b"x")
    noted = CODEC.with_note(segment, 0xDEADBEEF)
    assert noted[4:] == segment.raw[4:]
    assert CODEC.decode_request(noted).note == 0xDEADBEEF


@pytest.mark.parametrize(
    ("retransmissions", "waited_s"), [(0, 0.0), (1, 0.2), (2, 0.6), (9, 0.6)]
)
def test_a_retransmitted_syn_tells_how_long_its_caller_waits(
    retransmissions, waited_s
):
    assert crafting.request(flags=SYN, ack=retransmissions).waited_s == waited_s


@pytest.mark.parametrize("size", [0, 1, HEAD_BYTES - 1])
def test_a_short_packet_is_refused(size):
    with pytest.raises(CodecError, match=f"{size} bytes"):
        CODEC.decode_request(b"\0" * size)


def test_a_wrong_length_is_refused():
    with pytest.raises(CodecError, match="len says"):
        CODEC.decode_request(crafting.packet(data=b"abc")[:-1])


@given(st.binary(max_size=1400))
def test_any_bytes_decode_or_are_refused(raw):
    for decode in (CODEC.decode_request, CODEC.decode_answer):
        try:
            segment = decode(raw)
        except CodecError:
            continue
        assert len(segment.flow) == 12
        assert len(CODEC.make_reset(segment)) == HEAD_BYTES


@given(st.sampled_from([SYN, ACK, ACK | FIN, BOUNCED]), st.binary(max_size=9))
def test_a_packet_survives_its_notes(flags, data):
    raw = crafting.packet(flags=flags & ~BOUNCED, data=data)
    segment = CODEC.decode_request(raw)
    assert CODEC.with_note(segment, 0) == raw
