"""Tests of complete load runs against a small server on loopback."""

import asyncio
import json
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path
from unittest import mock

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from redwingslip.http import (
    NOT_RUN,
    ClientLimits,
    HttpLimits,
    HttpServer,
    Problem,
    build_app,
    problem_response,
)
from redwingslip.load import (
    LoadReport,
    LoadSection,
    LoadSettings,
    format_report,
    plot_report,
    run_load,
)

from . import SECOND

N_AWAITED = 20
PATIENCE = timedelta(seconds=30)


class Entry:
    """A server that echoes request bodies, and refuses or fails some requests.

    Attributes
    ----------
    delay_s : float
        Time from the arrival of a request to its answer, in seconds.
    n_awaited : int
        Number of requests that must have arrived before any is answered.
    """

    def __init__(self) -> None:
        self.n_requests = 0
        self.n_awaited = 0
        self.all_arrived = asyncio.Event()
        self.bodies = set()
        self.keys = set()
        self.delay_s = 0.0

    async def post(self, req: Request) -> Response:
        """Refuse every fifth request, fail every seventh and answer the others."""
        body = (await req.body()).decode()
        self.n_requests += 1
        n_requests = self.n_requests
        self.bodies.add(body)
        if "idempotency-key" in req.headers:
            self.keys.add(req.headers["idempotency-key"])
        if self.n_requests >= self.n_awaited:
            self.all_arrived.set()
        await self.all_arrived.wait()
        await asyncio.sleep(self.delay_s)
        headers = {"Redwingslip-Request": f"r{n_requests}"}
        if n_requests % 5 == 0:
            problem = Problem(status=503, title="queue full", outcome=NOT_RUN)
            return problem_response(problem, headers=headers)
        if n_requests % 7 == 0:
            return Response(status_code=500)
        return JSONResponse({"echo": body}, headers=headers)


class TestRunLoad(unittest.IsolatedAsyncioTestCase):
    """A load from its experiment to its report."""

    async def asyncSetUp(self):
        """Start the server on a free port and write a key file."""
        self.entry = Entry()
        route = Route("/v1/queues/{queue}/requests", self.entry.post, methods=["POST"])
        self.server = HttpServer(build_app([route]), HttpLimits())
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, SECOND)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "key").write_text("secret\n")

    async def run_load(self, rate: float = 60.0, **options) -> LoadReport:
        """Run a load of one second against the server."""
        cfg = LoadSettings(
            entries={"e": f"127.0.0.1:{self.server.port}"},
            queues={"a": rate, "b": rate},
            customers={"s": 1.0, "t": 3.0},
            keys={"s": self.folder / "key", "t": self.folder / "key"},
            load=LoadSection(duration=SECOND, **options),
        )
        return await run_load(cfg)

    async def test_every_arrival_has_one_outcome(self):
        """Answered, refused and unknown requests add up to the arrivals."""
        report = await self.run_load(cancel_every=timedelta(0))
        total = report.total
        self.assertEqual(len(self.entry.bodies), total.n_arrivals)
        self.assertEqual(total.n_not_run, self.entry.n_requests // 5)
        self.assertEqual(total.refusals, {"queue full": total.n_not_run})
        n_failed = self.entry.n_requests // 7 - self.entry.n_requests // 35
        self.assertEqual(total.n_unknown, n_failed)
        n_ended = total.n_answered + total.n_not_run + total.n_unknown
        self.assertEqual(n_ended, total.n_arrivals)
        self.assertGreater(len(self.entry.keys), 0)
        self.assertEqual(json.loads(report.to_json())["seed"], 1)
        self.assertIn("queue full", format_report(report))

    async def test_arrivals_do_not_wait_for_answers(self):
        """Guards against requests that are not sent until earlier ones are answered.

        The server answers none before all have arrived, and late answers are not
        timely. The waits of the client are long, as a busy machine may be slow.
        """
        limits = ClientLimits(connect_timeout=PATIENCE)
        for name, value in (
            ("ClientLimits", lambda: limits),
            ("ANSWER_GRACE", PATIENCE),
        ):
            patch = mock.patch(f"redwingslip.load._caller.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.entry.delay_s = 0.3
        self.entry.n_awaited = N_AWAITED
        report = await self.run_load(
            rate=5.0,
            max_requests=N_AWAITED,
            deadline=timedelta(milliseconds=100),
            cancel_every=timedelta(0),
        )
        self.assertEqual(report.total.n_arrivals, N_AWAITED)
        self.assertEqual(self.entry.n_requests, N_AWAITED)
        self.assertEqual(report.total.refusals, {"queue full": N_AWAITED // 5})
        self.assertEqual(report.total.n_unknown, N_AWAITED // 7)
        n_answered = N_AWAITED - N_AWAITED // 5 - N_AWAITED // 7
        self.assertEqual(report.total.n_answered, n_answered)
        self.assertEqual(report.total.n_timely, 0)

    async def test_cancelled_requests_cross_no_answers(self):
        """After waves of cancellations every answer belongs to its own request."""
        self.entry.delay_s = 0.05
        report = await self.run_load(
            cancel_every=timedelta(milliseconds=100),
            cancelled=0.5,
            records=str(self.folder / "*.runs"),
        )
        self.assertGreater(report.total.n_cancelled, 0)
        self.assertGreater(report.total.n_answered, 0)
        self.assertEqual(report.verdict.n_crossed, 0)
        self.assertEqual(report.total.n_lost, 0)

    async def test_open_requests_are_bounded(self):
        """Arrivals beyond the limit of open requests are counted and not sent."""
        self.entry.delay_s = 0.3
        report = await self.run_load(max_open=2, cancel_every=timedelta(0))
        self.assertGreater(report.total.n_not_asked, 0)
        n_sent = report.total.n_arrivals - report.total.n_not_asked
        self.assertEqual(self.entry.n_requests, n_sent)

    async def test_report_is_plotted(self):
        """A report can be written as a picture."""
        report = await self.run_load(rate=5.0)
        path = self.folder / "load.svg"
        plot_report(report, path)
        self.assertIn("<svg", path.read_text())


if __name__ == "__main__":
    unittest.main()
