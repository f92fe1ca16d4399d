"""Tests of write-once registers."""

import unittest

from coltsfoothead.coordination import writeonce


class WriteOnceTest(unittest.TestCase):
    def setUp(self):
        self.state = writeonce.Registers()

    def write(self, key, value):
        """Applies a write and returns the value of the register after it."""
        return self.state.apply(1, writeonce.Write(key, value)).value

    def test_the_first_value_stays(self):
        """Guards against two usage reports of one window with different counts."""
        self.assertEqual(self.write("usage/7", b"412"), b"412")
        self.assertEqual(self.write("usage/7", b"413"), b"412")
        self.assertEqual(self.write("usage/8", b"413"), b"413")

    def test_a_snapshot_keeps_the_values(self):
        """Guards against a restarted process in which a written window can be overwritten."""
        self.write("usage/7", b"412")
        restored = writeonce.Registers()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.apply(2, writeonce.Write("usage/7", b"1")).value, b"412")

    def test_the_oldest_registers_are_dropped(self):
        """Guards against snapshots that grow without bound."""
        for number in range(writeonce.MAX_REGISTERS + 5):
            self.write(f"usage/{number}", b"1")
        self.assertEqual(self.write("usage/0", b"2"), b"2")
        self.assertEqual(self.write(f"usage/{writeonce.MAX_REGISTERS + 4}", b"2"), b"1")


if __name__ == "__main__":
    unittest.main()
