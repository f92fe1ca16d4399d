"""An entry's share in the quarantine of prompt parts and requests on which upstreams crash."""

import asyncio
import collections
import copy
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from coltsfoothead.daemon.gateway import clock, eventlog, failures, loads, ports, requeststate
from coltsfoothead.kernel.traffic import quarantine, upstreams

__all__ = ["ObservedAttempt", "PromptGuard", "log_change"]

# An answer that breaks off within this time of its first event is a crash at its beginning.
BEGINNING_SECONDS = 0.3
# Time within which the other connections to an upstream that has crashed break off, too. A packet
# that was lost is sent again after 0.2 s.
CONFIRM_SECONDS = 0.3
# Random part of the delay after which a caller whose prompt is quarantined should return.
RETURN_SPREAD_SECONDS = 5.0
# Range of the delay after which a caller should repeat a request that is suspected of crashing
# upstreams: by then all entries know about the crashes.
TRIAL_RETURN_SECONDS = (1.0, 2.0)
# Attempts of one request that may crash upstreams before it is given up.
MAX_CRASHED_ATTEMPTS = 2
# An answer that arrives later than this after another connection was closed was not yet under way
# then, so that its upstream still runs.
ANSWER_DELAY_SECONDS = 0.1
# Upstreams whose latest answer is remembered.
MAX_ANSWERED_UPSTREAMS = 1024


class ObservedAttempt(Protocol):
    """What is known of an attempt at an upstream; see `requeststate.RequestState`."""

    caller_request: ports.CallerRequest
    upstream_id: str | None
    attempt_began_at: float | None
    attempt_sound: bool
    crashed_attempts: int

    @property
    def request_digest(self) -> str:
        """Digest of the request."""

    @property
    def part_ids(self) -> tuple[str, ...]:
        """IDs of all parts to which a crash may be attributed."""

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """IDs of the prompt's parts that other requests may share."""


