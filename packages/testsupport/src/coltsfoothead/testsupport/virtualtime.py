"""Event loop whose clock advances only while nothing happens.

Tests of timeouts on real sockets depend on the load of the machine if they wait in real time. On
this loop, a timer is due as soon as all sockets have been quiet for a moment, however long the
machine takes for the work in between.
"""

import asyncio
import selectors

__all__ = ["EventLoop"]

# Real time without input on any socket after which the clock advances to the next timer. Data on
# loopback is readable within microseconds, but a busy kernel may deliver it later.
QUIET_SECONDS = 0.02


class _Selector(selectors.DefaultSelector):
    """Selector that advances a loop's clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Returns the ready files, or none after advancing the clock by `timeout`."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(QUIET_SECONDS)
        if not ready:
            self.now += timeout
        return ready


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock; `asyncio.Runner` takes it as its loop factory.

    Threads that the loop waits for count as nothing happening.
    """

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now
