"""Background work of a process that goes on after unexpected errors."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon.gateway import eventlog

__all__ = ["keep_running"]

# Pause before work that failed starts again, so that a lasting fault does not fill the processor.
RESTART_DELAY_SECONDS = 0.5


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], events: eventlog.EventLog
) -> None:
    """Runs endless work until cancelled, and starts it again after an unexpected error.

    Parameters
    ----------
    name : str
        Names the work in the log.
    work : callable
        Starts the work.
    events : EventLog

    Raises
    ------
    StoppedError
        If the control log has stopped, without which the work cannot go on.
    """
    while True:
        try:
            await work()
        except replication_errors.StoppedError:
            raise
        except Exception as error:
            trace = traceback.format_exc(limit=-4)
            events.warn("background_failed", work=name, cause=repr(error), trace=trace)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
