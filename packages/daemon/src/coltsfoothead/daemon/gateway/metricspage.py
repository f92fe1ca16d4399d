"""HTTP endpoint for metrics in the Prometheus text format."""

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.http import errors, message, server

__all__ = ["BOUNDS", "MetricsPage", "plain_error"]

# The metrics and readiness endpoints receive requests without bodies, from the platform only.
BOUNDS = server.Bounds(
    body_bytes=4096,
    header_bytes=16 * 1024,
    receive_seconds=3.0,
    idle_seconds=15.0,
    connections=64,
)


def plain_error(status: int, error: errors.HttpError) -> message.Response:
    """Returns a plain-text response with the error's message."""
    return message.Response(status, (("content-type", "text/plain"),), str(error).encode())


class MetricsPage:
    """Responds to every request with the counters and histograms of the process."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    async def handle(self, caller: server.Exchange) -> None:
        """Responds to one request."""
        await caller.respond(
            message.Response(200, (("content-type", "text/plain; version=0.0.4"),), self._text())
        )

    def _text(self) -> bytes:
        lines = [f"{name} {value}" for name, value in sorted(self._metrics.counters.items())]
        for name, summary in self._metrics.summaries().items():
            lines.append(f"{name}_count {summary.count}")
            quantiles = (("0.5", summary.p50), ("0.95", summary.p95), ("0.99", summary.p99))
            lines += [f'{name}{{quantile="{rank}"}} {value}' for rank, value in quantiles]
            lines.append(f"{name}_max {summary.max}")
        return ("\n".join(lines) + "\n").encode()
