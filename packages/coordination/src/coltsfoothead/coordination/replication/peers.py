"""Detection of peers whose data folder was rolled back."""

from coltsfoothead.coordination.replication import errors, messages
from coltsfoothead.coordination.storage import schema

__all__ = ["PeerTable", "check_own"]

_UNSEEN = schema.PeerRecord()


class PeerTable:
    """Highest (incarnation, acknowledged index) seen per peer.

    Attributes
    ----------
    urgent : bool
        Whether a change must be synced before anything more is sent: a new start of a peer was
        seen. A higher acknowledged index may be written with the next batch.
    """

    def __init__(self, records: dict[str, schema.PeerRecord]):
        self._records = dict(records)
        self._changed: set[str] = set()
        self.urgent = False

    @property
    def changed(self) -> bool:
        """Whether there are changes to write."""
        return bool(self._changed)

    def admit(self, envelope: messages.Envelope) -> schema.PeerRecord | None:
        """Notes the sender's start; returns what was seen before if the sender is behind it.

        Notes
        -----
        A late message of an earlier start looks like one of a rolled-back folder. The message is
        dropped in both cases; only the named replica can tell which it is (`check_own`).
        """
        seen = self._records.get(envelope.sender, _UNSEEN)
        if envelope.last_index < seen.acknowledged_index or envelope.incarnation < seen.incarnation:
            return seen
        if envelope.incarnation == seen.incarnation:
            return None if envelope.boot == seen.boot else seen
        self._set(
            envelope.sender,
            schema.PeerRecord(envelope.incarnation, envelope.boot, seen.acknowledged_index),
        )
        self.urgent = True
        return None

    def acknowledge(self, peer: str, index: int) -> None:
        """Notes that a peer has synced the committed entries up to `index`."""
        seen = self._records.get(peer, _UNSEEN)
        if index > seen.acknowledged_index:
            self._set(peer, schema.PeerRecord(seen.incarnation, seen.boot, index))

    def take_changes(self) -> dict[str, schema.PeerRecord]:
        """Returns the changed records and forgets that they changed."""
        changes = {peer: self._records[peer] for peer in sorted(self._changed)}
        self._changed.clear()
        self.urgent = False
        return changes

    def _set(self, peer: str, record: schema.PeerRecord) -> None:
        self._records[peer] = record
        self._changed.add(peer)


def check_own(identity: schema.Identity, last_index: int, seen: schema.PeerRecord) -> None:
    """Compares this replica with what a peer has seen of it.

    Raises
    ------
    RolledBackError
        If the peer has seen a later state.
    """
    other_start = seen.incarnation == identity.incarnation and seen.boot != identity.boot
    if seen.incarnation > identity.incarnation or other_start:
        raise errors.RolledBackError(
            f"replica {identity.replica!r}: a peer has seen another start with incarnation "
            f"{seen.incarnation}; this one has {identity.incarnation}"
        )
    if seen.acknowledged_index > last_index:
        raise errors.RolledBackError(
            f"replica {identity.replica!r} acknowledged index {seen.acknowledged_index}; "
            f"its log ends at {last_index}"
        )
