"""Bounds the requests that a version of unknown quality gets, over all entries together.

Load pattern: requests arrive at dozens of entries, a few a second at each, while answers of the
leader are lost and entries are cut off or leave for good.
"""

import dataclasses

from coltsfoothead.kernel.rollouts import permissions

__all__ = ["ExposureBudget"]


@dataclasses.dataclass(slots=True)
class _Holder:
    requests: int = 0
    exposed: int = 0
    # Limits by serial of the permissions that the entry may hold.
    limits: dict[int, int] = dataclasses.field(default_factory=dict)
    last_serial: int = 0

    @property
    def committed(self) -> int:
        """Requests that the entry has sent to the version, or may still send."""
        return max(self.exposed, *self.limits.values())


class ExposureBudget:
    """Budget of requests to the target version: a share of all requests so far, and a fixed number.

    What an entry may still send counts as sent until the entry reports a newer permission, so that
    the bound holds whichever messages are lost. Entries that left keep what they held.

    Parameters
    ----------
    share : float
        Part of the service's requests.
    slack : float
        Requests in addition.
    """

    def __init__(self, share: float, slack: float) -> None:
        self._share = share
        self._slack = slack
        self._holders: dict[str, _Holder] = {}
        self._requests = 0
        self._exposed = 0
        self._committed = 0

    @property
    def requests(self) -> int:
        """Requests to the service that the entries have reported."""
        return self._requests

    @property
    def exposed(self) -> int:
        """Requests to the version that the entries have reported."""
        return self._exposed

    @property
    def committed(self) -> int:
        """Requests to the version that entries have sent or may send."""
        return self._committed

    @property
    def remaining(self) -> int:
        """Requests that may be permitted in addition."""
        return int(self._share * self._requests + self._slack) - self._committed

    def record(self, sender: str, serial: int, limit: int, requests: int, exposed: int) -> int:
        """Records what an entry reports; returns its requests since the last report."""
        holder = self._holders.get(sender)
        if holder is None:
            holder = self._holders[sender] = _Holder(last_serial=serial)
            holder.limits[serial] = limit
            self._committed += holder.committed
        before = holder.committed
        new_requests = max(0, requests - holder.requests)
        holder.requests += new_requests
        self._exposed += max(0, exposed - holder.exposed)
        holder.exposed = max(holder.exposed, exposed)
        holder.limits = {
            number: each for number, each in holder.limits.items() if number >= serial
        } or {serial: limit}
        self._requests += new_requests
        self._committed += holder.committed - before
        return new_requests

    def grant(self, sender: str, count: int) -> tuple[int, int]:
        """Returns serial and limit of a permission for further requests of an entry.

        Parameters
        ----------
        sender : str
        count : int
            Requests beyond those that the entry has reported; reduced to what remains.
        """
        holder = self._holders[sender]
        usable = max(0, self.remaining) + holder.committed - holder.exposed
        return self._issue(holder, holder.exposed + max(0, min(count, usable)), False)

    def release(self, sender: str, renewed: bool) -> tuple[int, int]:
        """Returns serial and limit of a permission for all requests of an entry.

        Parameters
        ----------
        sender : str
        renewed : bool
            Whether the permission needs a serial of its own.
        """
        return self._issue(self._holders[sender], permissions.UNLIMITED, renewed)

    def _issue(self, holder: _Holder, limit: int, renewed: bool) -> tuple[int, int]:
        before = holder.committed
        if renewed or holder.limits.get(holder.last_serial) != limit:
            holder.last_serial += 1
            holder.limits[holder.last_serial] = limit
        self._committed += holder.committed - before
        return holder.last_serial, limit
