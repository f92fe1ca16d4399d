"""Rollouts at one entry: to which versions a request may go, and what their answers tell.

Load pattern: a few requests a second at each of many entries, some of which are out of touch with
the leader: a permission to expose requests ends by itself, and without one only the other versions
get requests.
"""

import collections
import dataclasses
import math
import random

from coltsfoothead.kernel.rollouts import orders, permissions
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["Choice", "EntryRollouts", "Sending"]

# Bound of the memory and messages that many routes and upstreams can cause.
MAX_TALLIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """To which upstreams of its service one attempt may go.

    Attributes
    ----------
    rule : Rule or None
        None if no rollout has concerned the service.
    exposed : bool
        Whether it should go to the target version.
    only : bool
        Whether it must not go to another version instead.
    focus : frozenset of str
        The upstreams of the target version that may get it; empty for all.
    """

    rule: orders.Rule | None = None
    exposed: bool = False
    only: bool = False
    focus: frozenset[str] = frozenset()

    def allows(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream may get the request."""
        if self.rule is None:
            return True
        if not self.rule.allows(upstream.version, self.exposed):
            return False
        if not self.exposed or not self.rule.phase.running:
            return True
        return upstream.version == self.rule.target and (
            not self.focus or upstream.id in self.focus
        )


@dataclasses.dataclass(slots=True)
class Sending:
    """A request that an upstream has got and not answered."""

    service: str
    route: str
    upstream: upstreams.Upstream
    began_at: float
    # Whether it was counted as slow while it ran.
    overdue: bool = False


@dataclasses.dataclass(slots=True)
class _Running:
    """Counts of a running rollout, since its order."""

    rule: orders.Rule
    permission: permissions.Permission | None = None
    valid_until: float = float("-inf")
    requests: int = 0
    exposed: int = 0
    tallies: dict[tuple[str, str, str], permissions.Tally] = dataclasses.field(default_factory=dict)
    # Tallies that changed since the last answer, and those in the report under way.
    changed: set[tuple[str, str, str]] = dataclasses.field(default_factory=set)
    reported: set[tuple[str, str, str]] = dataclasses.field(default_factory=set)

    def permits(self, now: float) -> bool:
        """Returns whether a permission is valid."""
        return self.permission is not None and now < self.valid_until

    def may_expose(self, now: float) -> bool:
        """Returns whether the permission covers one more request."""
        return self.permits(now) and self.exposed < self.permission.limit


class EntryRollouts:
    """Rules, permissions and counts of one entry.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rules: dict[str, orders.Rule] = {}
        self._running: dict[str, _Running] = {}
        self._in_flight: dict[str, collections.Counter[str]] = {}
        self._sendings: dict[int, Sending] = {}
        self._reported_at = float("-inf")
        self._leadership = ""

    def choose(
        self,
        service: str,
        route: str,
        now: float,
        first: bool = True,
        bound_version: str | None = None,
    ) -> Choice:
        """Returns to which upstreams an attempt may go.

        Parameters
        ----------
        service, route : str
        now : float
            Steady time in seconds.
        first : bool, optional
            Whether it is the first attempt of its request. Further ones go to the target version
            only if all requests do.
        bound_version : str or None, optional
            The version that has to continue the request's stream.
        """
        rule = self._rules.get(service)
        if rule is None:
            return Choice()
        running = self._running.get(service)
        if running is None:
            return Choice(rule)
        if not running.may_expose(now):
            return Choice(rule)
        permission = running.permission
        if bound_version is not None:
            return Choice(rule, bound_version == rule.target, only=True)
        share = permission.shares.get(route, permission.shares.get("", 0.0))
        if share < 1.0 and (not first or self._rng.random() >= share):
            return Choice(rule)
        # Without a limit all requests move; a limited one rather goes to another version than
        # nowhere.
        whole = share >= 1.0 and permission.limit == permissions.UNLIMITED
        return Choice(rule, True, whole, frozenset(permission.upstreams))

    def begin(
        self,
        service: str,
        route: str,
        upstream: upstreams.Upstream,
        now: float,
        first: bool = True,
    ) -> Sending | None:
        """Counts a request that is about to be sent; returns None if it must not be.

        Rules and permissions may have changed since the choice. Only first attempts count as
        requests to the service: those that are refused here never reach it.
        """
        rule = self._rules.get(service)
        running = self._running.get(service)
        if rule is not None:
            exposed = running is not None and running.may_expose(now)
            if not rule.allows(upstream.version, exposed):
                return None
            if running is not None and upstream.version == rule.target:
                running.exposed += 1
        if running is not None and first:
            running.requests += 1
        sending = Sending(service, route, upstream, now)
        self._sendings[id(sending)] = sending
        self._in_flight.setdefault(service, collections.Counter())[upstream.version] += 1
        return sending

    def end(self, sending: Sending, now: float, failed: bool = False, broken: bool = False) -> None:
        """Records that an upstream answered a request, well or with a failure."""
        if not self._close(sending):
            return
        running = self._running.get(sending.service)
        if running is None:
            return
        seconds = max(0.001, now - sending.began_at)
        limit = running.permission.slow_seconds.get(sending.route) if running.permission else None
        slow = limit is not None and seconds > limit
        if (failed or broken) and not sending.overdue:
            self._count(running, sending, failed=int(failed), broken=int(broken and not failed))
        elif failed or broken:
            return
        elif sending.overdue:
            self._count(running, sending, log_seconds=math.log(seconds))
        else:
            self._count(running, sending, answered=1, slow=int(slow), log_seconds=math.log(seconds))

    def abandon(self, sending: Sending) -> None:
        """Records that a request ended for a reason that tells nothing about its upstream."""
        self._close(sending)

    def report(self, now: float, leadership: str) -> permissions.EntryReport | None:
        """Returns what the leader should know; None if there are no rollouts.

        Parameters
        ----------
        now : float
        leadership : str
            The leader's term that this entry knows; a new one gets all counts.
        """
        self._reported_at = now
        if not self._rules:
            return None
        self._count_overdue(now)
        renewed, self._leadership = leadership != self._leadership, leadership
        services = []
        for service, running in self._running.items():
            if renewed:
                running.changed.update(running.tallies)
            running.reported, running.changed = running.changed | running.reported, set()
            permission = running.permission
            in_flight = self._in_flight.get(service, collections.Counter())
            services.append(
                permissions.ServiceReport(
                    service,
                    running.rule.number,
                    permission.serial if permission else 0,
                    permission.limit if permission else 0,
                    running.requests,
                    running.exposed,
                    in_flight.total() - in_flight[running.rule.target],
                    tuple(running.tallies[key] for key in sorted(running.reported)),
                )
            )
        known = permissions.digest(tuple(self._rules.values()))
        return permissions.EntryReport(known, tuple(services))

    def receive(self, answer: permissions.EntryAnswer, leadership: str) -> list[orders.Rule]:
        """Applies the leader's answer to the last report; returns the rules that changed."""
        changed = []
        if answer.rules is not None:
            rules = {each.service: each for each in answer.rules}
            changed = [each for name, each in rules.items() if self._rules.get(name) != each]
            self._rules = rules
            for service in [name for name in self._running if not self._runs(rules.get(name))]:
                del self._running[service]
            for each in rules.values():
                self._follow(each)
        for running in self._running.values():
            if leadership == self._leadership:
                running.reported = set()
        for permission in answer.permissions:
            running = self._running.get(permission.service)
            if running is not None and running.rule.number == permission.number:
                running.permission = permission
                running.valid_until = self._reported_at + permission.seconds
        return changed

    @staticmethod
    def _runs(rule: orders.Rule | None) -> bool:
        return rule is not None and rule.phase.running

    def _follow(self, rule: orders.Rule) -> None:
        """Keeps the counts of a rollout that goes on, and begins those of a new one."""
        if not rule.phase.running:
            return
        running = self._running.get(rule.service)
        if running is None or running.rule.number != rule.number:
            self._running[rule.service] = _Running(rule)
        else:
            running.rule = rule

    def _close(self, sending: Sending) -> bool:
        if self._sendings.pop(id(sending), None) is None:
            return False
        self._in_flight[sending.service][sending.upstream.version] -= 1
        return True

    def _count_overdue(self, now: float) -> None:
        """Counts requests as slow that already take longer than slow answers."""
        if not self._running:
            return
        for sending in self._sendings.values():
            running = self._running.get(sending.service)
            if running is None or running.permission is None or sending.overdue:
                continue
            limit = running.permission.slow_seconds.get(sending.route)
            if limit is not None and now - sending.began_at > limit:
                sending.overdue = True
                self._count(running, sending, answered=1, slow=1)

    def _count(
        self,
        running: _Running,
        sending: Sending,
        answered: int = 0,
        failed: int = 0,
        broken: int = 0,
        slow: int = 0,
        log_seconds: float = 0.0,
    ) -> None:
        is_target = sending.upstream.version == running.rule.target
        name = sending.upstream.id if is_target else ""
        key = (sending.route, sending.upstream.zone, name)
        tally = running.tallies.get(key)
        if tally is None:
            if len(running.tallies) >= MAX_TALLIES:
                return
            tally = permissions.Tally(*key)
        running.tallies[key] = tally._replace(
            answered=tally.answered + answered,
            failed=tally.failed + failed,
            broken=tally.broken + broken,
            slow=tally.slow + slow,
            log_seconds=round(tally.log_seconds + log_seconds, 4),
        )
        running.changed.add(key)
