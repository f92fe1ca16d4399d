"""Bounded queue of outgoing frames."""

import asyncio
import collections

__all__ = ["Outbox"]


class Outbox:
    """Keeps frames until they are written; a full outbox drops its oldest frames.

    Parameters
    ----------
    settings : links.Settings
        Bounds of the queue and of one batch.
    tally : counters.Tally
        Counts what is dropped and sent.
    """

    def __init__(self, settings, tally):
        self._settings = settings
        self._tally = tally
        self._frames = collections.deque()
        self._bytes = 0
        self._wake = asyncio.Event()

    def __len__(self):
        return len(self._frames)

    def put(self, frame):
        """Appends a frame and never waits."""
        self._frames.append(frame)
        self._bytes += len(frame.payload)
        while (
            len(self._frames) > self._settings.queue_frames
            or self._bytes > self._settings.queue_bytes
        ):
            oldest = self._frames.popleft()
            self._bytes -= len(oldest.payload)
            self._tally.dropped(oldest)
        self._wake.set()

    def wake(self):
        """Makes `take` return, with an empty batch if nothing is queued."""
        self._wake.set()

    async def filled(self):
        """Waits until a frame is queued."""
        while not self._frames:
            self._wake.clear()
            await self._wake.wait()

    async def take(self):
        """Waits for frames or for `wake`, and removes one batch."""
        if not self._frames:
            await self._wake.wait()
        self._wake.clear()
        batch = []
        size = 0
        while self._frames and len(batch) < self._settings.batch_frames:
            size += len(self._frames[0].payload)
            if batch and size > self._settings.batch_bytes:
                break
            frame = self._frames.popleft()
            self._bytes -= len(frame.payload)
            batch.append(frame)
        return batch

    def correlations(self):
        """Returns the correlations of the queued frames."""
        return {frame.correlation for frame in self._frames}
