"""Tests of the HTTP server from which collectors fetch metrics."""

import unittest
from datetime import timedelta

from redwingslip.daemons._metrics_server import MetricsServer
from redwingslip.http import ClientLimits, ClientPool, ClientRequest
from redwingslip.observe import new_metrics
from redwingslip.settings import (
    EntrySettings,
    ExporterKind,
    InvalidSettingsError,
    MetricsSettings,
    parse_settings,
)


class TestMetricsServer(unittest.IsolatedAsyncioTestCase):
    """Metrics in the Prometheus text format, and the settings of the exporter."""

    async def test_counters_and_histograms_are_served(self):
        cfg = MetricsSettings(exporter=ExporterKind.PROMETHEUS, listen="127.0.0.1:0")
        metrics = new_metrics(cfg, process_id="test")
        self.addCleanup(metrics.close)
        metrics.add_run_start(outcome="accepted")
        metrics.record_relayed_call(
            method="POST", status=503, duration=timedelta(milliseconds=7)
        )
        server = MetricsServer(cfg)
        await server.start()
        client = ClientPool(ClientLimits())
        req = ClientRequest(
            address=server.address,
            method="GET",
            path="/metrics",
            headers={},
            timeout=timedelta(seconds=5),
        )
        answer = await client.exchange(req)
        await client.close()
        await server.stop()
        text = answer.body.decode()
        self.assertIn("redwingslip_run_starts_total", text)
        self.assertIn("redwingslip_relayed_call_duration_seconds_bucket", text)
        self.assertIn('http_response_status_code="503"', text)

    def test_the_exporter_needs_an_address(self):
        with self.assertRaises(InvalidSettingsError) as caught:
            parse_settings("[metrics]\nexporter = prometheus\n", EntrySettings)
        problems = [str(exc) for exc in caught.exception.exceptions]
        self.assertTrue(any("listen" in text for text in problems), problems)
