"""Course of one rollout at the leader: who may expose how many requests, and when it ends.

Load pattern: a service under its usual load, bursts and crashes, whose target version may be bad at
once, later, under load, on one route or by its speed; leaders and entries come and go meanwhile.

A version of unknown quality gets the share of requests that the budget permits, at few upstreams at
a time, so that each of them has the load that it would have if all requests went to the version. As
late as the time of the order allows, a good version gets all requests in a few steps, so that the
requests to the other versions can end before their upstreams are stopped.
"""

import dataclasses
import math

from coltsfoothead.kernel.rollouts import evidence, exposure, orders, permissions

__all__ = ["Bounds", "Course", "Surroundings"]

# Part of the budget that is used; the rest covers counts that leave with their entry.
BUDGET_FRACTION = 0.7
# Duration of a permission as a fraction of the time within which a bad version gets nothing more.
# The rest is left for the evidence that entries hold and for the leader's decision.
LEASE_FRACTION = 0.4
MAX_LEASE_SECONDS = 3.0
# Upstreams that get requests at a time, so that a crash of one is told from a bad version.
MIN_FOCUS = 3
FOCUS_SECONDS = 2.0
# Steps in which a good version gets all requests, and the time for each.
STEPS = (0.25, 0.5, 1.0)
MIN_STEP_SECONDS = 0.6
MAX_STEP_SECONDS = 30.0
STEP_FRACTION = 0.05
# Time and part of the order's duration that are left at its end for the commit and its operator.
END_SECONDS = 1.0
END_FRACTION = 0.1
# Part of the duration that requests to the other versions may take to end.
MAX_DRAIN_FRACTION = 0.4
# Part of the duration in which a version that is still undecided may be found good.
LATEST_SHIFT_FRACTION = 0.8
# Answers by which a route may lead the one with the fewest before it gets a smaller share.
ROUTE_LEAD = 5
# An entry without requests for this time needs no permission.
IDLE_SECONDS = 2.0
# Requests that are permitted one after another once the budget was used up, for each upstream in
# focus, and the longest wait for so many: some load shows only while several requests run at once.
PULSE_REQUESTS = 4
PULSE_WAIT_SECONDS = 1.5
# Time with all requests at the target version, in steps, before the other upstreams are given up.
OBSERVED_STEPS = 1.5
# A rollout completes no earlier than this time and part of the duration before its end.
EARLY_SECONDS = 1.5
EARLY_FRACTION = 0.125
# Least part of the permitted requests that are taken for used; entries without requests keep some.
MIN_USED_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What callers may notice of a bad version.

    Attributes
    ----------
    share : float
        Part of a service's requests that may go to a bad version.
    slack : float
        Requests in addition.
    rollback_seconds : float
        Time from the evidence of a bad version until it gets nothing more.
    """

    share: float
    slack: float
    rollback_seconds: float

    @property
    def lease_seconds(self) -> float:
        """Duration of a permission."""
        return min(MAX_LEASE_SECONDS, LEASE_FRACTION * self.rollback_seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the leader knows of a service beside its rollout.

    Attributes
    ----------
    upstreams : tuple of str
        IDs of the ready upstreams of the target version.
    others : int
        Number of ready upstreams of other versions.
    timeout_seconds : float
        Longest time that a request to the service may take.
    """

    upstreams: tuple[str, ...]
    others: int
    timeout_seconds: float


@dataclasses.dataclass(slots=True)
class _Entry:
    report: permissions.ServiceReport
    reported_at: float
    # Requests between the last two reports, and when there were any.
    new_requests: int = 0
    active_at: float = float("-inf")
    # Serial of the first permission for all requests; None if there was none yet.
    whole_from: int | None = None


