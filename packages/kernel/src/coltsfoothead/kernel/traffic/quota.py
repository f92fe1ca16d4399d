"""Shares of an organisation's rate among the entries.

The leader divides each rate by the demand that the entries report; an entry admits against its
share with a token bucket. A bucket admits while it is above zero and may go into debt by one
request, so that a request larger than the share is not refused for ever.
"""

import dataclasses
from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document

__all__ = ["Bucket", "Share", "cost", "divide"]

# Part of a rate that is divided evenly, so that an entry without recent demand can admit at once.
EVEN_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Rate per second and burst that one entry may admit."""

    rate: float
    burst: float


def cost(quota: document.Quota, tokens: int | None) -> float:
    """Returns what a request counts against a quota."""
    if not quota.counts_tokens:
        return 1.0
    return float(tokens) if tokens is not None else quota.plain_tokens


def divide(quota: document.Quota, demand: Mapping[str, float]) -> dict[str, Share]:
    """Divides a quota among entries.

    Parameters
    ----------
    quota : Quota
    demand : mapping of str to float
        Units per second that callers asked of each entry.

    Returns
    -------
    dict of str to Share
        The shares add up to the quota.
    """
    if not demand:
        return {}
    even = EVEN_PART / len(demand)
    total = sum(demand.values())
    shares = {}
    for entry, wanted in demand.items():
        asked = wanted / total if total > 0 else 1 / len(demand)
        part = even + (1 - EVEN_PART) * asked
        shares[entry] = Share(quota.rate_per_second * part, quota.burst * part)
    return shares


class Bucket:
    """Token bucket of one organisation at one entry.

    Parameters
    ----------
    share : Share
    now : float
        Steady seconds.
    """

    def __init__(self, share: Share, now: float) -> None:
        self._share = share
        self._level = share.burst
        self._at = now

    def resize(self, share: Share, now: float) -> None:
        """Takes a new share; what was saved up or owed is kept within the new burst."""
        self._fill(now)
        # A larger share does not bring its burst at once: another entry may just have used it.
        self._share = share
        self._level = min(self._level, share.burst)

    def take(self, amount: float, now: float) -> bool:
        """Takes `amount` if the bucket is above zero; returns whether it was."""
        self._fill(now)
        if self._level <= 0:
            return False
        self._level -= amount
        return True

    def give_back(self, amount: float) -> None:
        """Returns what was taken for a request that did not run."""
        self._level = min(self._share.burst, self._level + amount)

    def wait_seconds(self, now: float) -> float:
        """Returns the time until the bucket is above zero."""
        self._fill(now)
        if self._level > 0:
            return 0.0
        return -self._level / self._share.rate if self._share.rate > 0 else float("inf")

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self._share.rate
        self._level = min(self._share.burst, self._level + gained)
        self._at = max(self._at, now)
