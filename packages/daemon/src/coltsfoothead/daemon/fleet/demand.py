"""Demand of each model in slots, estimated from the load that upstreams report."""

from collections.abc import Iterable

from coltsfoothead.coordination.membership import upstreams

__all__ = ["DemandEstimate", "slots_for_model"]

# Every model of the document keeps some capacity even while no request runs: demand is reported by
# upstreams, so a model without any would never show demand again.
MINIMUM_SLOTS = 1.0


def slots_for_model(record: upstreams.Upstream, model: str) -> float:
    """Returns the slots that an upstream offers to a model; its models share them equally."""
    model_names = [each.name for each in record.models]
    return record.slots / len(model_names) if model in model_names else 0.0


class DemandEstimate:
    """Decaying maximum of the demand: rises at once and halves in `half_life_seconds`.

    Parameters
    ----------
    half_life_seconds : float
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._estimates: dict[str, tuple[float, float]] = {}

    def update(
        self, models: Iterable[str], records: Iterable[upstreams.Upstream], now: float
    ) -> dict[str, float]:
        """Updates the estimate from the current reports; returns the demand in slots by model."""
        reported: dict[str, float] = {}
        for record in records:
            for model in record.models:
                requests = (record.load.running + record.load.waiting) / len(record.models)
                reported[model.name] = reported.get(model.name, 0.0) + requests
        demand = {}
        for model in models:
            previous_demand, updated_at = self._estimates.get(model, (0.0, now))
            decayed = previous_demand * 0.5 ** ((now - updated_at) / self._half_life_seconds)
            demand[model] = max(reported.get(model, 0.0), decayed, MINIMUM_SLOTS)
            self._estimates[model] = (demand[model], now)
        return demand
