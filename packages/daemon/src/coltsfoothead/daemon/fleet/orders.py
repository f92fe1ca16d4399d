"""Client for orders to upstreams, each fenced by the number of the capacity lease."""

from collections.abc import Callable

import msgspec

from coltsfoothead.coordination.lease import clocks
from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import leases
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message

__all__ = ["LeaseExpiringError", "OrderClient", "OrderError", "StaleFenceError"]

# Time within which an order reaches the upstream; with less time left on the lease, none is sent.
ORDER_TIMEOUT_SECONDS = 2.0
# A load is answered once the weights are in memory, which takes minutes for large models.
LOAD_TIMEOUT_SECONDS = 900.0
MAX_ANSWER_BYTES = 64 * 1024


class OrderError(errors.DaemonError):
    """The upstream did not confirm an order; repeating the order is safe."""


class StaleFenceError(OrderError):
    """The upstream has seen a higher fencing number, so another daemon owns the fleet now."""


class LeaseExpiringError(OrderError):
    """Too little time is left on the lease to send an order."""


class OrderClient:
    """Sends orders to upstreams while the lease is held.

    Parameters
    ----------
    client : Client
    lease : ManagedLease
    lease_seconds : float
        Longest time to live that any holder of the lease uses.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        client: http_client.Client,
        lease: leases.ManagedLease,
        lease_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._lease = lease
        self._unfenced_wait_seconds = clocks.unfenced_wait_seconds(
            lease_seconds, ORDER_TIMEOUT_SECONDS
        )
        self._clock = clock

    def lease_covers(self, fence: int, seconds: float = ORDER_TIMEOUT_SECONDS) -> bool:
        """Returns whether the lease with number `fence` has more than `seconds` left."""
        return self._lease.fence == fence and self._lease.remaining() > seconds

    def is_safe_to_order(self, upstream: upstreams.Upstream, acquired_at: float) -> bool:
        """Returns whether no late order of the previous holder can affect the upstream any more.

        Parameters
        ----------
        upstream : Upstream
        acquired_at : float
            Time of the clock at which this daemon acquired the lease.

        Notes
        -----
        An upstream that ignores fencing numbers would carry out a late order of the previous
        holder, so the first order to it waits until all orders of that holder have ended.
        """
        return upstream.checks_fencing or self._clock() - acquired_at >= self._unfenced_wait_seconds

    async def load(
        self, upstream: upstreams.Upstream, fence: int, model: str, version: str
    ) -> None:
        """Orders an upstream to load a model; with an empty `version`, the upstream chooses it."""
        fields = {"model": model} | ({"version": version} if version else {})
        await self._send(upstream, fence, "load", fields, LOAD_TIMEOUT_SECONDS)

    async def unload(self, upstream: upstreams.Upstream, fence: int, model: str) -> None:
        """Orders an upstream to unload a model; its running requests still finish."""
        await self._send(upstream, fence, "unload", {"model": model}, ORDER_TIMEOUT_SECONDS)

    async def set_role(self, upstream: upstreams.Upstream, fence: int, role: str) -> None:
        """Orders an upstream to change its role."""
        await self._send(upstream, fence, "role", {"role": role}, ORDER_TIMEOUT_SECONDS)

    async def _send(
        self,
        upstream: upstreams.Upstream,
        fence: int,
        order: str,
        fields: dict[str, str],
        timeout_seconds: float,
    ) -> None:
        # Repetitions under one fence have the same ID, so an upstream that remembers IDs carries
        # the order out once; loads and unloads are idempotent without it.
        order_id = "/".join((str(fence), upstream.upstream, order, *fields.values()))
        body = {"order": order, "fence": fence, "order_id": order_id, **fields}
        headers = (("content-type", message.JSON_TYPE),)
        request = message.Request("POST", "/orders", headers, msgspec.json.encode(body))

        def check_lease() -> None:
            if not self.lease_covers(fence):
                problem = f"{order} to {upstream.upstream}: too little time is left on the lease"
                raise LeaseExpiringError(problem)

        try:
            answer = await self._client.send(
                upstream.address,
                request,
                timeout_seconds,
                new_connection=True,
                before_send=check_lease,
            )
            text = await answer.read(ORDER_TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        except http_errors.HttpError as error:
            raise OrderError(f"{order} to {upstream.upstream}: {error}") from error
        if answer.status == 409:
            problem = f"{upstream.upstream} refused fence {fence}: {text.decode(errors='replace')}"
            raise StaleFenceError(problem)
        if answer.status != 200:
            raise OrderError(f"{order} to {upstream.upstream}: status {answer.status}")
