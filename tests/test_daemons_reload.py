"""Tests of the watcher of a settings file that changes while a process runs."""

import tempfile
import unittest
from pathlib import Path

from redwingslip.daemons import GatewaySettings
from redwingslip.daemons._reload import SettingsWatcher

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "gateway.ini"


class TestSettingsWatcher(unittest.TestCase):
    """Reactions to changed, unchanged and invalid files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "gateway.ini"
        self.path.write_text(EXAMPLE.read_text())
        self.applied = []
        self.reported = []
        self.watcher = SettingsWatcher(
            self.path, GatewaySettings, self.applied.append, self.reported.append
        )

    def test_an_unchanged_file_is_not_applied_again(self):
        self.watcher.check()
        self.assertEqual(self.applied, [])

    def test_new_seeds_are_applied(self):
        text = self.path.read_text()
        self.path.write_text(text.replace("127.0.0.1:8201", "127.0.0.9:8201"))
        self.watcher.check()
        (cfg,) = self.applied
        self.assertEqual(cfg.seed_ids, ("127.0.0.9:7101",))

    def test_an_invalid_file_leaves_the_settings_unchanged(self):
        self.path.write_text("[process]\n")
        self.watcher.check()
        self.assertEqual(self.applied, [])
        self.assertIn("id", self.reported[0])
