"""Tests of the metrics."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta

from redwingslip.observe import Metrics, new_metrics
from redwingslip.observe._instruments import MAX_ATTRIBUTE_VALUES
from redwingslip.settings import ExporterKind, MetricsSettings


def record_one_of_each(metrics: Metrics) -> None:
    """Use every instrument."""
    second = timedelta(seconds=1)
    metrics.record_request(queue="q", outcome="answered", duration=second)
    metrics.record_call(pool="p", outcome="completed", duration=second)
    metrics.record_permit_wait(pool="p", urgent=True, duration=second)
    metrics.record_commit(duration=second)
    metrics.record_in_force(duration=second)
    metrics.set_slots(pool="p", n_used=3, n_serving=8)
    metrics.add_move(pool="p")
    metrics.add_dropped_events(2)
    metrics.record_placement_round(duration=second)
    metrics.record_loop_lag(duration=second)
    metrics.record_gc_pause(generation=2, duration=second)


class TestNewMetrics(unittest.TestCase):
    """Metrics as the exporters write them."""

    def export(self, use) -> list[dict]:
        """Return the metrics that the file exporter writes."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "metrics.json")
            cfg = MetricsSettings(exporter=ExporterKind.JSON_FILE, path=path)
            metrics = new_metrics(cfg, process_id="entry-1")
            use(metrics)
            metrics.close()
            (line,) = path.read_text().splitlines()
        (resource,) = json.loads(line)["resource_metrics"]
        self.assertEqual(
            resource["resource"]["attributes"]["service.instance.id"], "entry-1"
        )
        return resource["scope_metrics"][0]["metrics"]

    def test_file_holds_every_metric_with_its_unit(self):
        """Names and units are those of the documentation."""
        units_by_name = {m["name"]: m["unit"] for m in self.export(record_one_of_each)}
        self.assertEqual(
            units_by_name,
            {
                "redwingslip.request.duration": "s",
                "redwingslip.call.duration": "s",
                "redwingslip.permit.wait.duration": "s",
                "redwingslip.log.commit.duration": "s",
                "redwingslip.placement.round.duration": "s",
                "redwingslip.event.loop.lag.duration": "s",
                "redwingslip.gc.pause.duration": "s",
                "redwingslip.config.in_force.duration": "s",
                "redwingslip.slot.usage": "{slot}",
                "redwingslip.slot.limit": "{slot}",
                "redwingslip.vm.moves": "{vm}",
                "redwingslip.event.dropped": "{event}",
            },
        )

    def test_attributes_take_a_bounded_number_of_values(self):
        """The number of series is limited, however many names are recorded."""

        def use(metrics: Metrics) -> None:
            for number in range(MAX_ATTRIBUTE_VALUES + 50):
                metrics.add_move(pool=f"p{number}")

        (moves,) = self.export(use)
        points = moves["data"]["data_points"]
        self.assertEqual(len(points), MAX_ATTRIBUTE_VALUES + 1)

    def test_no_exporter_discards_everything(self):
        """Without an exporter the same calls do nothing."""
        metrics = new_metrics(MetricsSettings(), process_id="a")
        record_one_of_each(metrics)
        metrics.close()


class TestImports(unittest.TestCase):
    """Modules that a replica must not import, to save memory."""

    def test_settings_and_observe_import_light(self):
        """The SDK, command line, HTTP and drawing libraries are not imported."""
        code = (
            "import sys, redwingslip.settings, redwingslip.observe;"
            "from redwingslip.settings import MetricsSettings;"
            "redwingslip.observe.new_metrics(MetricsSettings(), process_id='a');"
            "print(*sys.modules)"
        )
        output = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        heavy = {"opentelemetry", "typer", "rich", "starlette", "aiosonic", "uvicorn"}
        heavy |= {"matplotlib", "numpy"}
        self.assertEqual(heavy & set(output.stdout.split()), set())


if __name__ == "__main__":
    unittest.main()
