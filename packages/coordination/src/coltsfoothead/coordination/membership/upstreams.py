"""Upstream records and the messages of the directory."""

from typing import Annotated, Literal

import msgspec

__all__ = [
    "Batch",
    "Load",
    "Model",
    "Renewal",
    "Stamp",
    "Upstream",
    "decode",
    "encode",
    "version_key",
]

_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class Model(msgspec.Struct, frozen=True):
    """Model version that an upstream serves."""

    name: _Name
    version: _Name
    adapters: tuple[str, ...] = ()


class Load(msgspec.Struct, frozen=True):
    """Load report of an upstream; `values` holds metrics that only some upstreams report."""

    running: _Count = 0
    waiting: _Count = 0
    measured_ms_ago: _Count = 0
    values: dict[str, float] = {}


class Upstream(msgspec.Struct, frozen=True):
    """Announcement of an upstream; the fields are those of section 5.2 of the design page."""

    upstream: _Name
    incarnation: _Count
    sequence: _Count
    state: Literal["serving", "leaving"]
    kind: Literal["model", "service"]
    region: _Name
    zone: _Name
    address: _Name
    slots: Annotated[int, msgspec.Meta(ge=1)]
    service: str = ""
    vm: str = ""
    vm_class: str = ""
    models: tuple[Model, ...] = ()
    role: str = ""
    checks_fencing: bool = False
    load: Load = Load()
    deadline_ms: _Count | None = None

    def __post_init__(self):
        if self.kind == "service" and not self.service:
            raise ValueError(f"upstream {self.upstream!r} of kind service names no service")


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Reading of a daemon's monotonic clock, valid only for that daemon and incarnation."""

    incarnation: int
    seconds: float


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Record with its age: the seconds since its last renewal, as estimated by the sender."""

    record: Upstream
    age: float


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Message between the directories of two daemons.

    Parameters
    ----------
    stamp : Stamp
        Clock of the sender at the time of sending.
    echo : Stamp, optional
        Newest stamp that the sender received from the receiver.
    held : float
        Seconds from the arrival of that stamp to the sending of this message.
    renewals : tuple of Renewal
        Records that the sender received directly from their upstreams.
    """

    stamp: Stamp
    echo: Stamp | None
    held: float
    renewals: tuple[Renewal, ...]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Batch).decode


def version_key(record):
    """Returns the version key of a record; of two records of an upstream the greater is newer."""
    return (record.incarnation, record.sequence)
