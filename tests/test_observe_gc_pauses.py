"""Tests of the measurement of the garbage collector's pauses."""

import asyncio
import gc
import unittest
from datetime import timedelta

from redwingslip.observe import EventName, GcPauses
from tests.support_virtual_time import LoopClock, run_virtually

MS = timedelta(milliseconds=1)


class Recorder:
    """Receives events and metrics."""

    def __init__(self):
        self.events = []
        self.pauses = []

    def emit(self, event):
        self.events.append(event)

    def record_gc_pause(self, *, generation, duration):
        self.pauses.append((generation, duration))


class TestGcPauses(unittest.TestCase):
    """Which pauses are recorded, and when they are logged."""

    def setUp(self):
        self.recorder = Recorder()
        self.addCleanup(gc.enable)
        gc.disable()

    def play(self, pauses_s):
        """Run one collection of a generation after the other, each 0.1 s.

        Parameters
        ----------
        pauses_s : list of tuple of int, float
            The generation and the duration of each pause.
        """

        async def work(loop):
            pauses = GcPauses(
                clock=LoopClock(loop), events=self.recorder, metrics=self.recorder
            )
            pauses.start()
            for generation, pause_s in pauses_s:
                # The callback of the test runs between those of the measurement, as
                # the collector does.
                def pause(phase, info, pause_s=pause_s):
                    if phase == "start":
                        loop.advance(pause_s)

                gc.callbacks.append(pause)
                gc.collect(generation)
                gc.callbacks.remove(pause)
                await asyncio.sleep(0.1)
            await pauses.stop()

        callbacks = list(gc.callbacks)
        run_virtually(work)
        self.assertEqual(gc.callbacks, callbacks)

    def test_each_pause_is_recorded_with_its_generation(self):
        self.play([(0, 0.001), (2, 0.25), (1, 0.004)])
        durations = [
            (generation, round(duration / MS))
            for generation, duration in self.recorder.pauses
        ]
        self.assertEqual(sorted(durations), [(0, 1), (1, 4), (2, 250)])

    def test_pauses_of_a_notable_share_are_logged_once_a_second(self):
        self.play([(0, 0.001), (2, 0.15)] * 10)
        self.assertIn(len(self.recorder.events), (1, 2, 3))
        event = self.recorder.events[0]
        self.assertEqual(event.name, EventName.WARNING)
        self.assertRegex(
            event.detail,
            r"^the garbage collector paused the process for \d+ of \d+ ms, at most "
            r"150 ms at once; collections by generation: \d+/0/\d+$",
        )

    def test_short_pauses_are_not_logged(self):
        self.play([(0, 0.001), (1, 0.002), (2, 0.015)] * 10)
        self.assertEqual(self.recorder.events, [])
        self.assertEqual(len(self.recorder.pauses), 30)

    def test_a_measurement_that_was_not_started_stops(self):
        async def work(loop):
            pauses = GcPauses(
                clock=LoopClock(loop), events=self.recorder, metrics=self.recorder
            )
            await pauses.stop()

        run_virtually(work)
        self.assertEqual(self.recorder.pauses, [])


if __name__ == "__main__":
    unittest.main()
