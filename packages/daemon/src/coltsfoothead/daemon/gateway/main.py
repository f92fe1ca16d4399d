"""Runs one role of the gateway until it is told to stop."""

import asyncio
import gc
import os
import pathlib
import signal
from collections.abc import Callable
from typing import Protocol

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import control, entry, eventlog, ports, settings

__all__ = ["Adapter", "run"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 3
# Interval at which the settings file is checked for a change that no signal announced.
SETTINGS_CHECK_SECONDS = 1.0


class Adapter(Protocol):
    """A platform's ways of speaking."""

    callers: ports.CallerDialect
    control: ports.ControlDialect
    cloud: ports.CloudDialect


class Role(Protocol):
    """A role of the gateway."""

    async def start(self) -> None:
        """Starts everything."""

    def reload(self, configured: settings.Settings) -> None:
        """Takes changed settings."""

    async def stop(self) -> None:
        """Stops gracefully."""

    async def close(self) -> None:
        """Ends everything at once."""

    async def wait_failed(self) -> None:
        """Waits for a failure with which the role cannot go on, and raises it.

        Raises
        ------
        RoleFailedError
            If it may start anew.
        """


_ROLES: dict[str, Callable[[settings.Settings, Adapter], Role]] = {
    "entry": lambda configured, adapter: entry.Entry(configured, adapter.callers, adapter.control),
    "control": lambda configured, adapter: control.Control(
        configured, adapter.control, adapter.cloud
    ),
}


def run(path: str, adapter: Adapter) -> int:
    """Runs the role that the settings file names; returns the process's exit code."""
    eventlog.set_up()
    events = eventlog.EventLog("start")
    try:
        configured = settings.load(path)
    except errors.SettingsError as error:
        events.warn("settings_invalid", cause=str(error))
        return EXIT_BAD_SETTINGS
    # What is imported stays; collecting it again and again costs time.
    gc.collect()
    gc.freeze()
    return asyncio.run(_run(pathlib.Path(path), configured, adapter))


async def _run(path: pathlib.Path, configured: settings.Settings, adapter: Adapter) -> int:
    events = eventlog.EventLog(configured.process.id)
    loop = asyncio.get_running_loop()
    stopping, changed = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    waiting = asyncio.create_task(stopping.wait())
    while True:
        role = _ROLES[configured.process.role](configured, adapter)
        starting = asyncio.create_task(role.start())
        await asyncio.wait([starting, waiting], return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            # The disk has refused until now, so there is nothing to hand over.
            starting.cancel()
            return 0
        starting.result()
        watching = asyncio.create_task(_watch_settings(path, changed, role, events))
        failing = asyncio.create_task(role.wait_failed())
        await asyncio.wait([failing, waiting], return_when=asyncio.FIRST_COMPLETED)
        watching.cancel()
        if not failing.done():
            failing.cancel()
            await role.stop()
            return 0
        try:
            failing.result()
        except errors.RoleFailedError as error:
            events.warn("role_failed", cause=str(error))
            await role.close()
        except Exception as error:
            events.warn("failed", cause=repr(error))
            return EXIT_FAILED


async def _watch_settings(
    path: pathlib.Path, changed: asyncio.Event, role: Role, events: eventlog.EventLog
) -> None:
    """Reloads the settings on a signal, or when the file has changed without one."""
    known = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_SECONDS):
                await changed.wait()
        except TimeoutError:
            if _stamp(path) == known:
                continue
        changed.clear()
        known = _stamp(path)
        try:
            role.reload(settings.load(path))
        except errors.SettingsError as error:
            events.warn("settings_invalid", cause=str(error))


def _stamp(path: pathlib.Path) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check sees the new one.
        return None
    return status.st_mtime_ns, status.st_size
