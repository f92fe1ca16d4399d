"""Soft state of one leader's term: what the entries report and what the leader answers them."""

import collections
import dataclasses

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import directory, exchange
from coltsfoothead.daemon.gateway.pacing import leaderpacing
from coltsfoothead.kernel.pacing import messages as pacing_messages
from coltsfoothead.kernel.traffic import (
    brittleness,
    crashattribution,
    demandmeter,
    document,
    peering,
    placement,
    quarantine,
    quota,
    requestlimits,
    streamorigins,
    upstreams,
    usage,
)
from coltsfoothead.kernel.waiting import appointments

__all__ = ["Leadership"]

# Loads and demand from older reports are ignored.
LOAD_MAX_AGE_SECONDS = 2.0
# Upstreams of a service that must serve, so that a trial does not crash the last one.
MIN_SERVING_UPSTREAMS = 2
# Interval of the search for processes that have stopped reporting.
SWEEP_INTERVAL_SECONDS = 0.1
# Number of recent reads of shared prompt parts that are kept for the other entries; a few seconds'
# worth at most.
MAX_RECENT_READS = 2000
# Time constant of the smoothing of the quota units requested by callers: the smoothed rate follows
# two thirds of a change within this time.
RATE_SMOOTHING_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _Reporter:
    report: exchange.Report
    reported_at: float
    last_read_sent: int
    requested_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # Whether the term's totals include the loads of this process.
    loads_included: bool = False
    # Whether the term's totals include this process as a serving entry, with its requested rates.
    counted: bool = False


