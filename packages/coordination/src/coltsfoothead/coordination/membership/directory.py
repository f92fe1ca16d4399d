"""Directory of upstreams: soft state that expires unless it is renewed."""

import dataclasses
import math

from coltsfoothead.coordination.membership import upstreams

__all__ = ["Directory", "Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Times of the directory."""

    expiry_seconds: float = 2.0
    batch_seconds: float = 0.25
    # Keeps the order of a record after its expiry, so that a delayed older one is recognised.
    remember_seconds: float = 60.0
    # Clocks of two VMs run apart by at most this share.
    clock_drift: float = 0.001


@dataclasses.dataclass(slots=True)
class _Entry:
    """Record with the time (own clock) at which it was renewed at the latest known moment."""

    record: upstreams.Upstream
    renewed_at: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class _PeerState:
    """Newest stamp of a peer and when it arrived."""

    stamp: upstreams.Stamp | None = None
    stamp_at: float = 0.0


class Directory:
    """One daemon's view of all upstreams.

    Parameters
    ----------
    incarnation : int
        Start counter of this process; marks its stamps.
    now : float
        Monotonic time in seconds.
    settings : Settings, optional
        Times.

    Notes
    -----
    A message can be delayed for longer than a record lives, and clocks of daemons are not
    comparable. So each batch returns the receiver's own newest clock stamp together with the time
    that the sender held it. The batch was sent no earlier than stamp plus held time, and the
    receiver counts the age of each record from there. A delayed copy carries an old stamp and
    cannot extend the life of a record; the estimate is early by one one-way delay. A batch
    without an echo still brings newer records, but none that can be routed to.
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
        """When `outgoing` has something to send; call it after each `renew` as well."""
        return -math.inf if self._urgent else self._next_batch

    @property
    def records(self):
        """All records that are kept, expired ones included, by upstream."""
        return {name: entry.record for name, entry in self._entries.items()}

    def age(self, upstream, now):
        """Returns the seconds since the last renewal of an upstream that is known here."""
        return now - self._entries[upstream].renewed_at

    def set_peers(self, member_ids):
        """Replaces the daemons that batches go to."""
        self._peers = {key: self._peers.get(key, _PeerState()) for key in member_ids}

    def renew(self, record, now):
        """Takes an announcement that the upstream itself sent.

        Returns
        -------
        bool
            Whether the record is newer than the known one; a repeated announcement is not and
            does not extend the record's life.
        """
        accepted = self._accept(record, now, now)
        if accepted:
            self._pending.add(record.upstream)
            if record.state == "leaving":
                self._urgent.add(record.upstream)
        return accepted

    def receive(self, sender, batch, now):
        """Takes a batch of another daemon and returns the records accepted from it."""
        peer = self._peers.setdefault(sender, _PeerState())
        if peer.stamp is None or _newer(batch.stamp, peer.stamp):
            peer.stamp, peer.stamp_at = batch.stamp, now
        sent_at = self._sent_at(batch, now)
        drift = 1 + self._settings.clock_drift
        return [
            renewal.record
            for renewal in batch.renewals
            if self._accept(renewal.record, sent_at - max(0.0, renewal.age) * drift, now)
        ]

    def outgoing(self, now):
        """Returns ``(member ID, Batch)`` for each peer: leaving records at once, others batched.

        A batch goes out each period even without renewals, since peers need fresh stamps.
        """
        if now >= self._next_batch:
            names = self._pending | self._urgent
            self._pending = set()
            self._next_batch = now + self._settings.batch_seconds
            self._sweep(now)
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
        """Returns the records of upstreams that may be given new work."""
        return [entry.record for entry in self._live(now) if entry.record.state == "serving"]

    def leaving(self, now):
        """Returns the records of upstreams that announced their leave and still renew it."""
        return [entry.record for entry in self._live(now) if entry.record.state == "leaving"]

    def _live(self, now):
        oldest = now - self._settings.expiry_seconds
        return [entry for entry in self._entries.values() if entry.renewed_at > oldest]

    def _accept(self, record, renewed_at, now):
        known = self._entries.get(record.upstream)
        if known is None:
            self._entries[record.upstream] = _Entry(record, renewed_at, now)
            return True
        if upstreams.order(record) < upstreams.order(known.record):
            return False
        if upstreams.order(record) == upstreams.order(known.record):
            if renewed_at < now:
                # Another copy with a better estimate of the same renewal; a repeated
                # announcement has no estimate older than now and proves nothing.
                known.renewed_at = max(known.renewed_at, renewed_at)
            return False
        if known.record.incarnation == record.incarnation and known.record.state == record.state:
            # The newer renewal happened after the older one, whatever its estimate says.
            renewed_at = max(renewed_at, known.renewed_at)
        self._entries[record.upstream] = _Entry(record, renewed_at, now)
        return True

    def _sent_at(self, batch, now):
        """Returns the earliest own time at which the batch can have been sent."""
        if batch.echo is None or batch.echo.incarnation != self._incarnation:
            return -math.inf
        held = max(0.0, batch.held) * (1 - self._settings.clock_drift)
        return min(now, batch.echo.seconds + held)

    def _batch(self, peer, renewals, now):
        held = now - peer.stamp_at if peer.stamp is not None else 0.0
        stamp = upstreams.Stamp(self._incarnation, now)
        return upstreams.Batch(stamp, peer.stamp, held, renewals)

    def _sweep(self, now):
        oldest = now - self._settings.remember_seconds
        for name in [key for key, entry in self._entries.items() if entry.heard_at < oldest]:
            del self._entries[name]


def _newer(left, right):
    return (left.incarnation, left.seconds) > (right.incarnation, right.seconds)
