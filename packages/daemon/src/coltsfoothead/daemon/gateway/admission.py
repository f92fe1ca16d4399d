"""Admission of a request: matches its route, authenticates it and charges the quota."""

import random
from collections.abc import Callable

from coltsfoothead.daemon.gateway import (
    allowances,
    documentcopy,
    failures,
    originlookup,
    ports,
    promptguard,
    requeststate,
)
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import document, placement, quota, routetable

__all__ = ["Admission", "RETRY_AFTER_SECONDS"]

# The deadline is earlier by this much, so that the time-out response reaches the caller in time.
RESPONSE_MARGIN_SECONDS = 0.02
# Ranges of the delay after which a refused caller should retry, in seconds. The delay is random, so
# that callers that were refused together do not retry together. Callers retry once or a few times
# only, so the delay covers the time in which the cause probably ends.
RETRY_AFTER_SECONDS = {
    # Another entry can serve the caller at once.
    ports.RefusalReason.STOPPING: (0.05, 0.3),
    # An election and one exchange with the leader.
    ports.RefusalReason.NOT_READY: (1.0, 2.0),
    # One interval of the announcements.
    ports.RefusalReason.NO_UPSTREAM: (0.5, 1.5),
    # No entry that answers reaches the service; most partitions and pauses end within seconds.
    ports.RefusalReason.UNREACHABLE: (0.5, 2.0),
    # One interval of the announcements, as an upstream of the version may return.
    ports.RefusalReason.STREAM_VERSION_GONE: (0.5, 1.5),
    # Waiting prompts are processed within about two seconds.
    ports.RefusalReason.OVERLOADED: (0.5, 2.5),
    # An empty token bucket refills at the quota's rate.
    ports.RefusalReason.OVER_QUOTA: (0.5, 2.5),
}


