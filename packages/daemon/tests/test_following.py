"""Tests of the interval between exchanges with the leader."""

import unittest

from coltsfoothead.daemon.gateway import leadersync


class ExchangeIntervalTest(unittest.TestCase):
    def test_the_interval_grows_with_the_number_of_entries(self):
        """Guards against entries that choose the same idle upstream, and an overloaded leader.

        With exchanges every 0.5 s and prompts of 0.2 s at six entries, a tenth of the requests that
        were sent to an apparently idle upstream began only after 0.85 s. One leader serves 86 to
        1,200 entries.
        """
        self.assertLessEqual(leadersync.interval_seconds(6), 0.2)
        rate = 86 / leadersync.interval_seconds(86)
        self.assertAlmostEqual(rate, leadersync.MAX_EXCHANGES_PER_SECOND)
        self.assertEqual(leadersync.interval_seconds(1_200), leadersync.MAX_INTERVAL_SECONDS)
        self.assertGreater(leadersync.interval_seconds(0), 0.0)


if __name__ == "__main__":
    unittest.main()
