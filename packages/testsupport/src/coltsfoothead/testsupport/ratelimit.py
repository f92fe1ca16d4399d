"""Byte-rate limit that several transfers share."""

import asyncio
import time

__all__ = ["RateLimit"]


class RateLimit:
    """Grants bytes in the order of the requests, at no more than the given rate.

    There is no burst allowance: idle time earns no credit, so a transfer of N bytes never takes
    less than N / rate.
    """

    def __init__(self, bytes_per_second: float | None):
        self.bytes_per_second = bytes_per_second
        self.granted_bytes = 0
        self._free_at = 0.0

    async def acquire(self, size_bytes: int) -> None:
        """Waits until `size_bytes` can have been sent at the rate; a rate of None is unlimited."""
        self.granted_bytes += size_bytes
        if not self.bytes_per_second:
            return
        start = max(self._free_at, time.monotonic())
        self._free_at = start + size_bytes / self.bytes_per_second
        await asyncio.sleep(self._free_at - time.monotonic())
