"""Moves streams away from leaving upstreams according to the reclaim policy."""

from collections.abc import Callable, Iterable

from absl import logging

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.serving import generation, prediction, router
from coltsfoothead.kernel import environment, registry
from coltsfoothead.kernel.reclaim import leasttokens

__all__ = ["LeavePlanner"]

DEFAULT_NOTICE_SECONDS = 30.0
# The last stream is moved this long before the notice ends. Each of the others is moved one spacing
# before the next, so that the other upstreams do not receive all streams at once.
MOVE_MARGIN_SECONDS = 1.0
MOVE_SPACING_SECONDS = 0.02
# Prior of the time per generated token. It counts as one measurement of the upstream.
PRIOR_SECONDS_PER_TOKEN = 0.034
# Keys and values of 32 layers, each with 8 heads of 128 values of 2 bytes.
KV_BYTES_PER_TOKEN = 131_072
# 10 Gbit/s between VMs of a region.
REGION_LINK_BYTES_PER_SECOND = 1.25e9
# Prior of the time per prompt token. It counts as one measurement of the upstream.
PRIOR_SECONDS_PER_PREFILL_TOKEN = 0.0003


class LeavePlanner:
    """Schedules the moves of an upstream's streams when it announces that it leaves.

    Parameters
    ----------
    running : callable
        Returns the running generations.
    fleet_router : FleetRouter
    predictor : Predictor
    document : callable
        Returns the environment document, or None.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        running: Callable[[], Iterable[generation.Generation]],
        fleet_router: router.FleetRouter,
        predictor: prediction.Predictor,
        document: Callable[[], environment.Environment | None],
        clock: Callable[[], float],
    ) -> None:
        self._running = running
        self._router = fleet_router
        self._predictor = predictor
        self._document = document
        self._clock = clock

    def upstream_changed(self, record: upstreams.Upstream) -> None:
        """Schedules the moves if the changed upstream is leaving."""
        if record.state != "leaving":
            return
        affected = {
            each.request.request_id: each
            for each in self._running()
            if each.upstream == record.upstream
        }
        if not affected:
            return
        notice_seconds = DEFAULT_NOTICE_SECONDS
        if record.deadline_ms is not None:
            notice_seconds = record.deadline_ms / 1000
        document = self._document()
        name = document.policies.reclaim if document else "leasttokens"
        plan = registry.resolve("reclaim", name)
        streams = [self._leaving_stream(each) for each in affected.values()]
        actions = plan(streams, notice_seconds)
        moves = [each for each in actions if not isinstance(each, leasttokens.Finish)]
        end = self._clock() + max(0.0, notice_seconds - MOVE_MARGIN_SECONDS)
        for position, action in enumerate(reversed(moves)):
            when = max(self._clock(), end - position * MOVE_SPACING_SECONDS)
            copy_kv_cache = isinstance(action, leasttokens.ExportKv)
            affected[action.stream].move_at(when, copy_kv_cache)
        # A stream that is expected to finish in time is moved at the end if it has not finished.
        for action in actions:
            if isinstance(action, leasttokens.Finish):
                affected[action.stream].move_at(end, copy_kv_cache=True)
        logging.info(
            "upstream %s leaves in %.1f s: moving %d of %d streams",
            record.upstream,
            notice_seconds,
            len(moves),
            len(affected),
        )

    def _leaving_stream(self, running: generation.Generation) -> leasttokens.LeavingStream:
        request = running.request
        statistics = self._router.statistics(running.upstream)
        context_tokens = prediction.prompt_tokens(request.body) + len(request.tokens)
        return leasttokens.LeavingStream(
            stream=request.request_id,
            context_tokens=context_tokens,
            remaining_tokens=self._predictor.remaining_tokens(request),
            seconds_per_token=statistics.seconds_per_token.blended(PRIOR_SECONDS_PER_TOKEN, 1.0),
            seconds_per_prefill_token=statistics.seconds_per_prefill_token.blended(
                PRIOR_SECONDS_PER_PREFILL_TOKEN, 1.0
            ),
            kv_bytes=float(context_tokens * KV_BYTES_PER_TOKEN),
            # The cache is copied only to a target in the same region; see `Generation.move_at`.
            link_bytes_per_second=REGION_LINK_BYTES_PER_SECOND,
        )
