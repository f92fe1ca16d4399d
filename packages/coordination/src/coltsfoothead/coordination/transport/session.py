"""One open stream: reading, writing, heartbeats and the silence limit."""

import asyncio

from coltsfoothead.coordination.transport import frames

__all__ = ["run"]

# The silence limit is checked this many times per heartbeat.
_CHECKS_PER_HEARTBEAT = 4


class _Clock:
    """Times of the last read and write, and of the last frame."""

    def __init__(self):
        self.now = asyncio.get_running_loop().time
        self.heard = self.now()
        self.wrote = self.heard
        self.used = self.heard


async def run(exchange, sender, stream, end, settings, tally, idle_seconds=None):
    """Exchanges frames until the stream ends, fails, is silent or is idle.

    Parameters
    ----------
    exchange : calls.Exchange
        Handles the frames.
    sender : str
        Member ID of the peer.
    stream : object
        Has the coroutines ``read()`` and ``write(bytes)``.
    end : object
        What ``read()`` returns at the end of the stream.
    settings : links.Settings
        Heartbeat and silence limit.
    tally : counters.Tally
        Counts batches and frames.
    idle_seconds : float, optional
        Ends the stream once no frame went either way for that long and no call runs.

    Returns
    -------
    bool
        Whether the stream was ended because it was idle.
    """
    clock = _Clock()
    watch = asyncio.create_task(_watch(exchange, clock, settings, idle_seconds))
    tasks = [
        asyncio.create_task(_read(exchange, sender, stream, end, clock, tally)),
        asyncio.create_task(_write(exchange.outbox, stream, clock, tally)),
        watch,
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return not watch.cancelled() and watch.exception() is None and watch.result()


async def _read(exchange, sender, stream, end, clock, tally):
    while True:
        data = await stream.read()
        if data is end:
            return
        clock.heard = clock.now()
        tally.batches_in += 1
        for frame in frames.decode_batch(data):
            clock.used = clock.heard
            exchange.receive(sender, frame)


async def _write(outbox, stream, clock, tally):
    while True:
        batch = await outbox.take()
        await stream.write(frames.encode(batch))
        clock.wrote = clock.now()
        tally.batches_out += 1
        for frame in batch:
            clock.used = clock.wrote
            tally.sent(frame)


async def _watch(exchange, clock, settings, idle_seconds):
    """Returns False once the stream is silent and True once it is idle."""
    period = settings.heartbeat_seconds / _CHECKS_PER_HEARTBEAT
    planned = clock.now() + period
    while True:
        await asyncio.sleep(planned - clock.now())
        now = clock.now()
        # After a pause of this process the peer's bytes wait unread in the socket; the time of
        # the pause is not silence of the peer.
        if now - planned > settings.heartbeat_seconds:
            clock.heard += now - planned
        if now - clock.heard > settings.silence_seconds:
            return False
        if idle_seconds is not None and now - clock.used > idle_seconds and exchange.idle:
            return True
        if now - clock.wrote >= settings.heartbeat_seconds - period / 2:
            exchange.outbox.wake()
        planned = now + period
