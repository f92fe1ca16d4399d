"""Settings of one daemon, read from a TOML file."""

import pathlib
from typing import Annotated

import msgspec

from coltsfoothead.daemon import errors, settingsfile

__all__ = ["Settings", "decode", "load", "split_address"]

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}\Z")
]
Url = Annotated[
    str, msgspec.Meta(pattern=r"^http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}(/.*)?\Z")
]
# The upper bound excludes infinity, which TOML can express.
Seconds = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Bytes = Annotated[int, msgspec.Meta(ge=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the TOML tables; unknown keys are rejected."""


class Daemon(_Table):
    """Identity and location of this daemon, and its data folder."""

    id: Name
    cluster: Name
    region: Name
    zone: Name
    vm: Name
    data_folder: str | None = None


class Listen(_Table):
    """Addresses to listen on, as IP:port; port 0 lets the system choose."""

    callers: Address
    upstreams: Address
    operators: Address
    peers: Address


class Voter(_Table):
    """A founding voter of the cluster."""

    id: Name
    address: Address
    zone: Name


class Cluster(_Table):
    """How this daemon finds its peers; without founders and seeds it is a single node."""

    advertise: Address | None = None
    founders: tuple[Voter, ...] = ()
    seeds: tuple[Address, ...] = ()
    require_zone_spread: bool = True


class Operators(_Table):
    """Access for operators: the path of the file with the bearer token."""

    token_file: str


class Limits(_Table):
    """Limits on requests and connections, and on the size of the answer store."""

    body_bytes: Bytes = 4 * 1024 * 1024
    header_bytes: Bytes = 32 * 1024
    connections: Count = 4096
    answer_store_bytes: Bytes = 32 * 1024 * 1024


class Timeouts(_Table):
    """Timeouts and intervals, all in seconds."""

    receive_seconds: Seconds = 15.0
    idle_seconds: Seconds = 75.0
    connect_seconds: Seconds = 2.0
    stream_silence_seconds: Seconds = 3.0
    request_seconds: Seconds = 900.0
    caller_heartbeat_seconds: Seconds = 5.0
    drain_seconds: Seconds = 60.0
    proposal_seconds: Seconds = 3.0
    answer_retention_seconds: Seconds = 600.0
    counters_seconds: Seconds = 30.0


class Guard(_Table):
    """Replication of accepted requests; if `required`, work without a guard is refused."""

    required: bool = True


class VmClass(_Table):
    """A VM class that may be bought, with the slots of its upstreams for one model."""

    name: Name
    slots: Count


class Platform(_Table):
    """Access to the platform; without `notice_url` no reclaim notices are polled."""

    notice_url: str | None = None
    poll_seconds: Seconds = 1.0
    cloud_url: Url | None = None
    plan_seconds: Seconds = 2.0
    start_seconds: Seconds = 180.0
    surplus_seconds: Seconds = 120.0
    weight_bytes_per_second: Bytes = 100_000_000
    weight_bytes: Bytes = 16_000_000_000
    vm_classes: tuple[VmClass, ...] = ()


class Settings(_Table):
    """All settings of one daemon."""

    daemon: Daemon
    listen: Listen
    operators: Operators
    cluster: Cluster = Cluster()
    limits: Limits = Limits()
    timeouts: Timeouts = Timeouts()
    guard: Guard = Guard()
    platform: Platform = Platform()

    @property
    def own_founder(self) -> Voter | None:
        """The entry of this daemon among the founding voters, or None."""
        matches = (voter for voter in self.cluster.founders if voter.id == self.daemon.id)
        return next(matches, None)

    @property
    def single_node(self) -> bool:
        """Whether this daemon is a cluster of one."""
        return not self.cluster.founders and not self.cluster.seeds


def load(path: str | pathlib.Path) -> Settings:
    """Reads and validates a settings file; raises `SettingsError`."""
    return decode(settingsfile.read(path), str(path))


def decode(text: str, source: str) -> Settings:
    """Decodes and validates the text of a settings file; raises `SettingsError`."""
    settings = settingsfile.decode(text, source, Settings)
    _check(settings, source)
    return settings


def _check(settings: Settings, source: str) -> None:
    for name in Listen.__struct_fields__:
        _check_port(getattr(settings.listen, name), f"$.listen.{name}", source)
    if settings.own_founder and settings.daemon.data_folder is None:
        problem = "a founding voter needs a data folder"
        raise errors.SettingsError(source, "$.daemon.data_folder", problem)
    if settings.single_node and settings.daemon.data_folder is None:
        problem = "a single node needs a data folder"
        raise errors.SettingsError(source, "$.daemon.data_folder", problem)
    founders = [voter.id for voter in settings.cluster.founders]
    if len(set(founders)) != len(founders):
        raise errors.SettingsError(source, "$.cluster.founders", "an id is listed twice")
    _check_zone_spread(settings, source)


def _check_port(address: str, key: str, source: str) -> None:
    host, port = split_address(address)
    if port > 65535 or any(int(part) > 255 for part in host.split(".") if part.isdigit()):
        raise errors.SettingsError(source, key, f"expected IP:port, got {address!r}")


def _check_zone_spread(settings: Settings, source: str) -> None:
    voters = settings.cluster.founders
    if not settings.cluster.require_zone_spread or len(voters) < 3:
        return
    zones = [voter.zone for voter in voters]
    for zone in set(zones):
        if 2 * zones.count(zone) > len(zones):
            problem = f"zone {zone!r} holds a majority of the voters"
            raise errors.SettingsError(source, "$.cluster.founders", problem)


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an ``IP:port`` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
