"""Read-only client of the publication service, for the CoAP interface.

The path for opaque flows reads its configuration by ``notchhoist.platform``.
"""

from notchhoist.publication.http_client import (
    HttpPlatform,
    open_http_platform,
    to_event,
)
from notchhoist.publication.protocol import HostList, Platform

__all__ = [
    "HostList",
    "HttpPlatform",
    "Platform",
    "open_http_platform",
    "to_event",
]
