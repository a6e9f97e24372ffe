"""CoAP messages, encoded and decoded by aiocoap without its sockets.

This module adapts the messages of RFC 7252 to the needs of the controllers and
converts every decoding failure to ``CodecError``.
"""

import enum

import attrs
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import UintOption

from notchhoist import model

MAX_DATAGRAM_BYTES = 1280
"""Longest datagram accepted from a caller, bytes (RFC 7252, 4.6)."""

DEADLINE_OPTION = 65020
"""Number of the option with the time left for a request, milliseconds.

The option is elective, safe to forward and not part of the cache key.
"""

_METHODS = frozenset(
    ["GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH"]
)


class Refusal(enum.Enum):
    """Kind of the error response to a request that is not completed."""

    NOT_RUN = "not run"
    BUSY = "busy"
    UNKNOWN = "unknown"
    BAD_REQUEST = "bad request"


_REFUSAL_CODES = {
    Refusal.NOT_RUN: Code.SERVICE_UNAVAILABLE,
    Refusal.BUSY: Code.SERVICE_UNAVAILABLE,
    Refusal.UNKNOWN: Code.GATEWAY_TIMEOUT,
    Refusal.BAD_REQUEST: Code.BAD_REQUEST,
}


@attrs.define(slots=True)
class CoapMessage:
    """A decoded CoAP message.

    Attributes:
        raw: Message of aiocoap; must not be modified.
    """

    raw: Message

    @property
    def mid(self) -> int:
        """Message ID, 0 to 65535."""
        return self.raw.mid or 0

    @property
    def token(self) -> bytes:
        """Token, 0 to 8 bytes."""
        return self.raw.token

    @property
    def code(self) -> Code:
        """Request method or response code."""
        return self.raw.code

    @property
    def is_request(self) -> bool:
        """True for a request with a known method."""
        return self.raw.code.is_request() and self.method in _METHODS

    @property
    def is_response(self) -> bool:
        """True for any response."""
        return self.raw.code.is_response()

    @property
    def is_confirmable(self) -> bool:
        """True for a message that the receiver has to acknowledge."""
        return self.raw.mtype is Type.CON

    @property
    def is_empty(self) -> bool:
        """True for an empty acknowledgement, reset or ping."""
        return self.raw.code is Code.EMPTY

    @property
    def is_reset(self) -> bool:
        """True for a reset."""
        return self.raw.mtype is Type.RST

    @property
    def method(self) -> str:
        """Name of the method, such as ``POST``."""
        return getattr(self.raw.code, "name", "")

    @property
    def path(self) -> tuple[str, ...]:
        """Segments of the Uri-Path."""
        return self.raw.opt.uri_path

    @property
    def payload(self) -> bytes:
        """Payload, empty if there is none."""
        return self.raw.payload

    @property
    def max_age_s(self) -> int | None:
        """Max-Age in seconds, or None."""
        return self.raw.opt.max_age

    @property
    def observe(self) -> int | None:
        """Value of the Observe option, or None."""
        return self.raw.opt.observe

    @property
    def request_tag(self) -> bytes | None:
        """Request-Tag that the caller chose (RFC 9175), or None."""
        tags = self.raw.opt.request_tag
        return bytes(tags[0]) if tags else None

    @property
    def block1(self) -> tuple[int, bool] | None:
        """Block number and more flag of the Block1 option, or None."""
        block = self.raw.opt.block1
        return (block.block_number, block.more) if block else None


def decode_coap(data: bytes) -> CoapMessage:
    """Decodes a CoAP datagram.

    Examples:
        >>> decode_coap(bytes([0x40, 0x01, 0x12, 0x34])).mid == 0x1234
        True

    Args:
        data: The datagram.

    Returns:
        The message.

    Raises:
        CodecError: The datagram is not a CoAP message, or too long.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise model.CodecError("coap", f"datagram of {len(data)} bytes")
    try:
        return CoapMessage(Message.decode(data))
    except Exception as error:  # The library raises many unrelated types.
        reason = f"{type(error).__name__}: {error}"
        raise model.CodecError("coap", reason[:200]) from error


def encode_coap(message: CoapMessage) -> bytes:
    """Encodes a CoAP message.

    Args:
        message: Message with type, message ID and token.

    Returns:
        The datagram.
    """
    raw = message.raw
    copy = _header(raw.code, raw.mtype, message.mid, raw.token, raw.payload)
    copy.opt = raw.opt
    return copy.encode()


def _header(
    code: Code, mtype: Type, mid: int, token: bytes = b"", payload: bytes = b""
) -> Message:
    return Message(
        code=code, _mtype=mtype, _mid=mid, _token=token, payload=payload
    )


def empty_ack(mid: int) -> bytes:
    """Returns an empty acknowledgement of a message ID."""
    return _header(Code.EMPTY, Type.ACK, mid).encode()


def reset_for(mid: int) -> bytes:
    """Returns a reset in reply to a message ID."""
    return _header(Code.EMPTY, Type.RST, mid).encode()


def encode_response_for(response: CoapMessage, request: CoapMessage) -> bytes:
    """Encodes a response with the message ID and token of a given request.

    Args:
        response: Response of a backend server to any transmission.
        request: Request that the caller sent.

    Returns:
        The datagram for the caller.
    """
    answer = _header(
        response.code,
        Type.ACK if request.is_confirmable else Type.NON,
        request.mid,
        request.token,
        response.payload,
    )
    answer.opt = response.raw.opt
    return answer.encode()


def refusal(
    request: CoapMessage,
    kind: Refusal,
    reason: str,
    retry_after_s: int,
) -> bytes:
    """Encodes the error response to a request that is not completed.

    Args:
        request: The caller's request.
        kind: Kind of the error response.
        reason: Short name of the cause.
        retry_after_s: Time after which the caller may retry, seconds.

    Returns:
        The datagram for the caller, with Max-Age.
    """
    text = f"{kind.value}: {reason}".encode()
    answer = Message(code=_REFUSAL_CODES[kind], payload=text)
    answer.opt.max_age = retry_after_s
    return encode_response_for(CoapMessage(answer), request)


def with_deadline(request: CoapMessage, remaining_s: float) -> bytes:
    """Encodes a request with the time left for it as an option.

    Args:
        request: The caller's request.
        remaining_s: Time to the deadline, seconds.

    Returns:
        The datagram for the backend server.
    """
    copy = _header(
        request.code,
        request.raw.mtype,
        request.mid,
        request.token,
        request.payload,
    )
    for option in request.raw.opt.option_list():
        copy.opt.add_option(option)
    milliseconds = max(1, int(remaining_s * 1000))
    copy.opt.add_option(UintOption(OptionNumber(DEADLINE_OPTION), milliseconds))
    return copy.encode()


def deadline_of(request: CoapMessage) -> float | None:
    """Returns the time left by the deadline option, seconds, or None."""
    for option in request.raw.opt.get_option(OptionNumber(DEADLINE_OPTION)):
        return int.from_bytes(option.encode(), "big") / 1000
    return None


def is_observe_registration(request: CoapMessage) -> bool:
    """Returns whether a request registers an observer (RFC 7641)."""
    return request.method in ("GET", "FETCH") and request.observe == 0


def is_block_continuation(request: CoapMessage) -> bool:
    """Returns whether a request carries a later block of an upload."""
    return request.block1 is not None and request.block1[0] > 0
