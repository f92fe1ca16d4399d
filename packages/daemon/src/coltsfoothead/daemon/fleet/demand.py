"""Demand of each model, in slots, from what upstreams report."""

from collections.abc import Iterable

from coltsfoothead.coordination.membership import upstreams

__all__ = ["DemandEstimate", "slots_of"]

# A model of the document keeps capacity even if no request runs, because without an upstream
# there is nobody to report its demand.
MINIMUM_SLOTS = 1.0


def slots_of(record: upstreams.Upstream, model: str) -> float:
    """Returns the slots of an upstream for a model; its models share them equally."""
    names = [each.name for each in record.models]
    return record.slots / len(names) if model in names else 0.0


class DemandEstimate:
    """Smoothed maximum: rises at once and falls by half in `half_life_seconds`.

    Parameters
    ----------
    half_life_seconds : float
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._values: dict[str, tuple[float, float]] = {}

    def update(
        self, models: Iterable[str], records: Iterable[upstreams.Upstream], now: float
    ) -> dict[str, float]:
        """Takes the present reports and returns the demand by model."""
        current: dict[str, float] = {}
        for record in records:
            for model in record.models:
                share = (record.load.running + record.load.waiting) / len(record.models)
                current[model.name] = current.get(model.name, 0.0) + share
        result = {}
        for model in models:
            value, at = self._values.get(model, (0.0, now))
            decayed = value * 0.5 ** ((now - at) / self._half_life_seconds)
            result[model] = max(current.get(model, 0.0), decayed, MINIMUM_SLOTS)
            self._values[model] = (result[model], now)
        return result