class Admission:
    """Admits or refuses requests at one entry.

    Parameters
    ----------
    documents : DocumentCopy
    quota_allowances : Allowances
    guard : PromptGuard
    origins : OriginLookup
    rng : random.Random
    """

    def __init__(
        self,
        documents: documentcopy.DocumentCopy,
        quota_allowances: allowances.Allowances,
        guard: promptguard.PromptGuard,
        origins: originlookup.OriginLookup,
        rng: random.Random,
    ) -> None:
        self._documents = documents
        self._allowances = quota_allowances
        self._guard = guard
        self._origins = origins
        self._rng = rng
        self._stopped = False

    def stop(self) -> None:
        """Refuses requests that have not been sent to an upstream from now on."""
        self._stopped = True

    def ensure_may_start(self, state: requeststate.RequestState) -> None:
        """Checks right before the first attempt of a request that this entry does not stop.

        The request may have waited since it was admitted, and another entry can serve it.

        Raises
        ------
        RefusedError
            If this entry is about to stop.
        """
        if self._stopped and not state.sent_count:
            raise self.retryable_refusal(ports.RefusalReason.STOPPING)

    def stopping_refusal(self, state: requeststate.RequestState) -> failures.RefusedError:
        """Returns the error for a request that this entry can no longer serve as it stops."""
        if state.may_have_run:
            refusal = ports.Refusal(ports.RefusalReason.UPSTREAM_FAILED)
            return failures.RefusedError(refusal, "the entry stops")
        return self.retryable_refusal(ports.RefusalReason.STOPPING)

    async def admit(
        self,
        request: message.Request,
        caller_request: ports.CallerRequest,
        arrived_at: float,
        on_routed: Callable[[requeststate.RequestState], None],
    ) -> requeststate.RequestState:
        """Admits a request and returns its state.

        Parameters
        ----------
        request : Request
        caller_request : CallerRequest
        arrived_at : float
            Event loop time at which the request arrived.
        on_routed : callable
            Called with every request that matches a route, also with those over a quota.

        Raises
        ------
        RefusedError
            If the request is not admitted.
        """
        if self._stopped:
            raise self.retryable_refusal(ports.RefusalReason.STOPPING)
        table = await self._documents.wait_for_table()
        if table is None:
            raise self.retryable_refusal(ports.RefusalReason.NOT_READY)
        route = table.match(request.header("host") or "", request.path)
        if route is None:
            raise failures.RefusedError(ports.Refusal(ports.RefusalReason.NO_ROUTE))
        organisation = self._authenticate(table, route, caller_request)
        timeout_seconds = route.timeout_seconds
        if caller_request.timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, caller_request.timeout_seconds)
        origin = None
        if route.kind is document.RequestKind.STREAM and caller_request.last_event_id:
            origin = await self._origins.find(caller_request, route)
        service = self._choose_service(route) if origin is None else origin.service
        scaling = table.routing.services[service].scaling
        state = requeststate.RequestState(
            request,
            caller_request,
            route,
            service,
            organisation,
            table.routing.version,
            arrived_at,
            arrived_at + timeout_seconds - RESPONSE_MARGIN_SECONDS,
            _prompt_sizes(caller_request),
            table.routing.services[service].engine,
            scaling.boot_seconds if scaling is not None else None,
            origin=origin,
        )
        on_routed(state)
        self._guard.ensure_admissible(state.part_ids)
        await self._charge_quota(state)
        return state

    def retryable_refusal(
        self,
        reason: ports.RefusalReason,
        cause: str = "",
        least_seconds: float = 0.0,
        most_seconds: float = 0.0,
    ) -> failures.RefusedError:
        """Returns the error for a request that has not run and that the caller may retry.

        Parameters
        ----------
        reason : RefusalReason
        cause : str, optional
            Cause for the log.
        least_seconds, most_seconds : float, optional
            Range of the time after which the request can be served, if that is known. The usual
            range of the reason holds as far as it lies later.
        """
        shortest, longest = RETRY_AFTER_SECONDS[reason]
        spread = longest - shortest
        shortest = max(shortest, least_seconds)
        longest = max(longest, most_seconds, least_seconds + spread if not most_seconds else 0.0)
        delay_seconds = self._rng.uniform(shortest, longest)
        return failures.RefusedError(ports.Refusal(reason, delay_seconds), cause)

    def refund(self, state: requeststate.RequestState) -> None:
        """Refunds the quota that was charged for a request that did not run."""
        if state.organisation is not None and state.charged_amount:
            self._allowances.refund(state.organisation, state.charged_amount)
            state.charged_amount = 0.0

    @staticmethod
    def _authenticate(
        table: routetable.RouteTable, route: document.Route, caller_request: ports.CallerRequest
    ) -> document.Organisation | None:
        organisation = (
            table.organisation(caller_request.api_key)
            if caller_request.api_key is not None
            else None
        )
        if organisation is None and not route.public and table.routing.requires_keys:
            raise failures.RefusedError(ports.Refusal(ports.RefusalReason.NO_KEY))
        return organisation

    def _choose_service(self, route: document.Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service

    async def _charge_quota(self, state: requeststate.RequestState) -> None:
        organisation = state.organisation
        if organisation is None or organisation.quota is None:
            return
        amount = quota.cost(organisation.quota, state.caller_request.total_tokens)
        if not await self._allowances.admit(organisation, amount):
            raise self.retryable_refusal(ports.RefusalReason.OVER_QUOTA)
        state.charged_amount = amount


def _prompt_sizes(caller_request: ports.CallerRequest) -> placement.Prompt | None:
    """Returns the sizes of a request's prompt; None for requests of plain services."""
    if caller_request.prompt_tokens is None:
        return None
    shared = caller_request.parts[:-1]
    shared_tokens = sum(part.tokens for part in shared)
    key = shared[-1].id if shared else ""
    return placement.Prompt(
        key, shared_tokens, max(0, caller_request.prompt_tokens - shared_tokens)
    )