class Course:
    """State of a running rollout during one leader's term.

    Parameters
    ----------
    rollout : Rollout
    bounds : Bounds
    began_at : float
        Steady time of the order.
    now : float
        Steady time from which this leader decides.
    entry_lease_seconds : float
        Time for which an entry may go on serving after its last report.
    resumed : bool
        Whether an earlier leader may have given permissions that are still valid.
    """

    def __init__(
        self,
        rollout: orders.Rollout,
        bounds: Bounds,
        began_at: float,
        now: float,
        entry_lease_seconds: float,
        resumed: bool,
    ) -> None:
        self._order = rollout.order
        self._bounds = bounds
        self._began_at = began_at
        self._entry_lease_seconds = entry_lease_seconds
        # When earlier permissions have ended, and when all serving entries have reported.
        self._grants_from = now + bounds.lease_seconds if resumed else now
        self._heard_all_at = now + entry_lease_seconds if resumed else now
        self._phase = rollout.phase
        # An earlier leader found the version good before it shifted; its steps are not repeated.
        steps_seconds = len(STEPS) * self._step_seconds
        self._shifting_since = now - steps_seconds if resumed else now
        self._evidence = evidence.Evidence(resumed)
        self._budget = exposure.ExposureBudget(
            BUDGET_FRACTION * bounds.share, BUDGET_FRACTION * bounds.slack
        )
        self._entries: dict[str, _Entry] = {}
        self._surroundings = Surroundings((), 0, 0.0)
        # Requests that may be permitted now, so that the upstreams get no more than their load.
        self._tokens = 1.0
        self._granted = 0
        # Whether requests are being permitted, and since when.
        self._open, self._open_changed_at = True, now
        self._stop_cause = ""
        self._judgement = evidence.Judgement(evidence.Finding.OPEN)

    @property
    def judgement(self) -> evidence.Judgement:
        """The newest finding about the target version."""
        return self._judgement

    @property
    def order(self) -> orders.Order:
        """The order of the rollout."""
        return self._order

    @property
    def budget(self) -> exposure.ExposureBudget:
        """Requests that the target version has got and may get."""
        return self._budget

    def elapsed_seconds(self, now: float) -> float:
        """Returns the time since the order."""
        return now - self._began_at

    def set_phase(self, phase: orders.Phase, now: float) -> None:
        """Sets the phase that the control log has."""
        if phase is not self._phase:
            self._phase, self._shifting_since = phase, now

    def stop(self, cause: str) -> None:
        """Gives no further permissions, as the rollout will be rolled back for a cause."""
        self._stop_cause = cause

    def record(self, sender: str, report: permissions.ServiceReport, now: float) -> None:
        """Adds what an entry reports."""
        committed = self._budget.committed
        new_requests = self._budget.record(
            sender, report.serial, report.limit, report.requests, report.exposed
        )
        used = min(1.0, max(MIN_USED_FRACTION, self._budget.exposed / max(1, self._granted)))
        self._add_tokens(
            new_requests * self._full_share() / used + committed - self._budget.committed
        )
        self._evidence.record(sender, report.tallies, now)
        entry = self._entries.setdefault(sender, _Entry(report, now))
        entry.report, entry.reported_at, entry.new_requests = report, now, new_requests
        if new_requests:
            entry.active_at = now

    def permission(self, sender: str, now: float) -> permissions.Permission:
        """Returns the permission of an entry that has just reported; it may permit nothing."""
        slow_seconds = self._evidence.slow_seconds(now)
        shares: dict[str, float] = {}
        focus: tuple[str, ...] = ()
        if self._stop_cause or self._judgement.finding is evidence.Finding.BAD:
            serial, limit = self._budget.grant(sender, 0)
        elif self._phase is orders.Phase.SHIFTING:
            shares = {"": self._share(now)}
            serial, limit = self._release(sender, shares[""])
        else:
            committed = self._budget.committed
            serial, limit = self._budget.grant(sender, self._wanted(sender, now))
            self._add_tokens(committed - self._budget.committed)
            self._granted += max(0, self._budget.committed - committed)
            shares, focus = self._route_shares(slow_seconds), self._focus(now)
        return permissions.Permission(
            self._order.service,
            self._order.number,
            serial,
            limit,
            self._bounds.lease_seconds if shares else 0.0,
            shares,
            focus,
            {route: round(seconds, 3) for route, seconds in slow_seconds.items()},
        )

    def decide(self, surroundings: Surroundings, now: float) -> tuple[orders.Phase, str]:
        """Returns the phase that the rollout should have, and why."""
        self._surroundings = surroundings
        self._judgement = self._evidence.judge(now)
        elapsed, duration = self.elapsed_seconds(now), self._order.duration_seconds
        end = duration - min(END_SECONDS, END_FRACTION * duration)
        finding, cause = self._judgement.finding, self._judgement.cause
        if self._stop_cause:
            return orders.Phase.ROLLED_BACK, self._stop_cause
        if finding is evidence.Finding.BAD:
            return orders.Phase.ROLLED_BACK, cause
        if self._phase is orders.Phase.SHIFTING:
            early = end - min(EARLY_SECONDS, EARLY_FRACTION * duration)
            if elapsed >= early and self._has_ended_elsewhere(now):
                return orders.Phase.COMPLETED, "no request is left at the other versions"
            if elapsed >= end:
                if finding is evidence.Finding.GOOD or self._share(now) == STEPS[-1]:
                    return orders.Phase.COMPLETED, "the time of the order ends"
                return orders.Phase.ROLLED_BACK, f"undecided at the end: {cause}"
            return orders.Phase.SHIFTING, ""
        slow_seconds = self._evidence.slow_seconds(now).values()
        drain = max(slow_seconds, default=surroundings.timeout_seconds)
        drain = min(drain, surroundings.timeout_seconds, MAX_DRAIN_FRACTION * duration)
        drain = max(drain, OBSERVED_STEPS * self._step_seconds)
        shift_at = end - min(EARLY_SECONDS, EARLY_FRACTION * duration) - drain
        shift_at -= (len(STEPS) - 1) * self._step_seconds
        latest = min(end, LATEST_SHIFT_FRACTION * duration)
        good = finding is evidence.Finding.GOOD and bool(surroundings.upstreams)
        if good and now >= self._grants_from and shift_at <= elapsed <= latest:
            return orders.Phase.SHIFTING, ""
        if elapsed > latest:
            return orders.Phase.ROLLED_BACK, f"undecided: {cause or 'no upstream is ready'}"
        return orders.Phase.PROBING, ""

    @property
    def _step_seconds(self) -> float:
        """Time for each step of a shifting rollout."""
        seconds = STEP_FRACTION * self._order.duration_seconds
        return min(MAX_STEP_SECONDS, max(MIN_STEP_SECONDS, seconds))

    def _add_tokens(self, count: float) -> None:
        self._tokens = min(self._tokens + count, max(1.0, self._budget.remaining))

    def _wanted(self, sender: str, now: float) -> int:
        """Returns the requests that an entry should get a permission for."""
        entry = self._entries[sender]
        if now < self._grants_from or not self._surroundings.upstreams:
            return 0
        if now - entry.active_at > IDLE_SECONDS:
            return 0
        held = max(0, entry.report.limit - entry.report.exposed)
        wanted = max(1, math.ceil(self._full_share() * entry.new_requests))
        if held >= wanted or not self._permits(now):
            return held
        return min(wanted, held + int(self._tokens))

    def _permits(self, now: float) -> bool:
        """Returns whether requests are permitted now, or the budget has to fill up first."""
        remaining = self._budget.remaining
        if self._open and remaining < 1:
            self._open, self._open_changed_at = False, now
        elif not self._open and remaining >= 1:
            waited = now - self._open_changed_at >= PULSE_WAIT_SECONDS
            if waited or remaining >= PULSE_REQUESTS * self._focus_size():
                self._open, self._open_changed_at = True, now
        return self._open

    def _full_share(self) -> float:
        """Returns the share of requests that gives the upstreams in focus their full load."""
        count = len(self._surroundings.upstreams)
        return self._focus_size() / count if count else 0.0

    def _focus_size(self) -> int:
        count = len(self._surroundings.upstreams)
        return min(count, max(MIN_FOCUS, math.ceil(self._bounds.share * count)))

    def _focus(self, now: float) -> tuple[str, ...]:
        """Returns the upstreams that get requests for now, others after a while."""
        names = sorted(self._surroundings.upstreams)
        size = self._focus_size()
        if size == len(names):
            return ()
        first = int(self.elapsed_seconds(now) / FOCUS_SECONDS) * size
        return tuple(names[(first + offset) % len(names)] for offset in range(size))

    def _route_shares(self, slow_seconds: dict[str, float]) -> dict[str, float]:
        """Returns the share of each route; those with fewer answers go first.

        A route without a usual answer time gets nothing, since a slow version could not be told.
        """
        answers = {route: self._evidence.answers(route) for route in slow_seconds}
        least = min(answers.values(), default=0)
        return {
            route: min(1.0, (least + ROUTE_LEAD) / (count + 1)) for route, count in answers.items()
        }

    def _share(self, now: float) -> float:
        """Returns the share of all requests that a shifting rollout moves."""
        step = int((now - self._shifting_since) / self._step_seconds)
        return STEPS[min(step, len(STEPS) - 1)]

    def _release(self, sender: str, share: float) -> tuple[int, int]:
        """Returns serial and limit of a permission without a limit."""
        entry = self._entries[sender]
        first_whole = share == STEPS[-1] and entry.whole_from is None
        serial, limit = self._budget.release(sender, first_whole)
        if first_whole:
            entry.whole_from = serial
        return serial, limit

    def _has_ended_elsewhere(self, now: float) -> bool:
        """Returns whether no entry sends, or waits for answers of, the other versions any more."""
        steps = len(STEPS) - 1 + OBSERVED_STEPS
        if now < max(self._heard_all_at, self._shifting_since + steps * self._step_seconds):
            return False
        serving = [
            each
            for each in self._entries.values()
            if now - each.reported_at < self._entry_lease_seconds
        ]
        return bool(serving) and all(
            each.whole_from is not None
            and each.report.serial >= each.whole_from
            and not each.report.others_in_flight
            for each in serving
        )
