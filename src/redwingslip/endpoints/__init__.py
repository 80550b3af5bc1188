"""HTTP between entries and endpoints: announcements and calls."""

from ._calls import AnnouncementHandler, AnnouncementReply, EndpointAnswer, EndpointCall
from ._client import EndpointClient
from ._headers import PERMIT, CallHeaders, format_call_headers, parse_call_headers
from ._routes import announcement_routes
from .exceptions import (
    AnnouncementError,
    EndpointError,
    EndpointOutcomeUnknownError,
    EndpointRefusedError,
    EndpointUnreachableError,
)

__all__ = [
    "AnnouncementError",
    "AnnouncementHandler",
    "AnnouncementReply",
    "CallHeaders",
    "EndpointAnswer",
    "EndpointCall",
    "EndpointClient",
    "EndpointError",
    "EndpointOutcomeUnknownError",
    "EndpointRefusedError",
    "EndpointUnreachableError",
    "PERMIT",
    "announcement_routes",
    "format_call_headers",
    "parse_call_headers",
]
