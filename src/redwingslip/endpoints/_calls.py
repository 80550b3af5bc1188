"""The types shared by the endpoints' interface and the rest of an entry."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..peers import EndpointReport, Permit

__all__ = ["AnnouncementHandler", "AnnouncementReply", "EndpointAnswer", "EndpointCall"]


class EndpointCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call of an endpoint under a permit.

    Attributes
    ----------
    timeout : timedelta
        Longest wait for the complete answer; at most the task lease.
    """

    permit: Permit
    path: str
    team: str
    content_type: str
    body: bytes
    timeout: timedelta


class EndpointAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The complete answer to a call."""

    status: int
    content_type: str
    body: bytes


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """The reply to the announcement of an endpoint.

    Attributes
    ----------
    fencing_token : int
        The endpoint must refuse work with a lower token after this reply.
    announce_within : timedelta
        How soon the endpoint must announce itself again; zero for immediately.
    """

    fencing_token: int
    announce_within: timedelta


class AnnouncementHandler(Protocol):
    """Handles announcements; the entry daemon implements it."""

    def announce(self, report: EndpointReport) -> AnnouncementReply:
        """Handle an announcement and return the reply.

        Raises
        ------
        AnnouncementError
            The VM is not declared, or the entry can't determine that at present.
        """
