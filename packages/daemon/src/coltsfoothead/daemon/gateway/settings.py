"""Settings of the gateway's programs, read from a TOML file."""

import pathlib
from typing import Literal

import msgspec

from coltsfoothead.daemon import errors, settingsfile
from coltsfoothead.daemon import settings as daemon_settings
from coltsfoothead.kernel import registry
from coltsfoothead.kernel.traffic import placement as _policies  # noqa: F401 - registers them

__all__ = ["Settings", "decode", "load"]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the tables of the file; unknown keys are refused."""


class Process(_Table):
    """Who this process is and where it runs; `first_start` founds a new cluster."""

    id: daemon_settings.Name
    role: Literal["entry", "control"]
    address: str
    region: str
    zone: str
    data_folder: str | None = None
    first_start: bool = False


class Listen(_Table):
    """Addresses to listen on, as IP:port; a role needs those that it serves."""

    callers: daemon_settings.Address | None = None
    readiness: daemon_settings.Address | None = None
    control: daemon_settings.Address | None = None
    metrics_port: daemon_settings.Count | None = None


class Peers(_Table):
    """How the processes find each other: some control addresses, and the port between them."""

    seeds: tuple[daemon_settings.Address, ...]
    port: daemon_settings.Count


class Announcements(_Table):
    """Timing of the upstreams' announcements."""

    interval_seconds: daemon_settings.Seconds


class Stop(_Table):
    """Time from the signal to stop until the process is killed."""

    grace_seconds: daemon_settings.Seconds = 8.0


class Document(_Table):
    """How long a withdrawn key may still be accepted anywhere."""

    revoke_seconds: daemon_settings.Seconds = 5.0


class Repeats(_Table):
    """Bound on second tries over all entries."""

    ratio: float = 0.1
    fixed: float = 0.0
    window_seconds: daemon_settings.Seconds = 10.0


class Quotas(_Table):
    """By how much the platform lets quotas be exceeded: a part of them, and units besides."""

    overage: float = 0.0
    slack: float = 0.0


class Usage(_Table):
    """Windows of the usage reports and when a report is due."""

    window_seconds: daemon_settings.Seconds = 5.0
    due_seconds: daemon_settings.Seconds = 10.0


class Placement(_Table):
    """Name of the registered policy that chooses upstreams."""

    policy: str = "expected-start"


class Cloud(_Table):
    """The platform's API for usage reports and orders of runners."""

    address: daemon_settings.Address
    lease_seconds: daemon_settings.Seconds = 3.0


class Settings(_Table):
    """All settings of one process."""

    process: Process
    listen: Listen
    peers: Peers
    announcements: Announcements
    stop: Stop = Stop()
    document: Document = Document()
    repeats: Repeats = Repeats()
    usage: Usage = Usage()
    quotas: Quotas = Quotas()
    placement: Placement = Placement()
    zones: dict[str, str] = {}
    cloud: Cloud | None = None


def load(path: str | pathlib.Path) -> Settings:
    """Reads and checks a settings file; raises `SettingsError`."""
    return decode(settingsfile.read(path), str(path))


def decode(text: str, source: str) -> Settings:
    """Decodes and checks the text of a settings file; raises `SettingsError`."""
    settings = settingsfile.decode(text, source, Settings)
    for name in _NEEDED[settings.process.role]:
        if getattr(settings.listen, name) is None:
            role = settings.process.role
            raise errors.SettingsError(source, f"$.listen.{name}", f"the role {role} needs it")
    if settings.placement.policy not in registry.names("placement"):
        problem = f"known policies: {', '.join(registry.names('placement'))}"
        raise errors.SettingsError(source, "$.placement.policy", problem)
    if settings.process.role == "control" and settings.process.data_folder is None:
        problem = "the role control needs a data folder"
        raise errors.SettingsError(source, "$.process.data_folder", problem)
    return settings


_NEEDED = {"entry": ("callers", "readiness"), "control": ("control",)}
