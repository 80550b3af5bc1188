"""The headers that travel with a call of an endpoint."""

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
    """What the headers of a call say.

    Attributes
    ----------
    start_by : timedelta
        The endpoint's own monotonic time after which it refuses to start.
    lease : timedelta
        How long it may run.
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
    """Return what the headers of a call say.

    Raises
    ------
    ValueError
        One is missing or malformed; the message names it.
    """
    return CallHeaders(
        permit_id=_text(headers, PERMIT),
        request_id=_text(headers, REQUEST),
        team=_text(headers, TEAM),
        fencing_token=_whole_number(headers, FENCING_TOKEN),
        incarnation=_text(headers, INCARNATION),
        start_by=timedelta(seconds=_seconds(headers, START_BY)),
        lease=timedelta(seconds=_seconds(headers, LEASE)),
    )


def _text(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name)
    if not value:
        raise ValueError(f"the header {name} is missing")
    return value


def _seconds(headers: Mapping[str, str], name: str) -> float:
    value = _text(headers, name)
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise ValueError(f"the header {name} is no number: {value!r}")
    return number


def _whole_number(headers: Mapping[str, str], name: str) -> int:
    value = _text(headers, name)
    if not value.isdecimal():
        raise ValueError(f"the header {name} is no whole number: {value!r}")
    return int(value)
