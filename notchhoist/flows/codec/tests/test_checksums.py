"""Tests of the checksum of control messages."""

import random

import pytest

from notchhoist.base.errors import CodecError
from notchhoist.flows.codec.compact import (
    CHECKSUM_BYTES,
    read_struct,
    write_struct,
)
from notchhoist.flows.codec.generated import ttypes
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.codec.tests.messages import MESSAGES
from notchhoist.testing.opaque.damage import change_bytes

COPIES = 2000


@pytest.mark.parametrize("message", MESSAGES)
def test_a_copy_with_changed_bytes_is_refused(message):
    """A changed era stopped balancers from following the store."""
    data = encode_message(message)
    rng = random.Random(f"{message}")
    for _ in range(COPIES):
        changed = change_bytes(data, rng)
        if changed != data:
            with pytest.raises(CodecError):
                decode_message(changed)


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_of_earlier_versions_have_no_checksum(message):
    data = encode_message(message)[:-CHECKSUM_BYTES]
    assert decode_message(data) == message
    for more in range(1, CHECKSUM_BYTES):
        with pytest.raises(CodecError):
            decode_message(data + bytes(more))


@pytest.mark.parametrize("message", MESSAGES)
def test_earlier_versions_ignore_the_checksum(message):
    data = encode_message(message)
    struct = ttypes.FlowMessage()
    read_struct(struct, data)
    assert write_struct(struct) == data[:-CHECKSUM_BYTES]
