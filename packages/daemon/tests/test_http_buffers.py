"""Tests of the memory that buffered answers share."""

import unittest

from coltsfoothead.daemon.http import buffers, errors


class BufferPoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = buffers.BufferPool(100)

    def test_the_largest_answer_gives_way(self):
        """Guards against an answer without an end that displaces answers of other callers."""
        endless, small = self.pool.open(), self.pool.open()
        endless.append(b"x" * 70)
        small.append(b"y" * 40)
        self.assertEqual(self.pool.used_bytes, 40)
        with self.assertRaises(errors.UpstreamBrokeError):
            endless.append(b"x")
        self.assertEqual(small.take(), b"y" * 40)

    def test_a_discarded_answer_is_never_complete(self):
        """Guards against an empty body in place of an answer that ended after it was discarded."""
        complete, growing = self.pool.open(), self.pool.open()
        complete.append(b"x" * 60)
        growing.append(b"y" * 50)
        with self.assertRaises(errors.UpstreamBrokeError):
            complete.take()
        complete.close()
        self.assertEqual(growing.take(), b"y" * 50)

    def test_many_endless_answers_stay_within_the_limit(self):
        """Guards against a sum of answers that ends the process, though each has a bound."""
        opened = [self.pool.open() for _ in range(50)]
        failed = set()
        for _ in range(20):
            for each in opened:
                try:
                    each.append(b"x" * 7)
                except errors.UpstreamBrokeError:
                    failed.add(each)
                self.assertLessEqual(self.pool.used_bytes, 100)
        self.assertGreater(len(failed), 30)
        for each in opened:
            each.close()
        self.assertEqual(self.pool.used_bytes, 0)

    def test_an_answer_that_is_passed_on_counts_until_it_is_closed(self):
        """Guards against large answers to slow callers, which stay in memory while written."""
        taken = self.pool.open()
        taken.append(b"x" * 90)
        taken.take()
        waiting = self.pool.open()
        with self.assertRaises(errors.UpstreamBrokeError):
            waiting.append(b"y" * 20)
        taken.close()
        waiting.close()
        later = self.pool.open()
        later.append(b"y" * 100)
        self.assertEqual(later.take(), b"y" * 100)


if __name__ == "__main__":
    unittest.main()
