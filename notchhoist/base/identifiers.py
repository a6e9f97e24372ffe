"""Addresses and flow keys."""

import attrs

MAX_PORT = 65535


@attrs.frozen(slots=True, order=True)
class Endpoint:
    """An IP address and a port.

    Examples:
        >>> str(Endpoint("127.0.0.1", 5683))
        '127.0.0.1:5683'

    Attributes:
        host: IP address in its usual text form.
        port: UDP or TCP port, 0 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns ``host:port``."""
        return f"{self.host}:{self.port}"


@attrs.frozen(slots=True)
class FlowKey:
    """Identifies a flow by its service and the caller's endpoint.

    Attributes:
        service: Name of the service.
        caller: Endpoint that the caller sends from.
    """

    service: str
    caller: Endpoint


def parse_endpoint(text: str) -> Endpoint:
    """Parses ``host:port``.

    Examples:
        >>> parse_endpoint("10.0.0.7:5683")
        Endpoint(host='10.0.0.7', port=5683)

    Args:
        text: An IP address, a colon and a port.

    Returns:
        The endpoint.

    Raises:
        ValueError: The text has another form, or the port is too large.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise ValueError(f"expected host:port, got {text!r}")
    if int(port) > MAX_PORT:
        raise ValueError(f"expected a port of at most {MAX_PORT}, got {port}")
    return Endpoint(host, int(port))
