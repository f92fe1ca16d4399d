"""Moves the streams of a leaving upstream, in the order that loses the fewest tokens."""

from collections.abc import Callable, Iterable

from absl import logging

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.serving import generation, prediction, router
from coltsfoothead.kernel import environment, registry
from coltsfoothead.kernel.reclaim import leasttokens

__all__ = ["Leaving"]

DEFAULT_NOTICE_SECONDS = 30.0
# The last streams are moved this long before the notice ends; the first ones a little sooner each,
# so that the other upstreams do not get all of them at once.
MARGIN_SECONDS = 1.0
STEP_SECONDS = 0.02
SECONDS_PER_TOKEN = 0.034
# Two matrices of 8 heads of 128 values of 2 bytes in 32 layers.
KV_BYTES_PER_TOKEN = 131_072
# 10 Gbit/s between VMs of a region.
ZONE_LINK_BYTES_PER_SECOND = 1.25e9
SECONDS_PER_PREFILL_TOKEN = 0.0003


class Leaving:
    """Plans what happens to the streams of an upstream that announces its leave.

    Parameters
    ----------
    running : callable
        Returns the running generations.
    routes : FleetRouter
    predictor : Predictor
    document : callable
        Returns the environment document, or None.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        running: Callable[[], Iterable[generation.Generation]],
        routes: router.FleetRouter,
        predictor: prediction.Predictor,
        document: Callable[[], environment.Environment | None],
        clock: Callable[[], float],
    ) -> None:
        self._running = running
        self._routes = routes
        self._predictor = predictor
        self._document = document
        self._clock = clock

    def changed(self, record: upstreams.Upstream) -> None:
        """Takes a change of an upstream's state."""
        if record.state != "leaving":
            return
        affected = {
            each.request.request_id: each
            for each in self._running()
            if each.upstream == record.upstream
        }
        if not affected:
            return
        left = DEFAULT_NOTICE_SECONDS
        if record.deadline_ms is not None:
            left = record.deadline_ms / 1000
        document = self._document()
        name = document.policies.reclaim if document else "leasttokens"
        plan = registry.resolve("reclaim", name)
        streams = [self._stream(each) for each in affected.values()]
        actions = plan(streams, left)
        moves = [each for each in actions if not isinstance(each, leasttokens.Finish)]
        end = self._clock() + max(0.0, left - MARGIN_SECONDS)
        for position, action in enumerate(reversed(moves)):
            when = max(self._clock(), end - position * STEP_SECONDS)
            keep_cache = isinstance(action, leasttokens.ExportKv)
            affected[action.stream].move_at(when, keep_cache)
        # A stream that outlives its prediction is moved in time as well.
        for action in actions:
            if isinstance(action, leasttokens.Finish):
                affected[action.stream].move_at(end, keep_cache=True)
        logging.info(
            "upstream %s leaves in %.1f s: %d of %d streams move",
            record.upstream,
            left,
            len(moves),
            len(affected),
        )

    def _stream(self, running: generation.Generation) -> leasttokens.LeavingStream:
        request = running.request
        figures = self._routes.figures(running.upstream)
        context = prediction.prompt_tokens(request.body) + len(request.tokens)
        return leasttokens.LeavingStream(
            stream=request.request_id,
            context_tokens=context,
            remaining_tokens=self._predictor.remaining(request),
            seconds_per_token=figures.seconds_per_token.blended(SECONDS_PER_TOKEN, 1.0),
            seconds_per_prefill_token=figures.seconds_per_prefill_token.blended(
                SECONDS_PER_PREFILL_TOKEN, 1.0
            ),
            kv_bytes=float(context * KV_BYTES_PER_TOKEN),
            # Only a target in the same region gets the cache; see `Generation.move_at`.
            link_bytes_per_second=ZONE_LINK_BYTES_PER_SECOND,
        )
