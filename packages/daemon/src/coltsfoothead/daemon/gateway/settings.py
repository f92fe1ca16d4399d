"""Settings of a gateway process, read from a TOML file."""

import pathlib
from typing import Annotated, Literal

import msgspec

from coltsfoothead.daemon import errors, settingsfile
from coltsfoothead.daemon import settings as daemon_settings
from coltsfoothead.kernel import registry
from coltsfoothead.kernel.traffic import placement as _policies  # noqa: F401 - registers them

__all__ = ["Settings", "decode", "load"]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the tables in the settings file; unknown keys are errors."""


class Process(_Table):
    """Identity, role and location of this process.

    Parameters
    ----------
    data_folder : str or None
        Only the control role needs it.
    first_start : bool
        Whether a control process whose address is among the seeds founds a new cluster.
    """

    id: daemon_settings.Name
    role: Literal["entry", "control"]
    address: str
    region: str
    zone: str
    data_folder: str | None = None
    first_start: bool = False


class Listen(_Table):
    """Addresses to listen on, as IP:port; each role requires the addresses that it serves."""

    callers: daemon_settings.Address | None = None
    readiness: daemon_settings.Address | None = None
    control: daemon_settings.Address | None = None
    metrics_port: daemon_settings.Count | None = None


class Peers(_Table):
    """Discovery of the control processes.

    Parameters
    ----------
    seeds : tuple of str
        Addresses, as IP:port, of some control processes. Their ports are replaced by `port`.
    port : int
        Port on which every control process listens for its peers.
    """

    seeds: tuple[daemon_settings.Address, ...]
    port: daemon_settings.Count


class Announcements(_Table):
    """Interval at which each upstream announces itself."""

    interval_seconds: daemon_settings.Seconds


class Stop(_Table):
    """Time from the stop signal until the process is killed."""

    grace_seconds: daemon_settings.Seconds = 8.0


class Memory(_Table):
    """Memory of this process.

    Parameters
    ----------
    limit_mb : int
        Limit at which the process is ended, in MB of 2**20 bytes.
    answers_share : float
        Part of the limit that buffered answers of upstreams may take together. An answer that is
        passed on is in memory up to three times.
    """

    limit_mb: daemon_settings.Count = 300
    answers_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.125

    @property
    def answer_bytes(self) -> int:
        """Memory for buffered answers, in bytes."""
        return int(self.answers_share * (self.limit_mb << 20))


class Document(_Table):
    """Time within which all entries must refuse a revoked API key."""

    revoke_seconds: daemon_settings.Seconds = 5.0


class Repeats(_Table):
    """Limit on retries over all entries.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    fixed : float
        Retries allowed per window in addition to the ratio.
    window_seconds : float
    """

    ratio: float = 0.1
    fixed: float = 0.0
    window_seconds: daemon_settings.Seconds = 10.0


class Quotas(_Table):
    """How far the platform allows quotas to be exceeded.

    Parameters
    ----------
    overage : float
        As a fraction of the rate and burst.
    slack : float
        Quota units in addition to the fraction.
    """

    overage: float = 0.0
    slack: float = 0.0


class Usage(_Table):
    """Length of a usage window, and time after its end within which its report is due."""

    window_seconds: daemon_settings.Seconds = 5.0
    due_seconds: daemon_settings.Seconds = 10.0


class Placement(_Table):
    """Name of the registered policy that selects upstreams."""

    policy: str = "expected-start"


class Speeds(_Table):
    """Use of the speeds of upstreams that are learned from their answers.

    Parameters
    ----------
    learned : bool
        Whether they are learned, for placement and admission.
    plan : bool
        Whether the runner plan counts capacity in them instead of in runners.
    """

    learned: bool = False
    plan: bool = False


class Pacing(_Table):
    """Enables windows of requests for upstreams that have started or returned."""


class Waiting(_Table):
    """Bounds of the requests that wait at an entry for room at one service.

    Parameters
    ----------
    max_requests : int
    max_body_bytes : int
        Bytes of the bodies of all of them.
    """

    max_requests: daemon_settings.Count = 64
    max_body_bytes: daemon_settings.Count = 4 * 1024 * 1024


class Rollouts(_Table):
    """How far a bad version may be exposed.

    Parameters
    ----------
    expose_share : float
        Part of a service's requests that may go to a bad version while its rollout runs.
    expose_slack : float
        Requests in addition.
    rollback_seconds : float
        Time from the evidence of a bad version until no entry sends to it any more.
    """

    expose_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    expose_slack: Annotated[float, msgspec.Meta(ge=0)] = 20.0
    rollback_seconds: daemon_settings.Seconds = 5.0


class Cloud(_Table):
    """The platform's API for usage reports and runner orders, and its lease on these duties."""

    address: daemon_settings.Address
    lease_seconds: daemon_settings.Seconds = 3.0


class Sharing(_Table):
    """Fair shares of the organisations while room is short; the table switches them on."""


class Settings(_Table):
    """All settings of one process; `zones` maps each zone to its region.

    A part whose table is missing is switched off.
    """

    process: Process
    listen: Listen
    peers: Peers
    announcements: Announcements
    stop: Stop = Stop()
    memory: Memory = Memory()
    document: Document = Document()
    repeats: Repeats = Repeats()
    usage: Usage = Usage()
    quotas: Quotas = Quotas()
    placement: Placement = Placement()
    zones: dict[str, str] = {}
    cloud: Cloud | None = None
    speeds: Speeds = Speeds()
    sharing: Sharing | None = None
    pacing: Pacing | None = None
    waiting: Waiting | None = None
    rollouts: Rollouts | None = None


def load(path: str | pathlib.Path) -> Settings:
    """Reads and validates a settings file; raises `SettingsError`."""
    return decode(settingsfile.read(path), str(path))


def decode(text: str, source: str) -> Settings:
    """Decodes and validates the text of a settings file; raises `SettingsError`."""
    settings = settingsfile.decode(text, source, Settings)
    for name in _REQUIRED_LISTENERS[settings.process.role]:
        if getattr(settings.listen, name) is None:
            role = settings.process.role
            raise errors.SettingsError(source, f"$.listen.{name}", f"required for the role {role}")
    if settings.placement.policy not in registry.names("placement"):
        problem = f"known policies: {', '.join(registry.names('placement'))}"
        raise errors.SettingsError(source, "$.placement.policy", problem)
    if settings.process.role == "control" and settings.process.data_folder is None:
        problem = "a data folder is required for the role control"
        raise errors.SettingsError(source, "$.process.data_folder", problem)
    return settings


_REQUIRED_LISTENERS = {"entry": ("callers", "readiness"), "control": ("control",)}
