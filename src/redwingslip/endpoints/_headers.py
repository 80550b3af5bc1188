"""The headers of a call of an endpoint."""

import math
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from ._calls import EndpointCall

__all__ = [
    "CallHeaders",
    "FENCING_TOKEN",
    "INCARNATION",
    "LEASE",
    "PERMIT",
    "REQUEST",
    "START_BY",
    "TEAM",
    "format_call_headers",
    "parse_call_headers",
]

PERMIT = "Redwingslip-Permit"
REQUEST = "Redwingslip-Request"
TEAM = "Redwingslip-Team"
FENCING_TOKEN = "Redwingslip-Fencing-Token"
INCARNATION = "Redwingslip-Incarnation"
START_BY = "Redwingslip-Start-By"
LEASE = "Redwingslip-Lease"


class CallHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """The parsed headers of a call.

    Attributes
    ----------
    start_by : timedelta
        Latest start, on the monotonic clock of the endpoint. The endpoint refuses to
        start the task after it.
    lease : timedelta
        How long the task may run.
    """

    permit_id: str
    request_id: str
    team: str
    fencing_token: int
    incarnation: str
    start_by: timedelta
    lease: timedelta


def format_call_headers(call: EndpointCall) -> dict[str, str]:
    """Return the headers of a call."""
    permit = call.permit
    return {
        "Content-Type": call.content_type,
        PERMIT: permit.permit_id,
        REQUEST: permit.request_id,
        TEAM: call.team,
        FENCING_TOKEN: str(permit.fencing_token),
        INCARNATION: permit.incarnation,
        START_BY: f"{permit.start_by.total_seconds():.6f}",
        LEASE: f"{permit.lease.total_seconds():.6f}",
    }


def parse_call_headers(headers: Mapping[str, str]) -> CallHeaders:
    """Parse the headers of a call.

    Raises
    ------
    ValueError
        A header is missing or malformed; the message names it.
    """
    return CallHeaders(
        permit_id=_required_header(headers, PERMIT),
        request_id=_required_header(headers, REQUEST),
        team=_required_header(headers, TEAM),
        fencing_token=_whole_number(headers, FENCING_TOKEN),
        incarnation=_required_header(headers, INCARNATION),
        start_by=timedelta(seconds=_seconds(headers, START_BY)),
        lease=timedelta(seconds=_seconds(headers, LEASE)),
    )


def _required_header(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name)
    if not value:
        raise ValueError(f"the header {name} is missing")
    return value


def _seconds(headers: Mapping[str, str], name: str) -> float:
    value = _required_header(headers, name)
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"the header {name} is not a number: {value!r}")
    return number


def _whole_number(headers: Mapping[str, str], name: str) -> int:
    value = _required_header(headers, name)
    if not value.isdecimal():
        raise ValueError(f"the header {name} is not a whole number: {value!r}")
    return int(value)
