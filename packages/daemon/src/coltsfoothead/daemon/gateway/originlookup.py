"""Finds the software version that began a stream which a caller takes up."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from coltsfoothead.daemon.gateway import eventlog, exchange, failures, ports
from coltsfoothead.kernel.traffic import document, streamorigins

__all__ = ["OriginLookup"]

# Calls to the leader until the origin counts as unknown, and the pause between two of them. Within
# this time an entry reports a stream that has just begun, and a new leader is found.
MAX_CALLS = 3
RETRY_SECONDS = 0.3
# Range of the delay in seconds after which a caller should return whose stream may become known, or
# whose version may have an upstream again.
RETURN_SECONDS = (0.5, 1.5)


class OriginLookup:
    """Looks up origins in what this entry knows, then at the leader.

    Parameters
    ----------
    origins : EntryOrigins
    ask_leader : callable
        Takes the ID of a stream, and the service that must have begun it or an empty string.
        Returns the leader's answer, or None if no leader answers.
    events : EventLog
    rng : random.Random
    """

    def __init__(
        self,
        origins: streamorigins.EntryOrigins,
        ask_leader: Callable[[str, str], Awaitable[exchange.OriginResponse | None]],
        events: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._origins = origins
        self._ask_leader = ask_leader
        self._events = events
        self._rng = rng

    async def find(
        self, caller_request: ports.CallerRequest, route: document.Route
    ) -> streamorigins.Origin:
        """Returns the origin of the stream that a caller takes up.

        Raises
        ------
        RefusedError
            If nobody knows it, or if the route no longer leads to its service.
        """
        stream_id = caller_request.resumed_id or ""
        delay_seconds: float | None = self._rng.uniform(*RETURN_SECONDS)
        services = [target.service for target in route.targets]
        origin = self._origins.origin(stream_id)
        if origin is None:
            only_service = services[0] if len(services) == 1 else ""
            answer = await self._find_at_leader(stream_id, only_service)
            if answer is not None:
                # What the leader still does not know was lost, so that a later try is in vain.
                origin, delay_seconds = answer.origin, None
        self._events.write(
            "stream_taken_up",
            id=caller_request.id,
            resumed_id=caller_request.resumed_id,
            service=origin.service if origin is not None else None,
            version=origin.version if origin is not None else None,
        )
        if origin is None:
            refusal = ports.Refusal(ports.RefusalReason.STREAM_VERSION_UNKNOWN, delay_seconds)
            raise failures.RefusedError(refusal, f"stream {stream_id or 'without an ID'}")
        if origin.service not in services:
            refusal = ports.Refusal(ports.RefusalReason.STREAM_VERSION_GONE)
            raise failures.RefusedError(refusal, f"the route no longer leads to {origin.service}")
        return origin

    async def _find_at_leader(self, stream_id: str, service: str) -> exchange.OriginResponse | None:
        """Returns the leader's last answer, or None if no leader answers."""
        answer = None
        for number in range(MAX_CALLS):
            if number:
                await asyncio.sleep(RETRY_SECONDS)
            answer = await self._ask_leader(stream_id, service) or answer
            if answer is not None and answer.origin is not None:
                break
        return answer
