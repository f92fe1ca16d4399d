"""Which candidates of a snapshot may take a request at all."""

import math

from coltsfoothead.kernel import views

__all__ = ["eligible", "request_bytes"]

_BYTES_PER_PROMPT_TOKEN = 5
_BYTES_PER_OUTPUT_TOKEN = 250  # one server-sent event with its JSON chunk per token


def request_bytes(request: views.RequestView) -> float:
    """Returns the bytes that a request and its streamed answer put on a link."""
    prompt = request.prompt_tokens * _BYTES_PER_PROMPT_TOKEN
    return prompt + request.predicted_tokens * _BYTES_PER_OUTPUT_TOKEN


def eligible(
    request: views.RequestView, snapshot: views.RoutingSnapshot
) -> list[views.UpstreamView] | views.NoUpstream:
    """Returns the candidates that serve the request, or why there are none.

    Upstreams of another region are left out while the inter-region budget cannot take the bytes.
    """
    reasons = views.NoUpstreamReason
    reason = reasons.NONE_SERVES
    affordable = request_bytes(request) <= snapshot.link_bytes
    found = []
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
            found.append(view)
    if found:
        return found
    if reason is reasons.LINK_BUDGET:
        return views.NoUpstream(reason, snapshot.link_retry_seconds)
    # The directory renews its records every 500 ms; two renewals may bring an upstream back.
    return views.NoUpstream(reason, 1.0)


def _serves(view: views.UpstreamView, request: views.RequestView) -> bool:
    if view.models and request.model not in view.models:
        return False
    if request.adapter is not None and request.adapter not in view.adapters:
        return False
    return view.weight > 0 and math.isfinite(view.link_cost)
