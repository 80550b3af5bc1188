"""Tests of the event log."""

import errno
import json
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from hypothesis import example, given
from hypothesis import strategies as st

from redwingslip.clock import ManualClock
from redwingslip.observe import Event, EventLog, EventName, merge_timeline
from redwingslip.settings import LogSettings, RequestLogging

LINK_UP_EVENT = Event(name=EventName.LINK_UP, peer="b")


class TestEventLog(unittest.TestCase):
    """Writing events to a log file."""

    def setUp(self):
        """Create a folder for the log."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "logs", "a.log")

    def open_log(self, **options) -> EventLog:
        """Return a log in the test's folder."""
        cfg = LogSettings(path=self.path, **options)
        log = EventLog(cfg, process_id="a", clock=ManualClock())
        self.addCleanup(log.close)
        return log

    def read(self) -> list[Event]:
        """Return the events in the file."""
        return [event.event for event in merge_timeline([self.path])]

    def test_event_is_a_json_line_with_process_run_and_number(self):
        """Empty fields are left out."""
        log = self.open_log()
        log.emit(LINK_UP_EVENT)
        log.emit(LINK_UP_EVENT)
        lines = [json.loads(line) for line in self.path.read_text().splitlines()]
        first, second = lines[1:]
        self.assertEqual(first["process"], "a")
        self.assertEqual(first["message_type"], "link.up")
        self.assertEqual(first["task_uuid"], second["task_uuid"])
        self.assertLess(first["task_level"], second["task_level"])
        self.assertNotIn("team", first)

    def test_requests_can_be_left_out_or_kept_to_problems(self):
        """The setting filters request events only."""
        answered = Event(name=EventName.REQUEST_ANSWERED, request_id="r", status=200)
        failed = Event(name=EventName.REQUEST_ANSWERED, request_id="r", status=504)
        cases = {
            RequestLogging.ALL: [answered, failed, LINK_UP_EVENT],
            RequestLogging.PROBLEMS: [failed, LINK_UP_EVENT],
            RequestLogging.OFF: [LINK_UP_EVENT],
        }
        for requests, expected in cases.items():
            with self.subTest(requests):
                self.path.unlink(missing_ok=True)
                log = self.open_log(requests=requests)
                for event in (answered, failed, LINK_UP_EVENT):
                    log.emit(event)
                self.assertEqual(self.read(), expected)

    def test_full_disk_drops_events_and_reports_them_later(self):
        """The process continues, and the log states how many events are missing."""
        log = self.open_log()
        full = OSError(errno.ENOSPC, "no space left")
        with mock.patch("redwingslip.observe._log.os.write", side_effect=full):
            log.emit(LINK_UP_EVENT)
            log.emit(LINK_UP_EVENT)
        self.assertEqual(log.n_dropped, 2)
        log.emit(LINK_UP_EVENT)
        self.assertEqual(
            [event.name for event in self.read()],
            [LINK_UP_EVENT.name, EventName.WARNING],
        )
        self.assertIn("2 events dropped", self.read()[-1].detail)

    @unittest.skipUnless(os.path.exists("/dev/full"), "the system has no full device")
    def test_device_without_space_raises_nothing(self):
        """A device without space also causes no error when it is opened or closed."""
        cfg = LogSettings(path=pathlib.Path("/dev/full"))
        log = EventLog(cfg, process_id="a", clock=ManualClock())
        log.emit(LINK_UP_EVENT)
        log.flush()
        log.close()
        self.assertEqual(log.n_dropped, 3)

    def test_line_after_a_torn_one_is_complete(self):
        """A short write damages only its own line."""
        log = self.open_log()
        real = os.write
        with mock.patch(
            "redwingslip.observe._log.os.write", lambda fd, data: real(fd, data[:20])
        ):
            log.emit(LINK_UP_EVENT)
        log.emit(LINK_UP_EVENT)
        self.assertEqual(self.read()[0], LINK_UP_EVENT)

    def test_restart_after_a_torn_line_starts_a_new_one(self):
        """An incomplete last line of an earlier run does not absorb the next event."""
        self.path.parent.mkdir()
        self.path.write_bytes(b'{"process": "a", "task')
        self.open_log().emit(LINK_UP_EVENT)
        self.assertEqual(self.read(), [LINK_UP_EVENT])

    def test_file_is_rotated_at_its_limit(self):
        """Two files of limited size are kept."""
        log = self.open_log(max_file_bytes=4096)
        for _ in range(100):
            log.emit(LINK_UP_EVENT)
        older = pathlib.Path(f"{self.path}.1")
        self.assertLessEqual(self.path.stat().st_size, 4096)
        self.assertLessEqual(older.stat().st_size, 4096)
        self.assertGreater(len(merge_timeline([self.path, older])), 20)

    @example("\ud800")
    @given(st.text(st.characters(codec=None), max_size=20))
    def test_any_text_in_an_event_can_be_logged(self, text):
        """A detail that is not valid Unicode raises no error; later events are kept."""
        log = self.open_log()
        log.emit(Event(name=EventName.WARNING, detail=text))
        log.emit(LINK_UP_EVENT)
        log.close()
        self.assertEqual(self.read()[-1].name, LINK_UP_EVENT.name)

    def test_long_details_are_truncated(self):
        """The size of an event is limited."""
        self.open_log().emit(Event(name=EventName.WARNING, detail="x" * 100_000))
        self.assertLess(self.path.stat().st_size, 2_000)

    def test_log_without_a_path_discards_events(self):
        """Without a path events are discarded and not counted as dropped."""
        log = EventLog(LogSettings(), process_id="a", clock=ManualClock())
        log.emit(LINK_UP_EVENT)
        log.flush()
        log.close()
        self.assertEqual(log.n_dropped, 0)


if __name__ == "__main__":
    unittest.main()
