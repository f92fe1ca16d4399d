"""Multi-window burn rates and the error budget left per organisation."""

import array
import dataclasses
import enum

from coltsfoothead.kernel import registry

__all__ = ["Alert", "AlertKind", "BurnMeter", "BurnReport", "WindowBurn"]

_FINE_BUCKET_SECONDS, _FINE_BUCKETS = 30, 720  # 6 h
_COARSE_BUCKET_SECONDS, _COARSE_BUCKETS = 3_600, 720  # 30 days
_MAX_ORGANISATIONS = 256
_OTHER_ORGANISATIONS = "(others)"


class AlertKind(enum.Enum):
    """Speed at which the error budget burns."""

    FAST = "fast"
    SLOW = "slow"


# Kind, short window and long window in seconds, and the burn rate that both must exceed. At 14.4,
# an hour spends 2% of a 30-day budget; at 6, six hours spend 5%.
_ALERT_RULES = ((AlertKind.FAST, 300, 3_600, 14.4), (AlertKind.SLOW, 1_800, 21_600, 6.0))


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate over one window; at a rate of 1 the error budget lasts exactly its period."""

    seconds: int
    rate: float
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class Alert:
    """An alert rule whose burn rate is exceeded in both windows."""

    kind: AlertKind
    short: WindowBurn
    long: WindowBurn


@dataclasses.dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of one organisation; `budget_left` is 1 when unspent and negative when exceeded."""

    organisation: str
    windows: tuple[WindowBurn, ...]
    alerts: tuple[Alert, ...]
    budget_left: float


class _CountRing:
    """Ring buffer of bad and total request counts per time bucket."""

    __slots__ = ("_bad", "_length", "_seconds", "_slot", "_total")

    def __init__(self, seconds: int, length: int):
        self._seconds, self._length, self._slot = seconds, length, 0
        self._bad = array.array("L", [0]) * length
        self._total = array.array("L", [0]) * length

    def add(self, good: int, total: int, now: float) -> None:
        slot = self._advance(now) % self._length
        self._bad[slot] += total - good
        self._total[slot] += total

    def sums(self, seconds: int, now: float) -> tuple[int, int]:
        self._advance(now)
        count = min(self._length, seconds // self._seconds)
        slots = [(self._slot - back) % self._length for back in range(count)]
        return sum(self._bad[slot] for slot in slots), sum(self._total[slot] for slot in slots)

    def _advance(self, now: float) -> int:
        slot = int(now // self._seconds)
        for passed in range(min(self._length, max(0, slot - self._slot))):
            self._bad[(slot - passed) % self._length] = 0
            self._total[(slot - passed) % self._length] = 0
        self._slot = max(self._slot, slot)
        return self._slot


@registry.register("slo", "burn")
class BurnMeter:
    """Measures the burn rate of the error budget per organisation.

    Parameters
    ----------
    objective : float
        Share of the requests that must be within target, below 1.

    Notes
    -----
    An organisation needs about 23 KB on 64-bit machines. Organisations beyond a limit share one
    entry, so that memory is bounded.
    """

    def __init__(self, objective: float):
        self._allowed_error_rate = 1.0 - objective
        self._rings: dict[str, tuple[_CountRing, _CountRing]] = {}

    def record(self, organisation: str, good: int, total: int, now: float) -> None:
        """Records ended requests, of which `good` were within target."""
        if organisation not in self._rings:
            if len(self._rings) >= _MAX_ORGANISATIONS - 1:
                organisation = _OTHER_ORGANISATIONS
            new_rings = (
                _CountRing(_FINE_BUCKET_SECONDS, _FINE_BUCKETS),
                _CountRing(_COARSE_BUCKET_SECONDS, _COARSE_BUCKETS),
            )
            self._rings.setdefault(organisation, new_rings)
        for ring in self._rings[organisation]:
            ring.add(good, total, now)

    def report(self, now: float) -> tuple[BurnReport, ...]:
        """Returns the burn of every organisation, sorted by name."""
        return tuple(self._report(name, *self._rings[name], now) for name in sorted(self._rings))

    def _report(
        self, organisation: str, fine: _CountRing, coarse: _CountRing, now: float
    ) -> BurnReport:
        windows, alerts = [], []
        for kind, short_seconds, long_seconds, rate in _ALERT_RULES:
            short = self._window(fine, short_seconds, now)
            long = self._window(fine, long_seconds, now)
            windows += [short, long]
            if short.rate > rate and long.rate > rate:
                alerts.append(Alert(kind, short, long))
        budget_spent = self._window(coarse, _COARSE_BUCKET_SECONDS * _COARSE_BUCKETS, now).rate
        return BurnReport(organisation, tuple(windows), tuple(alerts), 1.0 - budget_spent)

    def _window(self, ring: _CountRing, seconds: int, now: float) -> WindowBurn:
        bad, total = ring.sums(seconds, now)
        return WindowBurn(seconds, bad / total / self._allowed_error_rate if total else 0.0, total)
