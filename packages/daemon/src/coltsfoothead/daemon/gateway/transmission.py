"""Sends a request to the upstream chosen for it, directly or through another entry."""

import asyncio

from coltsfoothead.daemon.gateway import (
    answermatch,
    clock,
    failures,
    loads,
    pathmonitor,
    ports,
    relayclient,
    relaymessages,
    requeststate,
)
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import placement, upstreams

__all__ = ["Transmitter"]


class Transmitter:
    """Sends requests to upstreams.

    Parameters
    ----------
    dialect : CallerDialect
    client : Client
    paths : PathMonitor
        Learns the outcomes of attempts to connect.
    relays : RelayClient
        Passes requests to upstreams through other entries.
    tracker : LoadTracker
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        client: http_client.Client,
        paths: pathmonitor.PathMonitor,
        relays: relayclient.RelayClient,
        tracker: loads.LoadTracker,
    ) -> None:
        self._dialect = dialect
        self._client = client
        self._paths = paths
        self._relays = relays
        self._loads = tracker

    async def send(
        self,
        state: requeststate.RequestState,
        chosen: placement.Candidate,
        last_event_id: str | None,
        kv_source_address: str | None,
    ) -> http_client.StreamedResponse | relayclient.RelayedResponse:
        """Sends a request to an upstream and waits for the response head.

        Raises
        ------
        AttemptFailedError
            If the upstream cannot be reached or breaks the connection.
        """
        upstream = chosen.upstream
        remaining_seconds = state.deadline - asyncio.get_running_loop().time()
        metadata = ports.ForwardingMetadata(
            state.organisation_name,
            upstream.id,
            max(ports.MIN_FORWARDED_SECONDS, remaining_seconds),
            state.urgency if state.prompt is not None else None,
            last_event_id,
            kv_source_address,
        )
        send = self._send_through_peer if chosen.relayed else self._send_directly
        might_have_run = state.may_have_run
        try:
            answer = await send(state, upstream, metadata)
        except http_errors.ConnectError as error:
            raise failures.AttemptFailedError(str(error), sent=False, not_run=True) from error
        except http_errors.UpstreamBrokeError as error:
            # The end of a connection to a peer does not tell what became of the upstream.
            closed = isinstance(error, http_errors.UpstreamClosedError) and not chosen.relayed
            raise failures.AttemptFailedError(str(error), closed=closed) from error
        if self._dialect.decode_response_head(answer.status, answer.headers).not_run:
            state.may_have_run = might_have_run
        return answer

    async def _send_directly(
        self,
        state: requeststate.RequestState,
        upstream: upstreams.Upstream,
        metadata: ports.ForwardingMetadata,
    ) -> http_client.StreamedResponse:
        """Sends a request over a connection of this entry."""
        with self._paths.watch(upstream) as slow_connect:

            def on_sending() -> None:
                slow_connect.cancel()
                self._record_sending(state, upstream)

            return await self._client.send(
                upstream.address,
                self._dialect.forward(state.request, state.caller_request, metadata),
                None,
                before_send=on_sending,
                matches_request=answermatch.matcher(self._dialect, state.caller_request.id),
            )

    async def _send_through_peer(
        self,
        state: requeststate.RequestState,
        upstream: upstreams.Upstream,
        metadata: ports.ForwardingMetadata,
    ) -> relayclient.RelayedResponse:
        """Sends a request through another entry.

        Raises
        ------
        ConnectError
            If no peer has sent it.
        UpstreamBrokeError
            If a peer may have sent it.
        """
        request = state.request
        relayed = relaymessages.RelayRequest(
            upstream.id,
            upstream.born,
            request.method,
            request.target,
            request.headers,
            request.body,
            metadata.seconds_left,
            metadata.organisation,
            metadata.urgency,
            metadata.last_event_id,
            metadata.kv_source_address,
            state.request_digest,
            state.part_ids,
        )
        before = (state.sent_count, state.may_have_run)
        try:
            return await self._relays.send(
                upstream.service, relayed, lambda: self._record_sending(state, upstream)
            )
        except relayclient.NotSentError as error:
            state.sent_count, state.may_have_run = before
            raise http_errors.ConnectError(str(error)) from error

    def _record_sending(
        self, state: requeststate.RequestState, upstream: upstreams.Upstream
    ) -> None:
        state.sent_count += 1
        state.may_have_run = True
        if state.prompt is not None and state.prompt.shared_key:
            self._loads.record_prefix_read(state.prompt.shared_key, upstream.id, clock.steady())
