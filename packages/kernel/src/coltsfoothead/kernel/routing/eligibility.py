"""Filters the candidates of a snapshot that can serve a request."""

import math

from coltsfoothead.kernel import views

__all__ = ["eligible", "request_bytes"]

_BYTES_PER_PROMPT_TOKEN = 5
_BYTES_PER_OUTPUT_TOKEN = 250  # one server-sent event with its JSON chunk per token


def request_bytes(request: views.RequestView) -> float:
    """Returns the estimated bytes of a request and its streamed answer on a link."""
    prompt = request.prompt_tokens * _BYTES_PER_PROMPT_TOKEN
    return prompt + request.predicted_tokens * _BYTES_PER_OUTPUT_TOKEN


def eligible(
    request: views.RequestView, snapshot: views.RoutingSnapshot
) -> list[views.UpstreamView] | views.NoUpstream:
    """Returns the candidates that can serve the request, or why there are none.

    Upstreams of other regions are excluded while the inter-region byte budget is too small.
    """
    reasons = views.NoUpstreamReason
    reason = reasons.NONE_SERVES
    affordable = request_bytes(request) <= snapshot.link_bytes
    eligible_views = []
    upstreams = snapshot.upstreams
    for name in snapshot.candidates:
        view = upstreams.get(name)
        if view is None or not _serves(view, request):
            continue
        if name in request.excluded:
            reason = reasons.ALL_EXCLUDED
        elif not affordable and request.region and view.region != request.region:
            reason = reasons.LINK_BUDGET
        else:
            eligible_views.append(view)
    if eligible_views:
        return eligible_views
    if reason is reasons.LINK_BUDGET:
        return views.NoUpstream(reason, snapshot.link_retry_seconds)
    # Upstreams renew their records every 500 ms, so one may be back after two renewals.
    return views.NoUpstream(reason, 1.0)


def _serves(view: views.UpstreamView, request: views.RequestView) -> bool:
    if view.models and request.model not in view.models:
        return False
    if request.adapter is not None and request.adapter not in view.adapters:
        return False
    return view.weight > 0 and math.isfinite(view.link_cost)
