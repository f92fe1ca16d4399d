"""The routing document at an entry, with the lease under which it may be acted on."""

import asyncio
import contextlib
import zlib

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import clock, eventlog, ports
from coltsfoothead.kernel.traffic import check, routetable

__all__ = ["DocumentCopy", "pack", "unpack"]


def pack(content: bytes) -> bytes:
    """Compresses a document for the log; the same content gives the same bytes."""
    return zlib.compress(content, 6)


def unpack(packed: bytes) -> bytes:
    """Returns what was packed."""
    return zlib.decompress(packed)


# Time from the start of this process, or from the end of its lease, in which a document probably
# comes: an election takes up to 0.9 s and the first exchange 0.1 s.
FORMING_SECONDS = 1.3


class DocumentCopy:
    """The newest document that this process received.

    Parameters
    ----------
    dialect : ControlDialect
        Reads documents.
    events : EventLog
    """

    def __init__(self, dialect: ports.ControlDialect, events: eventlog.EventLog) -> None:
        self._dialect = dialect
        self._events = events
        self._client = lease.LeaseClient()
        self._table: routetable.RouteTable | None = None
        self._valid = False
        self._valid_until = clock.steady()
        self._came = asyncio.Event()

    @property
    def table(self) -> routetable.RouteTable | None:
        """The routes in force, or None while no document may be acted on."""
        return self._table if self.valid() else None

    async def table_soon(self) -> routetable.RouteTable | None:
        """Returns the routes in force, or None.

        Waits for them while a leader is probably being elected, since a caller that is sent away
        comes back later than that.
        """
        if not self.valid():
            self._came.clear()
            left = self._valid_until + FORMING_SECONDS - clock.steady()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, left)):
                    await self._came.wait()
        return self.table

    @property
    def version(self) -> int:
        """Version of the document; 0 before the first one."""
        return self._client.document.version

    def valid(self) -> bool:
        """Whether the lease on the document is running."""
        return self._client.valid(clock.steady())

    def remaining(self) -> float:
        """Returns the seconds that are left of the lease."""
        return self._client.remaining(clock.steady())

    def poll(self, asked_at: float) -> lease.PollRequest:
        """Returns the question for the leader, asked at a steady time."""
        return self._client.poll(asked_at)

    def receive(self, answer: lease.PollAnswer) -> bool:
        """Takes the leader's answer; returns whether the document changed."""
        changed = self._client.receive(answer)
        if changed:
            self._load()
        self._note_validity()
        if self.valid():
            self._valid_until = clock.steady() + self.remaining()
            self._came.set()
        return changed

    def _load(self) -> None:
        document = self._client.document
        try:
            routing = self._dialect.decode_document(unpack(document.content))
        except (check.InvalidDocumentError, zlib.error) as error:
            # Serving on the document before would revert an accepted change.
            self._table = None
            self._events.warn("document_unreadable", version=document.version, error=str(error))
            return
        self._table = routetable.RouteTable(routing)
        self._events.write(
            "document_in_force", version=document.version, routes=len(routing.routes)
        )

    def _note_validity(self) -> None:
        valid = self.valid()
        if valid != self._valid:
            self._valid = valid
            self._events.write("document_lease", valid=valid, version=self.version)
