"""Runs one open gRPC stream: reading, writing, heartbeats and the silence timeout."""

import asyncio

from coltsfoothead.coordination.transport import frames

__all__ = ["run"]

# Number of checks for silence, idleness and a due heartbeat in each heartbeat interval.
_CHECKS_PER_HEARTBEAT = 4


class _ActivityTimes:
    """Event loop times (seconds) of the last read, write and frame; a heartbeat has no frame."""

    def __init__(self):
        self.now = asyncio.get_running_loop().time
        self.last_read = self.now()
        self.last_write = self.last_read
        self.last_frame = self.last_read


async def run(
    multiplexer, sender, stream, end_of_stream, settings, recorder, idle_timeout_seconds=None
):
    """Sends and receives frames until the stream ends, fails, is silent or is idle.

    Parameters
    ----------
    multiplexer : calls.Multiplexer
        Source of the outgoing and receiver of the incoming frames.
    sender : str
        Member ID of the peer.
    stream : object
        gRPC stream with the coroutines ``read()`` and ``write(bytes)``.
    end_of_stream : object
        Value that ``read()`` returns at the end of the stream.
    settings : links.Settings
        Heartbeat interval and silence timeout.
    recorder : counters.CounterRecorder
        Counts batches and sent frames.
    idle_timeout_seconds : float, optional
        Ends the stream once no frame was sent or received for that long and no call runs.

    Returns
    -------
    bool
        Whether the stream was ended because it was idle.
    """
    times = _ActivityTimes()
    monitor = asyncio.create_task(_monitor(multiplexer, times, settings, idle_timeout_seconds))
    tasks = [
        asyncio.create_task(_read(multiplexer, sender, stream, end_of_stream, times, recorder)),
        asyncio.create_task(_write(multiplexer.outbox, stream, times, recorder)),
        monitor,
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return not monitor.cancelled() and monitor.exception() is None and monitor.result()


async def _read(multiplexer, sender, stream, end_of_stream, times, recorder):
    while True:
        data = await stream.read()
        if data is end_of_stream:
            return
        times.last_read = times.now()
        recorder.batches_in += 1
        for frame in frames.decode_batch(data):
            times.last_frame = times.last_read
            multiplexer.receive(sender, frame)


async def _write(outbox, stream, times, recorder):
    while True:
        batch = await outbox.next_batch()
        await stream.write(frames.encode(batch))
        times.last_write = times.now()
        recorder.batches_out += 1
        for frame in batch:
            times.last_frame = times.last_write
            recorder.record_sent(frame)


async def _monitor(multiplexer, times, settings, idle_timeout_seconds):
    """Returns False once the stream is silent and True once it is idle."""
    period = settings.heartbeat_seconds / _CHECKS_PER_HEARTBEAT
    next_check = times.now() + period
    while True:
        await asyncio.sleep(next_check - times.now())
        now = times.now()
        # After a pause of this process, the peer's bytes wait unread in the socket; the pause
        # doesn't count as silence of the peer.
        if now - next_check > settings.heartbeat_seconds:
            times.last_read += now - next_check
        if now - times.last_read > settings.silence_timeout_seconds:
            return False
        if (
            idle_timeout_seconds is not None
            and now - times.last_frame > idle_timeout_seconds
            and multiplexer.idle
        ):
            return True
        if now - times.last_write >= settings.heartbeat_seconds - period / 2:
            multiplexer.outbox.wake()
        next_check = now + period
