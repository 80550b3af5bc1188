"""Tests of the components that all daemons share."""

import asyncio
import gc
import json
import tempfile
import unittest
from pathlib import Path

from redwingslip.daemons import GatewaySettings
from redwingslip.daemons._process import ProcessCore
from redwingslip.observe import NullSink
from redwingslip.settings import parse_settings

SETTINGS = """
[process]
id = gateway-1
data_centre = dc-1
[peers]
listen = 127.0.0.1:0
[cluster]
secret_file = {folder}/secret
seeds = 127.0.0.1:8201
[listen]
calls = 127.0.0.1:0
[metrics]
exporter = json-file
path = {folder}/metrics.json
"""


async def collect_in_process(cfg):
    """Run a full collection between the start and the stop of a process."""
    core = ProcessCore(
        cfg, clock=None, events=NullSink(), on_message=lambda sender, msg: None
    )
    await core.start()
    gc.collect()
    await core.stop()


class TestGcPausesOfProcess(unittest.TestCase):
    """The pauses of the garbage collector, from the start of a process to its end."""

    def test_pauses_are_exported_until_the_process_stops(self):
        callbacks = list(gc.callbacks)
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "secret").write_text("secret")
            cfg = parse_settings(SETTINGS.format(folder=folder), GatewaySettings)
            asyncio.run(collect_in_process(cfg))
            lines = Path(folder, "metrics.json").read_text().splitlines()
        self.assertEqual(gc.callbacks, callbacks)
        (scope,) = json.loads(lines[-1])["resource_metrics"][0]["scope_metrics"]
        (pauses,) = [
            m for m in scope["metrics"] if m["name"] == "redwingslip.gc.pause.duration"
        ]
        generations = {
            point["attributes"]["cpython.gc.generation"]
            for point in pauses["data"]["data_points"]
        }
        self.assertIn(2, generations)


if __name__ == "__main__":
    unittest.main()
