"""An entry's shares of the organisations' quotas."""

from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document, quota

__all__ = ["Shares"]

# Part of a quota that an entry admits against before the leader has given it a share.
FIRST_PART = 0.125


class Shares:
    """Token buckets by organisation."""

    def __init__(self) -> None:
        self._buckets: dict[str, quota.Bucket] = {}
        self._shares: Mapping[str, quota.Share] = {}
        self._asked: dict[str, float] = {}

    def set_shares(self, shares: Mapping[str, quota.Share], now: float) -> None:
        """Takes the shares that the leader gave."""
        self._shares = shares
        for name in self._buckets.keys() - shares.keys():
            del self._buckets[name]
        for name, share in shares.items():
            if name in self._buckets:
                self._buckets[name].resize(share, now)
            else:
                self._buckets[name] = quota.Bucket(share, now)

    def admit(self, organisation: document.Organisation, amount: float, now: float) -> bool:
        """Takes `amount` from an organisation's share; returns whether it is admitted."""
        limit = organisation.quota
        if limit is None:
            return True
        self._asked[organisation.name] = self._asked.get(organisation.name, 0.0) + amount
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            first = quota.Share(limit.rate_per_second * FIRST_PART, limit.burst * FIRST_PART)
            bucket = self._buckets[organisation.name] = quota.Bucket(first, now)
        return bucket.take(amount, now)

    def give_back(self, organisation: document.Organisation, amount: float) -> None:
        """Returns what was taken for a request that did not run."""
        bucket = self._buckets.get(organisation.name)
        if bucket is not None:
            bucket.give_back(amount)

    def wait_seconds(self, organisation: document.Organisation, now: float) -> float:
        """Returns the time until the organisation's share admits again."""
        bucket = self._buckets.get(organisation.name)
        return bucket.wait_seconds(now) if bucket is not None else 0.0

    def take_asked(self) -> dict[str, float]:
        """Returns what callers asked of each organisation's quota since the last call."""
        asked, self._asked = self._asked, {}
        return asked
