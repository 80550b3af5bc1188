"""Tests of waves while the VMs of a data centre are filled gradually."""

from redwingslip.jobs import Amounts, FinishEvacuation, StartEvacuation, StartWave
from tests.test_scheduling_data_centres import LONG, RAMP, DataCentreTestCase


class TestWaveWithRamp(DataCentreTestCase):
    """A wave over the machine of e1, whose two tasks of two cores fit only on w1."""

    async def test_tasks_stay_until_another_vm_takes_them(self):
        """Guards against tasks that wait for the end of a ramp without a place."""
        self.build("e1", "w1", n_tasks=2, need=Amounts(2000, 100), **LONG)
        self.run_tasks("e1", 0, 1)
        self.apply(StartEvacuation, data_centre="west")
        self.apply(FinishEvacuation, data_centre="west")
        wave = {"number": 1, "machines": ("m-e1",), "max_at_once": 1}
        self.apply(StartWave, duration_ms=1, **wave)
        await self.move_tasks()
        self.assertTrue(self.machines.is_claimed("m-e1"))
        self.assertEqual(self.stopping(), 0)
        self.advance(RAMP)
        await self.move_tasks()
        self.assertEqual(self.stopping(), 1)
