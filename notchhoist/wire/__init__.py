"""Codecs: Thrift between processes of the system, CoAP to callers."""

from notchhoist.wire.coap import (
    MAX_DATAGRAM_BYTES,
    CoapMessage,
    Refusal,
    deadline_of,
    decode_coap,
    empty_ack,
    encode_coap,
    encode_response_for,
    is_block_continuation,
    is_observe_registration,
    refusal,
    reset_for,
    with_deadline,
)
from notchhoist.wire.peer import Envelope, decode_peer, encode_peer

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "CoapMessage",
    "Envelope",
    "Refusal",
    "deadline_of",
    "decode_coap",
    "decode_peer",
    "empty_ack",
    "encode_coap",
    "encode_peer",
    "encode_response_for",
    "is_block_continuation",
    "is_observe_registration",
    "refusal",
    "reset_for",
    "with_deadline",
]
