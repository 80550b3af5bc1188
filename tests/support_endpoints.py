"""Support for tests of endpoints: calls, and stand-ins that receive them."""

from datetime import timedelta

from redwingslip.clock import SystemClock
from redwingslip.endpoints import AnnouncementReply, EndpointCall, announcement_routes
from redwingslip.http import HttpLimits
from redwingslip.peers import Permit
from redwingslip.standins import (
    AnnouncerSettings,
    EndpointSettings,
    EndpointStandin,
    RunRecorder,
)
from tests.support_http import LONG

SECOND = timedelta(seconds=1)
CLOCK = SystemClock()


def make_call(address, *, body=b"x", timeout=LONG, **changes):
    """Return a call under a permit, some of whose fields `changes` replaces."""
    fields = {
        "permit_id": "p1",
        "request_id": "r1",
        "pool": "a",
        "epoch": 1,
        "endpoint_id": "e1",
        "incarnation": "i1",
        "address": address,
        "fencing_token": 5,
        "start_by": CLOCK.monotonic() + 10 * SECOND,
        "start_within": SECOND,
        "lease": 30 * SECOND,
        **changes,
    }
    return EndpointCall(
        permit=Permit(**fields),
        path="/run",
        team="smiths",
        content_type="text/plain",
        body=body,
        timeout=timeout,
    )


class FakeAnnouncementHandler:
    """Accepts every announcement, or raises `error` if a test has set it."""

    def __init__(self):
        self.reports = []
        self.error = None
        self.on_report = lambda report: None

    def announce(self, report):
        """Record a report, and call `on_report` with it."""
        if self.error is not None:
            raise self.error
        self.reports.append(report)
        self.on_report(report)
        return AnnouncementReply(fencing_token=7, announce_within=SECOND)

    def routes(self, token_hashes):
        """Return routes that pass announcements to this handler."""
        return announcement_routes(self, HttpLimits(), token_hashes=token_hashes)


def make_endpoint(endpoint_id="e1", *, entries=(), token="t", **changes):
    """Return a stand-in endpoint, and the recorder of its runs."""
    announcer = AnnouncerSettings(entries=entries, token=token)
    changes.setdefault("limits", HttpLimits())
    cfg = EndpointSettings(
        endpoint_id=endpoint_id, service="s", vm="v1", announcer=announcer, **changes
    )
    recorder = RunRecorder(keep=True)
    return EndpointStandin(cfg, CLOCK, recorder), recorder