class Leadership:
    """State of one term of leadership.

    Totals over all entries are maintained incrementally, as there are many entries.

    Parameters
    ----------
    upstream_directory : Directory
    lease_seconds : float
        Length of the lease on the document. An entry that stops reporting may go on serving for as
        long.
    tolerance : Tolerance
        By how much quotas may be exceeded.
    quarantines : QuarantineTable
        Quarantines of prompt parts, also those of earlier terms.
    limits : LimitTable
        Limits that upstreams have named, also those heard in earlier terms.
    brittle : BrittleTable
        Brittle upstreams, also those heard of in earlier terms.
    origins : OriginTable
        Origins of recent streams, also those heard in earlier terms.
    now : float
        Steady time at which the term begins.
    expected_entries : int, optional
        Entries that reported to the previous leader, as far as this process knows. Until the
        document lease of the previous term has ended, they may serve without having reported here.
    pacing : LeaderPacing, optional
        Windows of upstreams that have started or returned.
    """

    def __init__(
        self,
        upstream_directory: directory.Directory,
        lease_seconds: float,
        tolerance: quota.Tolerance,
        quarantines: quarantine.QuarantineTable,
        limits: requestlimits.LimitTable,
        brittle: brittleness.BrittleTable,
        origins: streamorigins.OriginTable,
        now: float,
        expected_entries: int = 0,
        pacing: leaderpacing.LeaderPacing | None = None,
    ) -> None:
        self._pacing = pacing
        self._expected_entries = expected_entries
        self._directory = upstream_directory
        self.crash_attribution = crashattribution.CrashAttribution(quarantines)
        self._limits = limits
        self.brittle = brittle
        self._origins = origins
        self.appointments = appointments.AppointmentTable()
        self._began_at = now
        # Shares by upstream and entry, and when they were computed.
        self._limit_shares: dict[str, dict[str, float]] = {}
        self._limits_divided_at = float("-inf")
        self._tolerance = tolerance
        self._buckets: dict[str, quota.TokenBucket] = {}
        self._recent_reads: collections.deque[tuple[int, str, tuple[str, str]]] = collections.deque(
            maxlen=MAX_RECENT_READS
        )
        self._last_read_number = 0
        self._lease_seconds = lease_seconds
        self._lease = lease.LeaderLease(lease_seconds)
        self._reporters: dict[str, _Reporter] = {}
        self._loads: dict[str, placement.Load] = {}
        self._requested_rates: dict[str, float] = {}
        self._entry_count = 0
        self._peer_ring = peering.PeerRing(())
        self._peer_ring_entries: frozenset[peering.Peer] = frozenset()
        self._swept_at = float("-inf")

    @property
    def directory(self) -> directory.Directory:
        """The upstream directory of this term."""
        return self._directory

    @property
    def lease(self) -> lease.LeaderLease:
        """Lease on the document, which each round confirmed by a majority extends."""
        return self._lease

    def listened_seconds(self, now: float) -> float:
        """Returns for how long processes have been able to report in this term."""
        return now - self._began_at

    def postpone_expiry(self, seconds: float, now: float) -> None:
        """Does not count time in which this process was suspended as silence of others."""
        self._directory.postpone_expiry(seconds, now)
        for reporter in self._reporters.values():
            reporter.reported_at = min(now, reporter.reported_at + seconds)

    def record_report(self, report: exchange.Report, now: float) -> None:
        """Adds a report to the state of the term."""
        reporter = self._reporters.get(report.sender)
        elapsed_seconds = 0.0
        if reporter is None:
            reporter = self._reporters[report.sender] = _Reporter(
                report, now, self._last_read_number
            )
        else:
            elapsed_seconds = now - reporter.reported_at
            self._subtract_loads(reporter)
        reporter.report, reporter.reported_at = report, now
        self.crash_attribution.record(report.parts, now)
        self._limits.merge(report.limits, now)
        self._origins.merge(report.origins, now)
        self.brittle.merge(report.brittle, report.rejections, now)
        self.appointments.record(report.sender, report.appointments, now)
        for each in report.leaving:
            self._directory.drain(each.upstream_id, each.born, now)
        self._add_loads(reporter)
        for read in report.reads:
            self._last_read_number += 1
            self._recent_reads.append((self._last_read_number, report.sender, read))
        if not report.entry:
            return
        if not reporter.counted:
            reporter.counted = True
            self._entry_count += 1
            self._add_requested_rates(reporter.requested_rates, 1)
        if elapsed_seconds <= 0:
            return
        for name, amount in report.spent.items():
            if name in self._buckets:
                self._buckets[name].debit(amount)
        self._smooth_requested_rates(reporter, report.asked, elapsed_seconds)

    def _smooth_requested_rates(
        self, reporter: _Reporter, requested: dict[str, float], elapsed_seconds: float
    ) -> None:
        """Moves the smoothed rates of an entry towards those of its newest report."""
        weight = min(1.0, elapsed_seconds / RATE_SMOOTHING_SECONDS)
        changes = {
            name: weight
            * (
                requested.get(name, 0.0) / max(0.05, elapsed_seconds)
                - reporter.requested_rates.get(name, 0.0)
            )
            for name in reporter.requested_rates.keys() | requested.keys()
        }
        for name, change in changes.items():
            reporter.requested_rates[name] = reporter.requested_rates.get(name, 0.0) + change
        self._add_requested_rates(changes, 1)

    def _add_requested_rates(self, rates: dict[str, float], sign: int) -> None:
        for name, rate in rates.items():
            self._requested_rates[name] = self._requested_rates.get(name, 0.0) + sign * rate

    def _add_loads(self, reporter: _Reporter) -> None:
        reporter.loads_included = True
        for name, load in reporter.report.loads.items():
            self._loads[name] = self._loads.get(name, placement.Load()) + load

    def _subtract_loads(self, reporter: _Reporter) -> None:
        if not reporter.loads_included:
            return
        reporter.loads_included = False
        for name, load in reporter.report.loads.items():
            self._loads[name] -= load
            if self._loads[name] == placement.Load():
                del self._loads[name]

    def _exclude_silent(self, now: float) -> None:
        """Subtracts processes that have stopped reporting from the totals."""
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        for reporter in self._reporters.values():
            if now - reporter.reported_at > LOAD_MAX_AGE_SECONDS:
                self._subtract_loads(reporter)
            if reporter.counted and now - reporter.reported_at > self._lease_seconds:
                reporter.counted = False
                self._entry_count -= 1
                self._add_requested_rates(reporter.requested_rates, -1)
        entries = frozenset(
            peering.Peer(each.report.address, each.report.zone)
            for each in self._reporters.values()
            if each.counted and each.report.address
        )
        if entries != self._peer_ring_entries:
            self._peer_ring_entries = entries
            self._peer_ring = peering.PeerRing(entries)

    def remove_silent(self, now: float, retention_seconds: float) -> None:
        """Removes processes that have not reported for `retention_seconds`.

        Until then their usage is kept, as it may still have to be reported.
        """
        for sender, reporter in list(self._reporters.items()):
            if now - reporter.reported_at > retention_seconds:
                self._subtract_loads(reporter)
                if reporter.counted:
                    self._entry_count -= 1
                    self._add_requested_rates(reporter.requested_rates, -1)
                del self._reporters[sender]

    def entry_count(self, now: float) -> int:
        """Returns the number of entries that may be serving, with those not heard yet."""
        self._exclude_silent(now)
        if now - self._began_at < self._lease_seconds:
            return max(self._entry_count, self._expected_entries)
        return self._entry_count

    def allowances(
        self, sender: str, organisations: tuple[document.Organisation, ...], now: float
    ) -> dict[str, quota.Grant]:
        """Returns what an entry may spend of each quota until its next report."""
        entry_count = self.entry_count(now)
        own_rates = self._reporters[sender].requested_rates
        allowances = {}
        for organisation in organisations:
            limit = organisation.quota
            if limit is None:
                continue
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = quota.TokenBucket(limit, self._tolerance, now)
                self._buckets[organisation.name] = bucket
            bucket.set_quota(limit, now)
            # Entries that have not reported yet count like an average one that has.
            total_rate = self._requested_rates.get(organisation.name, 0.0)
            total_rate *= entry_count / self._entry_count
            share = quota.share(own_rates.get(organisation.name, 0.0), total_rate, entry_count)
            allowances[organisation.name] = quota.Grant(
                share * quota.GRANTED_FRACTION * max(0.0, bucket.level(now)),
                share * limit.rate_per_second,
            )
        return allowances

    def peers(self, report: exchange.Report, now: float) -> tuple[peering.Peer, ...] | None:
        """Returns the entries that an entry can call, or None if it knows them.

        It also keeps those that it knows while entries may be missing here.
        """
        if self.entry_count(now) > self._entry_count:
            return None
        peers = self._peer_ring.peers(report.address)
        return peers if peering.digest(peers) != report.peers_digest else None

    def limit_shares(self, sender: str, now: float) -> tuple[requestlimits.LimitShare, ...]:
        """Returns the limits that upstreams have named, with a process's shares."""
        limits = self._limits.limits(now)
        if limits and now - self._limits_divided_at >= SWEEP_INTERVAL_SECONDS:
            entry_count = self.entry_count(now)
            self._limits_divided_at = now
            zones = {
                name: each.report.zone for name, each in self._reporters.items() if each.counted
            }
            heard_fraction = len(zones) / max(1, entry_count)
            self._limit_shares = {
                each.upstream_id: {
                    name: heard_fraction * rate
                    for name, rate in requestlimits.divide(
                        each, self._directory.zone_of(each.upstream_id), zones, now
                    ).items()
                }
                for each in limits
            }
        return tuple(
            requestlimits.LimitShare(
                each, self._limit_shares.get(each.upstream_id, {}).get(sender, 0.0)
            )
            for each in limits
        )

    def paces(self, report: exchange.Report, now: float) -> dict[str, pacing_messages.Pace]:
        """Returns the windows of upstreams with the permits of an entry that has reported."""
        if self._pacing is None:
            return {}
        self._exclude_silent(now)
        return self._pacing.answer(report, self._loads, now)

    def grant_probe(self, request: exchange.ProbeRequest, now: float) -> bool:
        """Returns whether a request may be sent as a probe, or as a trial."""
        can_spare = self._can_spare_upstream(request.service)
        return self.crash_attribution.grant_probe(request.part_id, now, can_spare)

    def _can_spare_upstream(self, service: str) -> bool:
        """Returns whether upstreams are left if one crashes that serves now.

        Of a service with a single upstream, that one can be spared, too. Of a service whose
        upstreams are not known yet, none can.
        """
        crashed = self.crash_attribution.crashed_upstreams()
        states = [
            each.state if quarantine.upstream_key(each) not in crashed else upstreams.State.LOST
            for each in self._directory.records
            if each.service == service
        ]
        serving, lost = (
            states.count(each) for each in (upstreams.State.READY, upstreams.State.LOST)
        )
        return serving >= max(1, min(MIN_SERVING_UPSTREAMS, serving + lost))

    def origin_update(self, version: tuple[str, int]) -> exchange.OriginUpdate:
        """Returns the streams that a control follower lacks."""
        leadership_id = self._directory.leadership_id
        number = version[1] if version[0] == leadership_id else 0
        newest = (leadership_id, self._origins.number)
        return exchange.OriginUpdate(newest, self._origins.since(number))

    def known_origin(self, stream_id: str) -> streamorigins.Origin | None:
        """Returns what began a stream, or None if no process has reported it."""
        return self._origins.origin(stream_id)

    def origin(self, request: exchange.OriginRequest, now: float) -> streamorigins.Origin | None:
        """Returns what began a stream, or None if that is not certain.

        A stream that no process remembers has the only version of its service, if upstreams of one
        version have announced themselves since any stream that callers still take up has begun.
        """
        known = self._origins.origin(request.stream_id)
        if known is not None or not request.service:
            return known
        if now - self._began_at < streamorigins.RETENTION_SECONDS:
            return None
        versions = self._directory.versions_since(
            request.service, now - streamorigins.RETENTION_SECONDS
        )
        if len(versions) != 1:
            return None
        return streamorigins.Origin(request.service, versions.pop())

    def draw(self, request: exchange.DrawRequest, now: float) -> bool:
        """Draws the units of a single request from a quota; returns whether the bucket has them."""
        bucket = self._buckets.get(request.organisation)
        return bucket is not None and bucket.draw(request.amount, now)

    def other_loads(self, sender: str, now: float) -> dict[str, placement.Load]:
        """Returns the in-flight requests of the entries other than `sender` by upstream ID."""
        self._exclude_silent(now)
        total = dict(self._loads)
        reporter = self._reporters.get(sender)
        if reporter is not None and reporter.loads_included:
            for name, load in reporter.report.loads.items():
                total[name] -= load
                if total[name] == placement.Load():
                    del total[name]
        return total

    def total_loads(self, now: float) -> dict[str, placement.Load]:
        """Returns the in-flight requests of all entries by upstream ID."""
        self._exclude_silent(now)
        return self._loads

    def new_reads(self, sender: str) -> tuple[tuple[str, str], ...]:
        """Returns the reads that other entries reported since the last call for `sender`."""
        reporter = self._reporters[sender]
        unsent = []
        for number, reader, read in reversed(self._recent_reads):
            if number <= reporter.last_read_sent:
                break
            if reader != sender:
                unsent.append(read)
        reporter.last_read_sent = self._last_read_number
        return tuple(reversed(unsent))

    def demand(self, now: float) -> dict[str, demandmeter.DemandRates]:
        """Returns the demand of all entries by service."""
        total: dict[str, demandmeter.DemandRates] = {}
        for reporter in self._reporters.values():
            if now - reporter.reported_at <= LOAD_MAX_AGE_SECONDS:
                for name, rates in reporter.report.demand.items():
                    total[name] = total.get(name, demandmeter.DemandRates()) + rates
        return total

    def usage(self, window: int, organisations: list[str]) -> dict[str, int]:
        """Returns the requests that began to run in a window, by organisation."""
        reports = (reporter.report.usage for reporter in self._reporters.values())
        return usage.total_counts(reports, window, organisations)
