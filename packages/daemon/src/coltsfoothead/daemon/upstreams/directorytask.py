"""Maintains the directory of upstreams and exchanges its changes with the other daemons."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.coordination.transport import links as links_module

__all__ = ["DirectoryTask"]

CHANNEL = "directory"
# Interval of the checks whether a batch of renewals is due.
POLL_INTERVAL_SECONDS = 0.05


class DirectoryTask:
    """Sends announcements to the other daemons: renewals in batches, departures at once.

    Parameters
    ----------
    own_id : str
        ID of this daemon.
    incarnation : int
        Incarnation of this daemon.
    links : Links
    members : callable
        Returns the member records by ID.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        clock: Callable[[], float],
    ) -> None:
        self._own_id = own_id
        self._links = links
        self._members = members
        self._clock = clock
        self._directory = directory_module.Directory(incarnation, clock())
        self._last_states: dict[str, str] = {}
        self._listeners: list[Callable[[upstreams.Upstream], None]] = []
        links.on(CHANNEL, self._receive)

    @property
    def directory(self) -> directory_module.Directory:
        """Directory of all known upstreams."""
        return self._directory

    def on_change(self, listener: Callable[[upstreams.Upstream], None]) -> None:
        """Registers a listener for the records of upstreams that are new or changed their state."""
        self._listeners.append(listener)

    def renew(self, record: upstreams.Upstream) -> bool:
        """Adds an announced record; returns whether it is newer than the known one."""
        newer = self._directory.renew(record, self._clock())
        if newer:
            self._notify_listeners(record)
            self._send()
        return newer

    async def run(self) -> None:
        """Sends renewals to the other daemons until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            self._directory.set_peers(self._peers())
            self._send()
            for upstream in self._last_states.keys() - self._directory.records.keys():
                del self._last_states[upstream]
                logging.info("upstream %s was removed from the directory", upstream)

    def _peers(self) -> list[str]:
        return [
            member.id
            for member in self._members().values()
            if member.state <= members_module.State.SUSPECT and member.id != self._own_id
        ]

    def _receive(self, sender: str, payload: bytes) -> None:
        try:
            batch = upstreams.decode(payload)
        except msgspec.MsgspecError as error:
            logging.warning("member %s sent an unreadable directory batch: %s", sender, error)
            return
        for record in self._directory.receive(sender, batch, self._clock()):
            self._notify_listeners(record)

    def _notify_listeners(self, record: upstreams.Upstream) -> None:
        state = f"{record.incarnation}/{record.state}"
        if self._last_states.get(record.upstream) == state:
            return
        self._last_states[record.upstream] = state
        logging.info("upstream %s on vm %s is %s", record.upstream, record.vm, record.state)
        for listener in self._listeners:
            listener(record)

    def _send(self) -> None:
        now = self._clock()
        if now < self._directory.wake_at:
            return
        for peer, batch in self._directory.outgoing(now):
            try:
                self._links.send(peer, CHANNEL, upstreams.encode(batch))
            except coordination_errors.CoordinationError as error:
                logging.debug("directory batch to %s not sent: %s", peer, error)
