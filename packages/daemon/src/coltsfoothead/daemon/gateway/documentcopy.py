"""A process's copy of the routing document, with the lease that permits its use."""

import asyncio
import contextlib
import zlib

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import clock, eventlog, ports
from coltsfoothead.kernel.traffic import check, routetable

__all__ = ["DocumentCopy", "compress", "decompress"]


def compress(content: bytes) -> bytes:
    """Compresses a document for the replicated log; equal documents give equal bytes."""
    return zlib.compress(content, 6)


def decompress(compressed: bytes) -> bytes:
    """Returns the content of a compressed document."""
    return zlib.decompress(compressed)


# Time from the start of this process, or from the end of its lease, within which a document
# probably arrives: an election takes up to 0.9 s and the first exchange 0.1 s.
ELECTION_WAIT_SECONDS = 1.3


class DocumentCopy:
    """The newest routing document that this process received.

    Parameters
    ----------
    dialect : ControlDialect
        Decodes documents.
    events : EventLog
    """

    def __init__(self, dialect: ports.ControlDialect, events: eventlog.EventLog) -> None:
        self._dialect = dialect
        self._events = events
        self._lease_client = lease.LeaseClient()
        self._table: routetable.RouteTable | None = None
        self._valid = False
        self._valid_until = clock.steady()
        self._received = asyncio.Event()

    @property
    def table(self) -> routetable.RouteTable | None:
        """The route table in force, or None while there is no valid lease on a document."""
        return self._table if self.valid() else None

    async def wait_for_table(self) -> routetable.RouteTable | None:
        """Returns the route table in force, or None.

        Waits for it while a leader is probably being elected, since a caller that is refused
        retries only after a longer delay.
        """
        if not self.valid():
            self._received.clear()
            wait_seconds = self._valid_until + ELECTION_WAIT_SECONDS - clock.steady()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wait_seconds)):
                    await self._received.wait()
        return self.table

    @property
    def version(self) -> int:
        """Version of the document; 0 before the first one."""
        return self._lease_client.document.version

    def valid(self) -> bool:
        """Returns whether the lease on the document is valid."""
        return self._lease_client.valid(clock.steady())

    def remaining_seconds(self) -> float:
        """Returns the remaining time of the lease."""
        return self._lease_client.remaining(clock.steady())

    def poll(self, sent_at: float) -> lease.PollRequest:
        """Returns a poll for the leader; `sent_at` is its time of sending by `clock.steady`."""
        return self._lease_client.poll(sent_at)

    def receive(self, answer: lease.PollAnswer) -> bool:
        """Applies the leader's answer to a poll; returns whether the document changed."""
        changed = self._lease_client.receive(answer)
        if changed:
            self._decode_document()
        self._log_validity_change()
        if self.valid():
            self._valid_until = clock.steady() + self.remaining_seconds()
            self._received.set()
        return changed

    def _decode_document(self) -> None:
        document = self._lease_client.document
        try:
            routing = self._dialect.decode_document(decompress(document.content))
        except (check.InvalidDocumentError, zlib.error) as error:
            # Serving by the previous document would revert an accepted change.
            self._table = None
            self._events.warn("document_unreadable", version=document.version, error=str(error))
            return
        self._table = routetable.RouteTable(routing)
        self._events.write(
            "document_in_force", version=document.version, routes=len(routing.routes)
        )

    def _log_validity_change(self) -> None:
        valid = self.valid()
        if valid != self._valid:
            self._valid = valid
            self._events.write("document_lease", valid=valid, version=self.version)
