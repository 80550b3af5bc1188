"""Tests of predicted rises; each test names the order of rises that it covers."""

import unittest

from redwingslip.placement import CycleModel, ForecastSettings


class TestCycleModel(unittest.TestCase):
    """Which pool's rise follows which."""

    def model(self, **beginnings):
        model = CycleModel(ForecastSettings(enabled=True))
        for pool, times_ms in beginnings.items():
            for at_ms in times_ms:
                model.record_beginning(pool, at_ms)
        return model

    def test_a_rise_that_followed_another_twice_is_predicted(self):
        model = self.model(a=(10_000, 30_000, 55_000), b=(14_400, 34_600))
        prediction = model.predict("b", 56_000)
        self.assertEqual((prediction.source, prediction.at_ms), ("a", 59_500))
        self.assertEqual((prediction.error_ms, prediction.confidence), (100, 1))
        self.assertIsNone(model.has_come(prediction, 60_200))
        self.assertFalse(model.has_come(prediction, 60_201))
        self.assertIsNone(model.predict("b", 60_201), "given up")
        model.record_beginning("b", 60_000)
        self.assertTrue(model.has_come(prediction, 60_201))
        self.assertIsNone(model.predict("b", 60_100), "the rise has come")

    def test_an_interval_of_a_pool_alone_is_a_pattern(self):
        prediction = self.model(a=(10_000, 19_000, 28_200)).predict("a", 30_000)
        self.assertEqual(prediction.source, "a")
        self.assertAlmostEqual(prediction.at_ms, 37_300, delta=100)

    def test_a_pattern_that_fails_often_predicts_nothing(self):
        """Guards against machines moved again and again for rises that do not come."""
        times = (10_000, 30_000, 52_000, 71_000, 93_000)
        model = self.model(a=times, b=(14_000, 34_000))
        # After 52 s the pattern had been right twice, after 93 s twice of four times.
        self.assertIsNone(model.predict("b", 94_000))
        model = self.model(a=times[:3], b=(14_000, 34_000))
        self.assertIsNotNone(model.predict("b", 53_000))

    def test_the_pattern_that_is_right_more_often_predicts(self):
        model = self.model(
            a=(10_000, 40_000, 50_000, 75_000),
            c=(12_000, 20_000, 42_000, 77_000),
            b=(14_000, 44_000, 54_000),
        )
        self.assertEqual(model.predict("b", 77_500).source, "a")

    def test_no_pattern_predicts_nothing(self):
        """Guards against machines moved after a coincidence, or too late to help."""
        for a, b, now_ms in (
            ((10_000, 30_000, 60_000), (14_000, 38_000), 61_000),  # Lags that differ.
            ((10_000, 30_000, 180_000), (14_000, 34_000), 181_000),  # Long ago.
            ((10_000, 31_000, 70_000), (10_300, 31_300), 70_100),  # At the same time.
        ):
            self.assertIsNone(self.model(a=a, b=b).predict("b", now_ms))


if __name__ == "__main__":
    unittest.main()
