"""Keeps the directory of upstreams and exchanges its changes with the other daemons."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module

__all__ = ["DirectoryTask"]

CHANNEL = "directory"
BATCH_SECONDS = 0.25


class DirectoryTask:
    """Passes announcements on: renewals in batches, anything else at once.

    Parameters
    ----------
    links : Links
    members : callable
        Returns the member records by ID.
    clock : callable
    """

    def __init__(
        self,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory_module.Directory()
        self._links = links
        self._members = members
        self._clock = clock
        self._states: dict[str, str] = {}
        self._listeners: list[Callable[[directory_module.Upstream], None]] = []
        links.on(CHANNEL, self._receive)

    @property
    def directory(self) -> directory_module.Directory:
        """The directory."""
        return self._directory

    def on_change(self, listener: Callable[[directory_module.Upstream], None]) -> None:
        """Calls `listener` with a record when an upstream appears or changes its state."""
        self._listeners.append(listener)

    def renew(self, record: directory_module.Upstream) -> bool:
        """Takes an announcement; returns whether it is newer than what was known."""
        newer = self._directory.renew(record, self._clock())
        if newer and self._note(record):
            self._send()
        return newer

    async def run(self) -> None:
        """Passes renewals on and drops old records until cancelled."""
        while True:
            await asyncio.sleep(BATCH_SECONDS)
            self._send()
            for record in self._directory.expire(self._clock()):
                del self._states[record.upstream]
                logging.info("upstream %s is forgotten", record.upstream)

    def _receive(self, sender: str, payload: bytes) -> None:
        try:
            batch = directory_module.decode(payload)
        except msgspec.MsgspecError as error:
            logging.warning("member %s sent an unreadable directory batch: %s", sender, error)
            return
        for record in self._directory.receive(batch, self._clock()):
            self._note(record)

    def _note(self, record: directory_module.Upstream) -> bool:
        """Returns whether the state of an upstream changed, after telling the listeners."""
        state = f"{record.incarnation}/{record.state}"
        if self._states.get(record.upstream) == state:
            return False
        self._states[record.upstream] = state
        logging.info("upstream %s on vm %s is %s", record.upstream, record.vm, record.state)
        for listener in self._listeners:
            listener(record)
        return True

    def _send(self) -> None:
        batch = self._directory.take_unsent(self._clock())
        if batch is None:
            return
        payload = directory_module.encode(batch)
        for member in self._members().values():
            if member.state > members_module.State.SUSPECT:
                continue
            try:
                self._links.send(member.id, CHANNEL, payload)
            except coordination_errors.CoordinationError as error:
                logging.debug("directory batch to %s not sent: %s", member.id, error)
