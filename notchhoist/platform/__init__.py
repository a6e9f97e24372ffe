"""The platform's service, which can only be read and watched."""

from notchhoist.platform.http_client import (
    HttpPlatform,
    open_http_platform,
    to_events,
)
from notchhoist.platform.protocol import HostList, Platform

__all__ = [
    "HostList",
    "HttpPlatform",
    "Platform",
    "open_http_platform",
    "to_events",
]
