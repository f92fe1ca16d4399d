"""Runs one role of the gateway until a signal stops it."""

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
# Interval at which the settings file is checked for changes, in case no SIGHUP follows a change.
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0


class Adapter(Protocol):
    """Adapter to a platform: translates between its wire formats and the gateway's types."""

    callers: ports.CallerDialect
    control: ports.ControlDialect
    cloud: ports.CloudDialect


class Role(Protocol):
    """A role of the gateway."""

    async def start(self) -> None:
        """Starts the role; returns once it serves."""

    def reload(self, configured: settings.Settings) -> None:
        """Applies changed settings."""

    async def stop(self) -> None:
        """Stops gracefully."""

    async def close(self) -> None:
        """Stops at once, without finishing requests or transferring leadership."""

    async def wait_failed(self) -> None:
        """Waits for a failure that the role cannot recover from, and raises it.

        Raises
        ------
        RoleFailedError
            If the role can be started anew within this process.
        """


_ROLES: dict[str, Callable[[settings.Settings, Adapter], Role]] = {
    "entry": lambda configured, adapter: entry.Entry(configured, adapter.callers, adapter.control),
    "control": lambda configured, adapter: control.Control(
        configured, adapter.control, adapter.cloud
    ),
}


def run(path: str, adapter: Adapter) -> int:
    """Runs the role that the settings file selects; returns the process's exit code."""
    eventlog.set_up_logging()
    events = eventlog.EventLog("start")
    try:
        configured = settings.load(path)
    except errors.SettingsError as error:
        events.warn("settings_invalid", cause=str(error))
        return EXIT_BAD_SETTINGS
    # Imported modules stay in memory, so that scanning their objects in each collection is wasted.
    gc.collect()
    gc.freeze()
    return asyncio.run(_run(pathlib.Path(path), configured, adapter))


async def _run(path: pathlib.Path, configured: settings.Settings, adapter: Adapter) -> int:
    events = eventlog.EventLog(configured.process.id)
    loop = asyncio.get_running_loop()
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    stop_task = asyncio.create_task(stop_requested.wait())
    while True:
        role = _ROLES[configured.process.role](configured, adapter)
        start_task = asyncio.create_task(role.start())
        await asyncio.wait([start_task, stop_task], return_when=asyncio.FIRST_COMPLETED)
        if not start_task.done():
            # The disk has failed until now, so the role has no requests and no leadership.
            start_task.cancel()
            return 0
        start_task.result()
        watch_task = asyncio.create_task(_watch_settings(path, reload_requested, role, events))
        failure_task = asyncio.create_task(role.wait_failed())
        await asyncio.wait([failure_task, stop_task], return_when=asyncio.FIRST_COMPLETED)
        watch_task.cancel()
        if not failure_task.done():
            failure_task.cancel()
            await role.stop()
            return 0
        try:
            failure_task.result()
        except errors.RoleFailedError as error:
            events.warn("role_failed", cause=str(error))
            await role.close()
        except Exception as error:
            events.warn("failed", cause=repr(error))
            return EXIT_FAILED


async def _watch_settings(
    path: pathlib.Path, reload_requested: asyncio.Event, role: Role, events: eventlog.EventLog
) -> None:
    """Reloads the settings on SIGHUP, or when the file has changed without a signal."""
    last_signature = _file_signature(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_SECONDS):
                await reload_requested.wait()
        except TimeoutError:
            if _file_signature(path) == last_signature:
                continue
        reload_requested.clear()
        last_signature = _file_signature(path)
        try:
            role.reload(settings.load(path))
        except errors.SettingsError as error:
            events.warn("settings_invalid", cause=str(error))


def _file_signature(path: pathlib.Path) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check sees the new file.
        return None
    return status.st_mtime_ns, status.st_size
