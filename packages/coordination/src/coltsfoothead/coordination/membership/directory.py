"""Directory of upstreams: soft state that expires unless it is renewed."""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

__all__ = [
    "ROUTABLE_SECONDS",
    "Directory",
    "Load",
    "Model",
    "Renewal",
    "Renewals",
    "Upstream",
    "decode",
    "encode",
]

ROUTABLE_SECONDS = 2.0
"""An upstream whose last renewal as `serving` is older gets no new work."""

# A record is shown to operators for a while after it expired.
FORGET_SECONDS = 60.0

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Address = Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+\Z")]
Count = Annotated[int, msgspec.Meta(ge=0)]


class Model(msgspec.Struct, frozen=True):
    """A model that an engine has loaded."""

    name: Name
    version: str = ""
    adapters: tuple[str, ...] = ()


class Load(msgspec.Struct, frozen=True):
    """Load report of an upstream; `measured_ms_ago` counts back from the announcement."""

    running: Count = 0
    waiting: Count = 0
    measured_ms_ago: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Upstream(msgspec.Struct, frozen=True):
    """Announcement of one upstream; unknown fields are ignored.

    Parameters
    ----------
    incarnation, sequence : int
        Start of the upstream's process and number of the announcement; they order announcements.
    deadline_ms : float or None
        Time left until a leaving upstream is gone.
    """

    upstream: Name
    incarnation: Count
    sequence: Count
    state: Literal["serving", "leaving"]
    kind: Literal["model", "service"]
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1)]
    region: Name
    zone: Name
    vm: Name
    service: str | None = None
    vm_class: str = ""
    models: tuple[Model, ...] = ()
    role: str | None = None
    checks_fencing: bool = False
    load: Load | None = None
    deadline_ms: Annotated[float, msgspec.Meta(ge=0)] | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Key by which the newer of two announcements is kept."""
        return (self.incarnation, self.sequence)


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """An announcement passed on, with the seconds since the sender's daemon received it."""

    record: Upstream
    age_seconds: Annotated[float, msgspec.Meta(ge=0)]


class Renewals(msgspec.Struct, frozen=True, array_like=True):
    """A batch of announcements."""

    renewals: tuple[Renewal, ...]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Renewals).decode


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    record: Upstream
    heard_at: float


class Directory:
    """The newest announcement of each upstream and when it was made.

    Notes
    -----
    A copy counts from the moment at which the first daemon received the announcement, so neither
    a wait in a queue nor duplication prolongs the life of a record.

    Examples
    --------
    >>> Directory().routable(now=0.0)
    []
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._unsent: set[str] = set()

    @property
    def records(self) -> Mapping[str, Upstream]:
        """All records that are kept, by upstream."""
        return {name: entry.record for name, entry in self._entries.items()}

    def renew(self, record: Upstream, now: float) -> bool:
        """Takes an announcement that this daemon received from the upstream itself.

        Returns
        -------
        bool
            Whether it is newer than what was known; only then is it passed on.
        """
        newer = self._take(record, now)
        if newer:
            self._unsent.add(record.upstream)
        return newer

    def receive(self, batch: Renewals, now: float) -> list[Upstream]:
        """Takes a batch of another daemon; returns the records that were newer."""
        return [
            renewal.record
            for renewal in batch.renewals
            if self._take(renewal.record, now - renewal.age_seconds)
        ]

    def take_unsent(self, now: float) -> Renewals | None:
        """Returns what was announced here since the last call, or None."""
        if not self._unsent:
            return None
        names, self._unsent = self._unsent, set()
        entries = [self._entries[name] for name in sorted(names) if name in self._entries]
        return Renewals(tuple(Renewal(each.record, now - each.heard_at) for each in entries))

    def age(self, upstream: str, now: float) -> float:
        """Returns the seconds since the last announcement of an upstream."""
        entry = self._entries.get(upstream)
        return now - entry.heard_at if entry else float("inf")

    def routable(self, now: float) -> list[Upstream]:
        """Returns the upstreams that may get new work."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state == "serving" and now - entry.heard_at < ROUTABLE_SECONDS
        ]

    def is_routable(self, upstream: str, now: float) -> bool:
        """Returns whether one upstream may get new work."""
        entry = self._entries.get(upstream)
        return (
            entry is not None
            and entry.record.state == "serving"
            and now - entry.heard_at < ROUTABLE_SECONDS
        )

    def expire(self, now: float) -> list[Upstream]:
        """Drops records that were not renewed for a minute, and returns them."""
        old = [
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at > FORGET_SECONDS
        ]
        for record in old:
            del self._entries[record.upstream]
        return old

    def _take(self, record: Upstream, heard_at: float) -> bool:
        known = self._entries.get(record.upstream)
        if known is not None and record.order <= known.record.order:
            return False
        self._entries[record.upstream] = _Entry(record, heard_at)
        return True