class PromptGuard:
    """Refuses quarantined requests and prompt parts, and observes on which upstreams crash.

    Parameters
    ----------
    tracker : LoadTracker
    request_probe : callable
        Asks the leader whether a request may probe a part, or be tried, at the upstreams of a
        service. Returns None if no leader answers.
    is_isolated : callable
        Returns whether this entry seems to be cut off from a service, so that upstreams of it that
        close their connections have not crashed.
    events : EventLog
    rng : random.Random
    """

    def __init__(
        self,
        tracker: loads.LoadTracker,
        request_probe: Callable[[str, str], Awaitable[bool | None]],
        is_isolated: Callable[[str], bool],
        events: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._loads = tracker
        self._request_probe = request_probe
        self._is_isolated = is_isolated
        self._events = events
        self._rng = rng
        self._table = quarantine.QuarantineTable()
        self._observer = quarantine.PartObserver(self._table)
        self._answered_at: collections.OrderedDict[str, float] = collections.OrderedDict()

    def with_generator(self, rng: random.Random) -> "PromptGuard":
        """Returns a guard with the same quarantines that draws from another generator."""
        guard = copy.copy(self)
        guard._rng = rng
        return guard

    def report(self) -> quarantine.PartReport:
        """Returns the report for the leader."""
        return self._observer.report(clock.steady())

    def receive(self, decisions: quarantine.PartDecisions) -> None:
        """Applies the leader's answer."""
        for state in self._observer.receive(decisions, clock.steady()):
            log_change(self._events, state)

    def may_be_repeated(self, state: requeststate.RequestState) -> bool:
        """Returns whether an attempt may be repeated at another upstream.

        Probes, trials and requests that seem to have crashed several upstreams are not repeated.
        """
        return (
            state.crashed_attempts < MAX_CRASHED_ATTEMPTS
            and not self._observer.needs_trial(state.request_part_id, clock.steady())
            and self._table.active(state.part_ids, clock.steady()) is None
        )

    def ensure_admissible(self, part_ids: tuple[str, ...]) -> None:
        """Checks that no part of a prompt is quarantined, or that it may be probed.

        Raises
        ------
        RefusedError
            If a part may not be probed yet.
        """
        state = self._table.active(part_ids, clock.steady())
        if state is not None and state.remaining_seconds > 0:
            raise self._refusal(state)

    def failure_refusal(self, state: requeststate.RequestState) -> ports.Refusal:
        """Returns the refusal of a request that failed, and that an upstream may have run."""
        delay_seconds = None
        if state.crashed_attempts >= MAX_CRASHED_ATTEMPTS:
            delay_seconds = self._rng.uniform(*TRIAL_RETURN_SECONDS)
        return ports.Refusal(ports.RefusalReason.UPSTREAM_FAILED, delay_seconds)

    async def ensure_may_be_sent(self, state: requeststate.RequestState) -> None:
        """Checks right before an attempt that no part of the prompt is quarantined.

        A part may have been quarantined while the request waited. Once a quarantine has run out,
        the leader decides whether the request may probe the part. It also decides on each attempt
        of a request that is suspected of crashing upstreams.

        Raises
        ------
        RefusedError
            If the request may not be sent.
        """
        held = self._table.active(state.part_ids, clock.steady())
        if held is None:
            await self._ensure_trial_granted(state)
            return
        may_probe = not state.sent_count and held.remaining_seconds <= 0
        if may_probe and await self._request_probe(held.part_id, state.service):
            self._events.write("part_probed", id=state.caller_request.id, part=held.part_id)
            return
        if state.may_have_run:
            raise failures.RefusedError(self.failure_refusal(state), _cause(held))
        raise self._refusal(held)

    async def _ensure_trial_granted(self, state: requeststate.RequestState) -> None:
        part_id = state.request_part_id
        if not self._observer.needs_trial(part_id, clock.steady()):
            return
        if await self._request_probe(part_id, state.service):
            self._events.write("request_tried", id=state.caller_request.id, part=part_id)
            return
        refusal = self.failure_refusal(state)
        if not state.may_have_run:
            delay_seconds = self._rng.uniform(*TRIAL_RETURN_SECONDS)
            refusal = ports.Refusal(ports.RefusalReason.QUARANTINED, delay_seconds)
        raise failures.RefusedError(refusal, f"upstreams crashed under {part_id}; no trial now")

    def record_progress(self, state: ObservedAttempt, now: float) -> None:
        """Records that an attempt brought events at event loop time `now`."""
        began_at = state.attempt_began_at
        if state.attempt_sound or began_at is None or now - began_at < BEGINNING_SECONDS:
            return
        self.record_answer(state)

    def record_answer(self, state: ObservedAttempt) -> None:
        """Records that an upstream answers a request, or has answered it."""
        state.attempt_sound = True
        now = clock.steady()
        self._observer.record_start(state.part_ids, now)
        if state.upstream_id is not None:
            self._answered_at[state.upstream_id] = now
            self._answered_at.move_to_end(state.upstream_id)
        if len(self._answered_at) > MAX_ANSWERED_UPSTREAMS:
            self._answered_at.popitem(last=False)

    def record_close(self, state: ObservedAttempt, upstream: upstreams.Upstream) -> None:
        """Records that an upstream closed the connection of an attempt.

        If that was before or at the beginning of the answer, the upstream has crashed, unless other
        connections to it are still open soon after, or it answers another request.
        """
        if state.attempt_sound:
            return
        state.crashed_attempts += 1
        part_ids, closed_at = state.part_ids, clock.steady()
        others = self._loads.active_requests(upstream.id)

        def confirm() -> None:
            answered_at = self._answered_at.get(upstream.id, float("-inf"))
            has_answered = answered_at > closed_at + ANSWER_DELAY_SECONDS
            if has_answered or others & self._loads.active_requests(upstream.id):
                return
            if self._is_isolated(upstream.service):
                return
            self._observer.record_crash(part_ids, quarantine.upstream_key(upstream), closed_at)
            self._events.write(
                "upstream_crashed",
                id=state.caller_request.id,
                upstream=upstream.id,
                digest=state.request_digest,
                parts=state.shared_part_ids[: requeststate.MAX_LOGGED_PARTS],
            )

        asyncio.get_running_loop().call_later(CONFIRM_SECONDS, confirm)

    def _refusal(self, held: quarantine.Quarantine) -> failures.RefusedError:
        delay_seconds = max(0.0, held.remaining_seconds)
        delay_seconds += self._rng.uniform(1.0, RETURN_SPREAD_SECONDS)
        refusal = ports.Refusal(ports.RefusalReason.QUARANTINED, delay_seconds)
        return failures.RefusedError(refusal, _cause(held))


def log_change(events: eventlog.EventLog, state: quarantine.Quarantine) -> None:
    """Writes a log line about a new state of a quarantine."""
    events.write(
        "part_released" if state.released else "part_quarantined",
        part=state.part_id,
        revision=state.revision,
        strikes=state.strikes,
        seconds=round(state.remaining_seconds, 1),
    )


def _cause(held: quarantine.Quarantine) -> str:
    return f"upstreams crash on {held.part_id}; quarantine {held.strikes}"
