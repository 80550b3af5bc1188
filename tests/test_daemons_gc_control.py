"""Tests of when the garbage collector runs in a daemon.

The pattern is a leader that holds the jobs of a day while each peak makes tens of
thousands of objects, which are alive together and freed soon after.
"""

import asyncio
import gc
import unittest
import weakref

from redwingslip.daemons import GatewaySettings
from redwingslip.daemons._main import _run
from redwingslip.jobs import TaskRecord
from redwingslip.settings import parse_settings

SETTINGS = """
[process]
id = gateway-1
data_centre = dc-1
[peers]
listen = 127.0.0.1:0
[cluster]
secret_file = secret
seeds = 127.0.0.1:8201
[listen]
calls = 127.0.0.1:0
"""
FAST_SETTINGS = SETTINGS + "[gc]\nyoung_objects = 1000\nfull_interval = 20 ms\n"

N_HELD_TASKS = 15_000
N_PEAKS = 10
N_OBJECTS_PER_PEAK = 30_000


class Node:
    """An object that refers to itself, so that only the collector frees it."""

    def __init__(self):
        self.own = self


class StubApp:
    """An application that ends when its work is done.

    Parameters
    ----------
    cfg : GatewaySettings
        The settings.
    work : callable
        Returns the awaitable of the work.
    counts : list of int
        Collections by generation so far, counted by the test.
    """

    def __init__(self, cfg, work, counts):
        self.cfg = cfg
        self.work = work
        self.counts = counts

    async def start(self):
        pass

    async def wait_failed(self):
        self.counts[:] = [0] * len(self.counts)
        await self.work()
        self.counts_of_work = list(self.counts)

    async def stop(self):
        pass


class TestGcControl(unittest.TestCase):
    """How often the collector stops a process, and how much garbage there can be."""

    def play(self, settings, work):
        """Run work in a process; return its collections by generation."""
        cfg = parse_settings(settings, GatewaySettings)
        counts = [0, 0, 0]

        def count(phase, info):
            counts[info["generation"]] += phase == "stop"

        gc.callbacks.append(count)
        self.addCleanup(gc.callbacks.remove, count)
        app = StubApp(cfg, work, counts)
        asyncio.run(_run(app, reload=lambda: None))
        return app.counts_of_work

    def test_a_peak_beside_the_state_of_a_day_needs_few_collections(self):
        """Guards against pauses that the collector spent on state and live calls."""

        async def work():
            state = [TaskRecord() for _ in range(N_HELD_TASKS)]
            for _ in range(N_PEAKS):
                calls = [[number] for number in range(N_OBJECTS_PER_PEAK)]
                del calls
            self.assertEqual(len(state), N_HELD_TASKS)

        young, middle, old = self.play(SETTINGS, work)
        self.assertEqual(old, 0)
        self.assertLessEqual(young + middle, N_PEAKS)

    def test_garbage_of_a_burst_is_bounded(self):
        """Guards against thresholds under which a burst takes all of the memory."""
        nodes = weakref.WeakSet()
        max_nodes = 0

        async def work():
            nonlocal max_nodes
            for _ in range(200):
                for _ in range(1_000):
                    nodes.add(Node())
                max_nodes = max(max_nodes, len(nodes))

        self.play(SETTINGS, work)
        self.assertLess(max_nodes, 60_000)

    def test_old_garbage_is_freed_within_the_interval(self):
        """Guards against garbage that stays because too few objects are made."""
        freed = asyncio.Event()

        async def work():
            node = Node()
            weakref.finalize(node, freed.set)
            gc.collect()
            del node
            async with asyncio.timeout(5):
                await freed.wait()

        _, _, old = self.play(FAST_SETTINGS, work)
        self.assertGreaterEqual(old, 2)

    def test_the_collector_is_as_before_when_the_process_has_stopped(self):
        thresholds, n_frozen = gc.get_threshold(), gc.get_freeze_count()

        async def work():
            self.assertEqual(gc.get_threshold()[0], 1_000)
            self.assertGreater(gc.get_freeze_count(), 0)

        self.play(FAST_SETTINGS, work)
        self.assertEqual(gc.get_threshold(), thresholds)
        self.assertEqual(gc.get_freeze_count(), n_frozen)


if __name__ == "__main__":
    unittest.main()
