"""Detection of peers whose data folder was rolled back."""

from coltsfoothead.coordination.replication import errors, messages
from coltsfoothead.coordination.storage import schema

__all__ = ["PeerTable", "check_not_rolled_back"]

_EMPTY_RECORD = schema.PeerRecord()


class PeerTable:
    """Highest incarnation and acknowledged index of each peer.

    Attributes
    ----------
    sync_required : bool
        Whether the changes must be synced before the next message is sent, because a peer was
        restarted. A higher acknowledged index may be written with a later batch.
    """

    def __init__(self, records: dict[str, schema.PeerRecord]):
        self._records = dict(records)
        self._changed_peers: set[str] = set()
        self.sync_required = False

    @property
    def has_changes(self) -> bool:
        """Whether there are records that were not written yet."""
        return bool(self._changed_peers)

    def check_sender(self, envelope: messages.Envelope) -> schema.PeerRecord | None:
        """Checks the sender of a message against its record, and records a new start.

        Returns
        -------
        PeerRecord or None
            Record of the sender if the message is from an older state, or from another start with
            the same incarnation, and must be dropped.

        Notes
        -----
        A delayed message of an earlier start looks like one of a rolled-back folder. It is
        dropped in both cases; only the sender itself can tell the two apart, with
        `check_not_rolled_back`.
        """
        record = self._records.get(envelope.sender, _EMPTY_RECORD)
        if (
            envelope.last_index < record.acknowledged_index
            or envelope.incarnation < record.incarnation
        ):
            return record
        if envelope.incarnation == record.incarnation:
            return None if envelope.boot == record.boot else record
        self._set(
            envelope.sender,
            schema.PeerRecord(envelope.incarnation, envelope.boot, record.acknowledged_index),
        )
        self.sync_required = True
        return None

    def acknowledge(self, peer: str, index: int) -> None:
        """Records that a peer has synced the committed entries up to `index`."""
        record = self._records.get(peer, _EMPTY_RECORD)
        if index > record.acknowledged_index:
            self._set(peer, schema.PeerRecord(record.incarnation, record.boot, index))

    def pop_changes(self) -> dict[str, schema.PeerRecord]:
        """Returns the records that were not written yet and marks them as written."""
        changes = {peer: self._records[peer] for peer in sorted(self._changed_peers)}
        self._changed_peers.clear()
        self.sync_required = False
        return changes

    def _set(self, peer: str, record: schema.PeerRecord) -> None:
        self._records[peer] = record
        self._changed_peers.add(peer)


def check_not_rolled_back(
    identity: schema.Identity, last_index: int, record: schema.PeerRecord
) -> None:
    """Checks the state of this replica against the record that a peer holds of it.

    Raises
    ------
    RolledBackError
        If the record is of a later state or of another start with the same incarnation.
    """
    is_other_start = record.incarnation == identity.incarnation and record.boot != identity.boot
    if record.incarnation > identity.incarnation or is_other_start:
        raise errors.RolledBackError(
            f"replica {identity.replica!r}: a peer has seen another start with incarnation "
            f"{record.incarnation}; this one has {identity.incarnation}"
        )
    if record.acknowledged_index > last_index:
        raise errors.RolledBackError(
            f"replica {identity.replica!r} acknowledged index {record.acknowledged_index}; "
            f"its log ends at {last_index}"
        )
