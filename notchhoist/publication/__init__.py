"""The publication service of the CoAP interface: read and watched only.

The opaque-flow path reads its configuration elsewhere, see
``notchhoist.platform``.
"""

from notchhoist.publication.http_client import (
    HttpPlatform,
    open_http_platform,
    to_events,
)
from notchhoist.publication.protocol import HostList, Platform

__all__ = [
    "HostList",
    "HttpPlatform",
    "Platform",
    "open_http_platform",
    "to_events",
]
