"""Sends a request to an upstream and decides whether a failed attempt is retried at another."""

import asyncio
import dataclasses
import random
from collections.abc import Sequence

from coltsfoothead.daemon.gateway import (
    admission,
    clock,
    directory,
    eventlog,
    failures,
    loads,
    pathmonitor,
    ports,
    promptguard,
    relayclient,
    requeststate,
    transmission,
    upstreamnotices,
    upstreamstarts,
)
from coltsfoothead.daemon.gateway.pacing import entrypacing
from coltsfoothead.daemon.gateway.rollouts import versionchoice
from coltsfoothead.daemon.gateway.sharing import requestshares
from coltsfoothead.daemon.gateway.speeds import entryside
from coltsfoothead.daemon.gateway.waiting import room
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.kernel.traffic import (
    overload,
    placement,
    repeats,
    requestlimits,
    streamorigins,
    upstreams,
)
from coltsfoothead.kernel.waiting import appointments

__all__ = ["Attempt", "Sender"]

# Upstreams that are tried for one request while none accepts a connection; nothing has been sent.
MAX_CONNECT_ATTEMPTS = 4
# Least time until the deadline at which a retry can still succeed.
MIN_RETRY_SECONDS = 0.1
# Least time after which a caller beyond its organisation's share should return, and the factor by
# which such times are spread.
MIN_SHARE_RETURN_SECONDS = 0.2
SHARE_RETURN_SPREAD = 1.3


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request sent to one upstream whose response head has arrived."""

    upstream_id: str
    answer: http_client.StreamedResponse | relayclient.RelayedResponse
    head: ports.ResponseHead
    tracked: loads.TrackedRequest
    watch: entryside.Watch

    def close(self) -> None:
        """Ends the attempt; a response that was not read to its end is aborted."""
        self.answer.close()
        self.tracked.end()
        self.watch.finish()


class Sender:
    """Selects upstreams, sends requests and decides on retries.

    Parameters
    ----------
    dialect : CallerDialect
    client : Client
    directory_copy : DirectoryCopy
    distances : Distances
        Distances from the zone of this entry.
    retry_budget : RetryBudget
        Budget of retries.
    request_admission : Admission
        Makes the refusals that tell a caller when to retry.
    policy : Policy
        Placement policy that chooses among the upstreams.
    tracker : LoadTracker
    guard : PromptGuard
    limits : EntryLimits
        Limits of the requests that upstreams have named.
    notices : UpstreamNotices
        What upstreams have said in their answers.
    paths : PathMonitor
        Knows which upstreams this entry reaches.
    relays : RelayClient
        Passes requests to upstreams through other entries.
    starts : UpstreamStarts
        Knows whether the directory is right about the upstream that a request reaches.
    events : EventLog
    rng : random.Random
    speeds : SpeedMonitor
        Learns the speeds of upstreams, and knows those learned so far.
    shares : RequestShares, optional
        Shares of the organisations; None if they are not limited while room is short.
    pacing : EntryPacing, optional
        Windows of upstreams that have started or returned; off by default.
    waiting : WaitingRoom, optional
        Where requests wait that are refused for overload; None if they are answered at once.
    versions : VersionChoice, optional
        Applies the rollouts; without it all versions of a service get requests.
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        client: http_client.Client,
        directory_copy: directory.DirectoryCopy,
        distances: placement.Distances,
        retry_budget: repeats.RetryBudget,
        request_admission: admission.Admission,
        policy: placement.Policy,
        tracker: loads.LoadTracker,
        guard: promptguard.PromptGuard,
        limits: requestlimits.EntryLimits,
        notices: upstreamnotices.UpstreamNotices,
        paths: pathmonitor.PathMonitor,
        relays: relayclient.RelayClient,
        starts: upstreamstarts.UpstreamStarts,
        events: eventlog.EventLog,
        rng: random.Random,
        speeds: entryside.SpeedMonitor,
        shares: requestshares.RequestShares | None = None,
        pacing: entrypacing.EntryPacing | None = None,
        waiting: room.WaitingRoom | None = None,
        versions: versionchoice.VersionChoice | None = None,
    ) -> None:
        self._speeds = speeds
        self.versions = versions or versionchoice.VersionChoice()
        self._dialect = dialect
        self._client = client
        self._directory = directory_copy
        self._distances = distances
        self._retry_budget = retry_budget
        self._admission = request_admission
        self._events = events
        self._rng = rng
        self._shares = shares
        self._waiting = waiting
        self._policy = policy
        self._entry_count = 1
        self.loads = tracker
        self.guard = guard
        self._limits = limits
        self._notices = notices
        self._paths = paths
        self._relays = relays
        self.starts = starts
        self.pacing = pacing or entrypacing.EntryPacing(False, tracker)
        self._transmitter = transmission.Transmitter(dialect, client, paths, relays, tracker)
        directory_copy.add_listener(self._on_upstream_change)
        if waiting is not None:
            tracker.set_listener(self._on_load_fall)

    def set_entry_count(self, entry_count: int) -> None:
        """Sets the number of entries that share the retry budget."""
        self._entry_count = max(1, entry_count)

    async def attempt(
        self, state: requeststate.RequestState, last_event_id: str | None = None
    ) -> Attempt:
        """Sends a request to the best upstream and waits for its response head.

        Raises
        ------
        RefusedError
            If there is no upstream, if all of them are overloaded, if a part of the prompt is
            quarantined, or if this entry is about to stop.
        AttemptFailedError
            If the upstream cannot be reached, breaks the connection, or refuses the request.
        """
        while True:
            if self._waiting is None:
                chosen, prompt = await self._select_version(state)
            else:
                chosen, prompt = await self._waiting.select(state, self._select_version)
            await self.guard.ensure_may_be_sent(state)
            self._admission.ensure_may_start(state)
            upstream = chosen.upstream
            if self.versions.begin(state, upstream):
                break
        self._limits.take(upstream.id, clock.steady())
        state.upstream_id = upstream.id
        state.upstream_version = upstream.version
        state.upstream_born = upstream.born
        state.upstream_load = chosen.load
        state.relayed = chosen.relayed
        state.load_age_seconds = self.loads.other_loads_age_seconds(clock.steady())
        state.excluded_upstreams.add(upstream.id)
        state.attempt_began_at = None
        state.attempt_sound = False
        unread_tokens = 0
        if prompt is not None:
            unread_tokens = prompt.own_tokens + prompt.missing_tokens(upstream, chosen.speed)
        source = self._kv_source_address(prompt, chosen)
        # The start of a stream that is resumed, relayed, copied or sent to another region takes
        # time that is not the upstream's.
        indirect = chosen.relayed or source is not None or chosen.distance > 1
        starts_late = indirect or last_event_id is not None
        watch = self._speeds.watch(state, chosen, None if starts_late else unread_tokens)
        tracked = self.loads.track(upstream.id, unread_tokens, state.prompt is not None)
        self.pacing.begin(state)
        try:
            answer = await self._transmitter.send(state, chosen, last_event_id, source)
        except BaseException:
            tracked.end()
            raise
        head = self._dialect.decode_response_head(answer.status, answer.headers)
        self._record_limit(upstream.id, head)
        self._notices.record(upstream, head)
        if not head.not_run:
            return Attempt(upstream.id, answer, head, tracked, watch)
        answer.close()
        tracked.end()
        if head.misdirected:
            self.loads.record_failure(upstream.id, clock.steady(), weight=4.0)
        raise failures.AttemptFailedError(
            f"upstream refused the request with status {head.status}", not_run=True
        )

    def _record_limit(self, upstream_id: str, head: ports.ResponseHead) -> None:
        rate = head.requests_per_second
        if rate is None and (head.not_run or head.status >= 500):
            # Such an answer does not tell that the need has ended.
            return
        if self._limits.record_answer(upstream_id, rate, clock.steady()):
            self._events.write("upstream_limit", upstream=upstream_id, rate=rate)

    def ensure_retry(
        self, state: requeststate.RequestState, failure: failures.AttemptFailedError
    ) -> None:
        """Records a failed attempt and reserves a further one.

        Raises
        ------
        RefusedError
            If no further attempt may be made.
        """
        self.record_failure(state, failure, 0.3 if failure.not_run else 1.0)
        if not failure.sent:
            if len(state.excluded_upstreams) < MAX_CONNECT_ATTEMPTS:
                return
        elif self.reserve_retry(state, failure.not_run):
            return
        if state.may_have_run:
            raise failures.RefusedError(self.guard.failure_refusal(state), failure.cause)
        raise self._admission.retryable_refusal(
            ports.RefusalReason.OVERLOADED, failure.cause, self._pause_seconds(state)
        )

    def settle_share(self, state: requeststate.RequestState) -> None:
        """Refunds the share of a request that has ended and did not run."""
        if self._shares is not None:
            self._shares.settle(state)

    def can_retry(self, state: requeststate.RequestState) -> bool:
        """Returns whether a stream that an upstream no longer continues could be resumed."""
        return self._may_be_sent_again(state, False) and self._retry_budget.allows(
            state.service, self._entry_count, clock.steady()
        )

    def reserve_retry(self, state: requeststate.RequestState, not_run: bool) -> bool:
        """Returns whether the request may be retried; if so, charges the retry budget."""
        return self._may_be_sent_again(state, not_run) and self._retry_budget.try_spend(
            state.service, self._entry_count, clock.steady()
        )

    def _may_be_sent_again(self, state: requeststate.RequestState, not_run: bool) -> bool:
        """Returns whether kind, attempts and deadline of a request permit a further attempt."""
        remaining_seconds = state.deadline - asyncio.get_running_loop().time()
        return (
            (not_run or state.route.idempotent)
            and state.sent_count < state.route.max_upstreams
            and remaining_seconds >= MIN_RETRY_SECONDS
            and (not state.bound_to_version or bool(self._untried_upstreams(state)))
            and self.guard.may_be_repeated(state)
        )

    def record_failure(
        self,
        state: requeststate.RequestState,
        failure: failures.AttemptFailedError,
        weight: float,
    ) -> None:
        """Records that the last attempt of a request failed at its upstream."""
        assert state.upstream_id is not None
        self.pacing.record_failure(state, failure)
        upstream = self._directory.records.get(state.upstream_id)
        # A relayed attempt may have failed on the way to the upstream.
        if failure.sent and (failure.not_run or not state.relayed):
            self.loads.record_failure(state.upstream_id, clock.steady(), weight)
        if failure.sent and not failure.not_run and not state.relayed and upstream is not None:
            self._paths.record_break(upstream)
        if failure.closed and upstream is not None:
            self.guard.record_close(state, upstream)
        self._events.write(
            "attempt_failed",
            id=state.caller_request.id,
            upstream=state.upstream_id,
            sent=state.sent_count,
            cause=failure.cause,
            closed=failure.closed,
            began=state.attempt_began_at is not None,
            contact_s=self._contact_age_seconds([upstream] if upstream is not None else []),
            service_contact_s=self._contact_age_seconds(
                self._directory.ready_upstreams(state.service)
            ),
            digest=state.request_digest,
            parts=state.shared_part_ids[: requeststate.MAX_LOGGED_PARTS],
        )

    def _contact_age_seconds(self, candidates: Sequence[upstreams.Upstream]) -> float | None:
        """Returns the time since any of some upstreams sent this entry data, or accepted it."""
        ages = [self._client.contact_age_seconds(each.address) for each in candidates]
        return min((round(age, 2) for age in ages if age is not None), default=None)

    def _prompt_with_holders(self, state: requeststate.RequestState) -> placement.Prompt | None:
        """Returns the prompt with the upstreams that hold its shared prefix in their KV caches."""
        prompt = state.prompt
        if prompt is None:
            return None
        holder_ages = self.loads.prefix_holders(prompt.shared_key, clock.steady())
        ready = {each.id: each for each in self._directory.ready_upstreams(state.service)}
        holders = {name: age for name, age in holder_ages.items() if name in ready}
        groups = frozenset((ready[name].version, ready[name].zone) for name in holders)
        return dataclasses.replace(
            prompt,
            holders=holders,
            holder_groups=groups,
            transfer_seconds=(
                state.engine.transfer_seconds(prompt.shared_tokens) if state.engine else None
            ),
            pause_seconds=state.route.gap_seconds or placement.DEFAULT_PAUSE_SECONDS,
        )

    def _kv_source_address(
        self, prompt: placement.Prompt | None, candidate: placement.Candidate
    ) -> str | None:
        """Returns the address from which the chosen upstream should copy the shared prefix."""
        chosen = candidate.upstream
        if prompt is None or prompt.copy_seconds(chosen, candidate.speed) is None:
            return None
        records = [self._directory.records[name] for name in prompt.holders]
        holder_records = [each for each in records if each.version == chosen.version]
        best_source = min(
            holder_records, key=lambda each: (each.zone != chosen.zone, prompt.holders[each.id])
        )
        return best_source.address

    def _untried_upstreams(self, state: requeststate.RequestState) -> list[upstreams.Upstream]:
        """Returns the upstreams that may serve a request and have not been tried for it."""
        untried = [
            each
            for each in self._directory.ready_upstreams(state.service)
            if each.id not in state.excluded_upstreams
            and not self._notices.leaves(each)
            and (not state.bound_to_version or self._continues(each, state.origin))
        ]
        return self.versions.filter(state, untried)

    def _continues(self, upstream: upstreams.Upstream, origin: streamorigins.Origin | None) -> bool:
        """Returns whether an upstream surely has the version that began a stream."""
        return (
            origin is not None
            and upstream.version == origin.version
            and self.starts.reaches_listed(upstream)
        )

    def _candidates(
        self, state: requeststate.RequestState, relayed: bool, overrides: bool = True
    ) -> list[placement.Candidate]:
        """Returns the upstreams that may get a request directly, or through other entries.

        Windows are overridden, if `overrides`, where they admit a request at none.
        """
        now = clock.steady()
        reaches = self._paths.needs_peer if relayed else self._paths.usable
        untried = [
            each
            for each in self._untried_upstreams(state)
            if self._may_send(each) and reaches(each)
        ]
        untried = self.pacing.preferred(untried, overrides)
        due = [
            each
            for each in untried
            if self._limits.probe_due(each.id, now)
            and self.loads.load(each.id).waiting < overload.ALWAYS_ADMITTED_WAITING
        ]
        return [
            placement.Candidate(
                each,
                self.loads.load(each.id),
                self._distances.distance(each.zone),
                self.loads.failure_weight(each.id, now),
                relayed,
                self._speeds.rates(each),
            )
            for each in due or untried
        ]

    async def _select_version(
        self, state: requeststate.RequestState
    ) -> tuple[placement.Candidate, placement.Prompt | None]:
        """Selects an upstream as `_select_upstream`, of a version that rollouts allow."""
        self.versions.choose(state)
        exposed = state.choice is not None and state.choice.exposed
        if exposed and not self._untried_upstreams(state):
            self.versions.fall_back(state, refused=False)
        try:
            return await self._select_upstream(state)
        except failures.RefusedError:
            if not self.versions.fall_back(state, refused=True):
                raise
        return await self._select_upstream(state)

    async def _select_upstream(
        self, state: requeststate.RequestState
    ) -> tuple[placement.Candidate, placement.Prompt | None]:
        """Returns the upstream for a request, and the prompt with the holders of its prefix.

        Raises
        ------
        RefusedError
            If there is no upstream, or all of them are overloaded.
        """
        while True:
            prompt = self._prompt_with_holders(state)
            chosen = self._policy.choose(self._candidates(state, False), prompt, self._rng)
            refused = self._refusal(state, chosen, prompt)
            unreachable = False
            if refused is not None and (cut_off := self._candidates(state, True, chosen is None)):
                if await self._relays.find_peers(state.service):
                    chosen = self._policy.choose(cut_off, prompt, self._rng)
                    refused = self._refusal(state, chosen, prompt)
                elif chosen is None:
                    unreachable = True
                    refused = self._admission.retryable_refusal(
                        ports.RefusalReason.UNREACHABLE,
                        f"no path to the {len(cut_off)} upstreams of {state.service}",
                    )
            if chosen is not None and refused is None:
                return chosen, prompt
            at_limits = chosen is None and self._has_limited_upstream(state)
            if unreachable or at_limits or not await self._directory.wait_for_change():
                assert refused is not None
                if state.may_have_run:
                    refusal = ports.Refusal(ports.RefusalReason.UPSTREAM_FAILED)
                    raise failures.RefusedError(refusal, refused.cause)
                raise refused

    def _refusal(
        self,
        state: requeststate.RequestState,
        chosen: placement.Candidate | None,
        prompt: placement.Prompt | None,
    ) -> failures.RefusedError | None:
        """Returns the refusal of a request that cannot be sent, or None if it can."""
        if chosen is None:
            if self._has_limited_upstream(state):
                cause = f"the upstreams of {state.service} accept no more requests for now"
                refused = self._admission.retryable_refusal(
                    ports.RefusalReason.OVERLOADED,
                    cause,
                    self._pause_seconds(state),
                )
                return failures.AtLimitsError(refused.refusal, cause)
            cause = f"no upstream of {state.service} among {len(self._directory.records)} known"
            if state.origin is not None:
                cause += f" has version {state.origin.version!r}"
                return self._admission.retryable_refusal(
                    ports.RefusalReason.STREAM_VERSION_GONE, cause
                )
            boot_seconds = state.boot_seconds or 0.0
            return self._admission.retryable_refusal(
                ports.RefusalReason.NO_UPSTREAM, cause, boot_seconds / 2, boot_seconds
            )
        if state.sent_count or state.origin is not None:
            # The work on its answer has begun, and would be lost.
            return None
        verdict = overload.decide_admission(state.route, chosen, state.prompt)
        if self._shares is not None and prompt is not None:
            cause = self._shares.refusal_cause(state, chosen, prompt, verdict)
            if cause is not None:
                return self._share_refusal(state, cause)
        if verdict.admitted:
            return None
        if self._shares is not None:
            self._shares.refund(state)
        refused = self._admission.retryable_refusal(ports.RefusalReason.OVERLOADED)
        return failures.OverloadedError(refused.refusal, verdict)

    def _share_refusal(self, state: requeststate.RequestState, cause: str) -> failures.RefusedError:
        """Returns the refusal of a request beyond its organisation's share.

        It does not wait here, where it would hold back the requests of other organisations.
        """
        assert state.share is not None
        remaining_seconds = state.deadline - asyncio.get_running_loop().time()
        spread = self._rng.uniform(1.0, SHARE_RETURN_SPREAD)
        delay_seconds = min(
            spread * max(MIN_SHARE_RETURN_SECONDS, state.share.seconds),
            appointments.latest_return(remaining_seconds),
        )
        return failures.RefusedError(
            ports.Refusal(ports.RefusalReason.OVERLOADED, delay_seconds), cause
        )

    def _may_send(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the upstream's own notices allow a request now."""
        return self._forbidding_notice(upstream) is None

    def _forbidding_notice(self, upstream: upstreams.Upstream) -> str | None:
        """Returns the notice of an upstream that forbids a request now, or None."""
        now = clock.steady()
        if not self._limits.may_send(upstream.id, now):
            return "limit"
        if self._notices.pauses(upstream):
            return "pause"
        may_send = self._notices.brittle.may_send(
            upstream,
            self.loads.own_loads.get(upstream.id, placement.Load()),
            self.loads.load(upstream.id),
            self.loads.other_loads_age_seconds(now),
            self._entry_count,
            now,
        )
        return None if may_send else "brittle"

    def _pause_seconds(self, state: requeststate.RequestState) -> float:
        """Returns the time until the first upstream of a service ends the pause it asked for."""
        return self._notices.pause_seconds(self._directory.ready_upstreams(state.service))

    def _has_limited_upstream(self, state: requeststate.RequestState) -> bool:
        return any(not self._may_send(each) for each in self._untried_upstreams(state))

    def _on_upstream_change(self, upstream: upstreams.Upstream) -> None:
        self._events.write(
            "upstream",
            id=upstream.id,
            service=upstream.service,
            state=upstream.state.value,
            version=upstream.version,
            zone=upstream.zone,
            born=upstream.born,
            sequence=upstream.sequence,
        )
        if upstream.state is upstreams.State.GONE:
            self.loads.remove_upstream(upstream.id)
            self._speeds.remove_upstream(upstream.id)
        if self._waiting is not None:
            self._waiting.release(upstream.service)

    def _on_load_fall(self, upstream_id: str) -> None:
        """Tries a waiting request once an upstream has less to do."""
        upstream = self._directory.records.get(upstream_id)
        if self._waiting is not None and upstream is not None:
            self._waiting.release(upstream.service)
