"""What the control leader knows of the entries and tells them; soft state of one term."""

import collections
import dataclasses

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import directory, exchange
from coltsfoothead.kernel.traffic import demandmeter, document, placement, quota, usage

__all__ = ["Leadership"]

# Loads that an entry reported longer ago are not passed on.
LOAD_SECONDS = 2.0
# Interval at which processes are looked for that fell silent.
SWEEP_SECONDS = 0.1
# Reads of shared parts that are passed on; at most some seconds' worth.
READS_KEPT = 2000
# Time in which a change of what callers ask of a quota is followed to two thirds.
ASKED_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _Reporter:
    report: exchange.Report
    at: float
    seen_reads: int
    asked: dict[str, float] = dataclasses.field(default_factory=dict)
    # Whether the sums of the term hold what this process has.
    loads_count: bool = False
    serving: bool = False


class Leadership:
    """State of one term of leadership.

    Parameters
    ----------
    upstreams : Directory
    lease_seconds : float
        Length of the lease on the document. An entry that is not heard from may go on for as long.
    tolerance : Tolerance
        Of the quotas.
    """

    def __init__(
        self,
        upstreams: directory.Directory,
        lease_seconds: float,
        tolerance: quota.Tolerance,
    ) -> None:
        self._directory = upstreams
        self._tolerance = tolerance
        self._pools: dict[str, quota.Pool] = {}
        self._reads: collections.deque[tuple[int, str, tuple[str, str]]] = collections.deque(
            maxlen=READS_KEPT
        )
        self._last_read = 0
        self._lease_seconds = lease_seconds
        self._lease = lease.LeaderLease(lease_seconds)
        self._reporters: dict[str, _Reporter] = {}
        self._loads: dict[str, placement.Load] = {}
        self._asked: dict[str, float] = {}
        self._serving = 0
        self._swept_at = float("-inf")

    @property
    def directory(self) -> directory.Directory:
        """The directory of this term."""
        return self._directory

    @property
    def lease(self) -> lease.LeaderLease:
        """Lease on the document, from the rounds that a majority confirmed."""
        return self._lease

    def take(self, report: exchange.Report, now: float) -> None:
        """Takes a report."""
        known = self._reporters.get(report.sender)
        seconds = 0.0
        if known is None:
            known = self._reporters[report.sender] = _Reporter(report, now, self._last_read)
        else:
            seconds = now - known.at
            self._drop_loads(known)
        known.report, known.at = report, now
        self._add_loads(known)
        for read in report.reads:
            self._last_read += 1
            self._reads.append((self._last_read, report.sender, read))
        if not report.entry:
            return
        if not known.serving:
            known.serving = True
            self._serving += 1
            self._add_asked(known.asked, 1)
        if seconds <= 0:
            return
        for name, amount in report.spent.items():
            if name in self._pools:
                self._pools[name].spend(amount)
        self._follow_asked(known, report.asked, seconds)

    def _follow_asked(self, known: _Reporter, asked: dict[str, float], seconds: float) -> None:
        part = min(1.0, seconds / ASKED_SECONDS)
        changes = {
            name: part * (asked.get(name, 0.0) / max(0.05, seconds) - known.asked.get(name, 0.0))
            for name in known.asked.keys() | asked.keys()
        }
        for name, change in changes.items():
            known.asked[name] = known.asked.get(name, 0.0) + change
        self._add_asked(changes, 1)

    def _add_asked(self, asked: dict[str, float], sign: int) -> None:
        for name, rate in asked.items():
            self._asked[name] = self._asked.get(name, 0.0) + sign * rate

    def _add_loads(self, known: _Reporter) -> None:
        known.loads_count = True
        for name, load in known.report.loads.items():
            self._loads[name] = self._loads.get(name, placement.Load()) + load

    def _drop_loads(self, known: _Reporter) -> None:
        if not known.loads_count:
            return
        known.loads_count = False
        for name, load in known.report.loads.items():
            self._loads[name] -= load
            if self._loads[name] == placement.Load():
                del self._loads[name]

    def _drop_silent(self, now: float) -> None:
        """Leaves out those that were not heard from; sums are kept, as there are many entries."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for known in self._reporters.values():
            if now - known.at > LOAD_SECONDS:
                self._drop_loads(known)
            if known.serving and now - known.at > self._lease_seconds:
                known.serving = False
                self._serving -= 1
                self._add_asked(known.asked, -1)

    def forget_old(self, now: float, usage_seconds: float) -> None:
        """Forgets processes that were not heard from while their usage was still to be reported."""
        for sender, known in list(self._reporters.items()):
            if now - known.at > usage_seconds:
                self._drop_loads(known)
                if known.serving:
                    self._serving -= 1
                    self._add_asked(known.asked, -1)
                del self._reporters[sender]

    def entries(self, now: float) -> int:
        """Returns the number of entries that may be serving."""
        self._drop_silent(now)
        return self._serving

    def allowances(
        self, sender: str, organisations: tuple[document.Organisation, ...], now: float
    ) -> dict[str, quota.Grant]:
        """Returns what an entry may spend of all quotas until its next report."""
        entries = self.entries(now)
        own = self._reporters[sender].asked
        allowances = {}
        for organisation in organisations:
            limit = organisation.quota
            if limit is None:
                continue
            pool = self._pools.get(organisation.name)
            if pool is None:
                pool = quota.Pool(limit, self._tolerance, now)
                self._pools[organisation.name] = pool
            pool.set_quota(limit, now)
            asked = self._asked.get(organisation.name, 0.0)
            part = quota.share(own.get(organisation.name, 0.0), asked, entries)
            allowances[organisation.name] = quota.Grant(
                part * quota.HANDED_PART * max(0.0, pool.level(now)), part * limit.rate_per_second
            )
        return allowances

    def draw(self, draw: exchange.Draw, now: float) -> bool:
        """Takes a single request's amount from its quota; returns whether the bucket has it."""
        pool = self._pools.get(draw.organisation)
        return pool is not None and pool.draw(draw.amount, now)

    def other_loads(self, sender: str, now: float) -> dict[str, placement.Load]:
        """Returns what the entries other than `sender` have under way per upstream."""
        self._drop_silent(now)
        total = dict(self._loads)
        known = self._reporters.get(sender)
        if known is not None and known.loads_count:
            for name, load in known.report.loads.items():
                total[name] -= load
                if total[name] == placement.Load():
                    del total[name]
        return total

    def new_reads(self, sender: str) -> tuple[tuple[str, str], ...]:
        """Returns the reads that other entries reported since the last call for this one."""
        known = self._reporters[sender]
        fresh = []
        for number, reader, read in reversed(self._reads):
            if number <= known.seen_reads:
                break
            if reader != sender:
                fresh.append(read)
        known.seen_reads = self._last_read
        return tuple(reversed(fresh))

    def demand(self, now: float) -> dict[str, demandmeter.DemandRates]:
        """Returns the demand of all entries by service."""
        total: dict[str, demandmeter.DemandRates] = {}
        for known in self._reporters.values():
            if now - known.at <= LOAD_SECONDS:
                for name, rates in known.report.demand.items():
                    total[name] = total.get(name, demandmeter.DemandRates()) + rates
        return total

    def usage(self, window: int, organisations: list[str]) -> dict[str, int]:
        """Returns the begun requests of a window."""
        reports = (known.report.usage for known in self._reporters.values())
        return usage.total(reports, window, organisations)
