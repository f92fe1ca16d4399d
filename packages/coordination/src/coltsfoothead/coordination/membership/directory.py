"""Directory of upstreams: soft state that expires unless it is renewed."""

import dataclasses
import math

from coltsfoothead.coordination.membership import upstreams

__all__ = ["Directory", "Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Intervals and limits of the directory."""

    expiry_seconds: float = 2.0
    batch_interval_seconds: float = 0.25
    # Expired records are retained, so that a delayed older record is recognised as stale.
    retention_seconds: float = 60.0
    # Largest relative rate difference between the clocks of two VMs.
    max_clock_drift: float = 0.001


@dataclasses.dataclass(slots=True)
class _Entry:
    """Record with a lower bound of its last renewal time and its arrival time (local clock)."""

    record: upstreams.Upstream
    renewed_at: float
    received_at: float


@dataclasses.dataclass(slots=True)
class _PeerState:
    """Newest clock stamp of a peer and its arrival time (local clock)."""

    stamp: upstreams.Stamp | None = None
    stamp_received_at: float = 0.0


class Directory:
    """One daemon's view of all upstreams.

    Parameters
    ----------
    incarnation : int
        Start counter of this process; identifies its clock stamps.
    now : float
        Monotonic time in seconds.
    settings : Settings, optional
        Intervals and limits.

    Notes
    -----
    A message can be delayed for longer than the lifetime of a record, and clocks of daemons are
    not comparable. Therefore each batch echoes the newest clock stamp that its sender received
    from its receiver, and the time for which the sender held that stamp. The batch was sent no
    earlier than the stamp plus the holding time, and the receiver counts the age of each record
    from that moment. A delayed copy carries an old stamp and cannot extend the lifetime of a
    record; the estimate is early by one one-way delay. Records of a batch without an echo are
    stored if they are newer, but count as expired and are not routable.
    """

    def __init__(self, incarnation, now, settings=None):
        self._incarnation = incarnation
        self._settings = settings or Settings()
        self._entries = {}
        self._peers = {}
        self._pending = set()
        self._urgent = set()
        self._next_batch = now

    @property
    def wake_at(self):
        """Monotonic time at which `outgoing` has batches to send; `renew` can make it earlier."""
        return -math.inf if self._urgent else self._next_batch

    @property
    def records(self):
        """All retained records by upstream, including expired ones."""
        return {name: entry.record for name, entry in self._entries.items()}

    def age(self, upstream, now):
        """Returns the seconds since the last renewal of a known upstream."""
        return now - self._entries[upstream].renewed_at

    def set_peers(self, member_ids):
        """Replaces the set of daemons that batches are sent to."""
        self._peers = {key: self._peers.get(key, _PeerState()) for key in member_ids}

    def renew(self, record, now):
        """Stores an announcement received directly from the upstream.

        Returns
        -------
        bool
            Whether the record is newer than the known one. A repeated announcement is not, and
            does not extend the lifetime of the record.
        """
        accepted = self._accept(record, now, now)
        if accepted:
            self._pending.add(record.upstream)
            if record.state == "leaving":
                self._urgent.add(record.upstream)
        return accepted

    def receive(self, sender, batch, now):
        """Processes a batch of another daemon and returns the records accepted from it."""
        peer = self._peers.setdefault(sender, _PeerState())
        if peer.stamp is None or _is_newer(batch.stamp, peer.stamp):
            peer.stamp, peer.stamp_received_at = batch.stamp, now
        earliest_sent_at = self._earliest_sent_at(batch, now)
        drift = 1 + self._settings.max_clock_drift
        return [
            renewal.record
            for renewal in batch.renewals
            if self._accept(renewal.record, earliest_sent_at - max(0.0, renewal.age) * drift, now)
        ]

    def outgoing(self, now):
        """Returns ``(member ID, Batch)`` for each peer.

        Leaving records are sent at once, all others at the batch interval. A batch is sent in each
        interval even without renewals, because peers need fresh clock stamps.
        """
        if now >= self._next_batch:
            names = self._pending | self._urgent
            self._pending = set()
            self._next_batch = now + self._settings.batch_interval_seconds
            self._remove_old_entries(now)
        elif self._urgent:
            names = self._urgent
            self._pending -= names
        else:
            return []
        self._urgent = set()
        entries = [self._entries[name] for name in sorted(names) if name in self._entries]
        renewals = tuple(
            upstreams.Renewal(entry.record, max(0.0, now - entry.renewed_at)) for entry in entries
        )
        return [(name, self._batch(peer, renewals, now)) for name, peer in self._peers.items()]

    def routable(self, now):
        """Returns the records of upstreams that accept new requests."""
        return [entry.record for entry in self._unexpired(now) if entry.record.state == "serving"]

    def leaving(self, now):
        """Returns the unexpired records of upstreams that announced their leave."""
        return [entry.record for entry in self._unexpired(now) if entry.record.state == "leaving"]

    def _unexpired(self, now):
        oldest = now - self._settings.expiry_seconds
        return [entry for entry in self._entries.values() if entry.renewed_at > oldest]

    def _accept(self, record, renewed_at, now):
        known = self._entries.get(record.upstream)
        if known is None:
            self._entries[record.upstream] = _Entry(record, renewed_at, now)
            return True
        if upstreams.version_key(record) < upstreams.version_key(known.record):
            return False
        if upstreams.version_key(record) == upstreams.version_key(known.record):
            if renewed_at < now:
                # A copy from another peer can give a better estimate of the same renewal. A direct
                # announcement that repeats has no estimate before `now` and is no new renewal.
                known.renewed_at = max(known.renewed_at, renewed_at)
            return False
        if known.record.incarnation == record.incarnation and known.record.state == record.state:
            # A newer renewal happened after the older one, even if its estimate is earlier.
            renewed_at = max(renewed_at, known.renewed_at)
        self._entries[record.upstream] = _Entry(record, renewed_at, now)
        return True

    def _earliest_sent_at(self, batch, now):
        """Returns the earliest local time at which the batch can have been sent."""
        if batch.echo is None or batch.echo.incarnation != self._incarnation:
            return -math.inf
        held = max(0.0, batch.held) * (1 - self._settings.max_clock_drift)
        return min(now, batch.echo.seconds + held)

    def _batch(self, peer, renewals, now):
        held = now - peer.stamp_received_at if peer.stamp is not None else 0.0
        stamp = upstreams.Stamp(self._incarnation, now)
        return upstreams.Batch(stamp, peer.stamp, held, renewals)

    def _remove_old_entries(self, now):
        oldest = now - self._settings.retention_seconds
        for name in [key for key, entry in self._entries.items() if entry.received_at < oldest]:
            del self._entries[name]


def _is_newer(left, right):
    return (left.incarnation, left.seconds) > (right.incarnation, right.seconds)
