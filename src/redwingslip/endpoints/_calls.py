"""What passes between the endpoints' interface and the rest of an entry."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..peers import EndpointReport, Permit

__all__ = ["AnnouncementHandler", "AnnouncementReply", "EndpointAnswer", "EndpointCall"]


class EndpointCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of an endpoint under a permit.

    Attributes
    ----------
    timeout : timedelta
        The longest wait for the whole answer, the task lease included.
    """

    permit: Permit
    path: str
    team: str
    content_type: str
    body: bytes
    timeout: timedelta


class EndpointAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    content_type: str
    body: bytes


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint is told when it announces itself.

    Attributes
    ----------
    fencing_token : int
        The endpoint refuses work under any lower token from now on.
    announce_within : timedelta
        When to announce again; zero for at once.
    """

    fencing_token: int
    announce_within: timedelta


class AnnouncementHandler(Protocol):
    """Takes announcements; the entry daemon implements it."""

    def announce(self, report: EndpointReport) -> AnnouncementReply:
        """Take an announcement.

        Raises
        ------
        AnnouncementError
            The VM is not declared, or the entry can't tell now.
        """
