"""Bounded queue of outgoing frames."""

import asyncio
import collections

__all__ = ["Outbox"]


class Outbox:
    """Queue of frames to one peer; when it is full, the oldest frames are dropped.

    Parameters
    ----------
    settings : links.Settings
        Limits of the queue and of one batch.
    recorder : counters.CounterRecorder
        Counts dropped frames.
    """

    def __init__(self, settings, recorder):
        self._settings = settings
        self._recorder = recorder
        self._frames = collections.deque()
        self._bytes = 0
        self._wake_event = asyncio.Event()

    def __len__(self):
        return len(self._frames)

    def put(self, frame):
        """Appends a frame and never waits."""
        self._frames.append(frame)
        self._bytes += len(frame.payload)
        while (
            len(self._frames) > self._settings.max_queued_frames
            or self._bytes > self._settings.max_queued_bytes
        ):
            oldest = self._frames.popleft()
            self._bytes -= len(oldest.payload)
            self._recorder.record_dropped(oldest)
        self._wake_event.set()

    def wake(self):
        """Makes `next_batch` return, with an empty batch if nothing is queued."""
        self._wake_event.set()

    async def wait_until_nonempty(self):
        """Waits until a frame is queued."""
        while not self._frames:
            self._wake_event.clear()
            await self._wake_event.wait()

    async def next_batch(self):
        """Waits for frames or for `wake`, then removes and returns one batch."""
        if not self._frames:
            await self._wake_event.wait()
        self._wake_event.clear()
        batch = []
        size = 0
        while self._frames and len(batch) < self._settings.max_batch_frames:
            size += len(self._frames[0].payload)
            if batch and size > self._settings.max_batch_bytes:
                break
            frame = self._frames.popleft()
            self._bytes -= len(frame.payload)
            batch.append(frame)
        return batch

    def correlation_ids(self):
        """Returns the correlation IDs of the queued frames."""
        return {frame.correlation_id for frame in self._frames}
