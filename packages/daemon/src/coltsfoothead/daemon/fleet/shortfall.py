"""Tracks demand that the fleet does not cover; counts and logs each change once."""

import dataclasses

from absl import logging

from coltsfoothead.daemon import metrics as metrics_module

__all__ = ["Shortfall", "ShortfallTracker"]


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """Uncovered demand of a model; `reason` is ``capacity`` or ``budget``."""

    model: str
    reason: str
    missing_slots: float


class ShortfallTracker:
    """Holds the shortfalls of the newest plan.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._current: dict[str, Shortfall] = {}

    @property
    def current(self) -> tuple[Shortfall, ...]:
        """The shortfalls of the newest plan, one per model."""
        return tuple(self._current.values())

    def update(self, shortfalls: dict[str, Shortfall]) -> None:
        """Replaces the shortfalls by those of a new plan, by model."""
        previous_reasons = {each.model: each.reason for each in self._current.values()}
        for each in shortfalls.values():
            if previous_reasons.get(each.model) != each.reason:
                self._metrics.count(f"fleet_shortfalls_{each.reason}")
                logging.warning(
                    "fleet: model %s lacks %.1f slots (%s)",
                    each.model,
                    each.missing_slots,
                    each.reason,
                )
        for model in previous_reasons.keys() - shortfalls.keys():
            logging.info("fleet: demand of model %s is covered again", model)
        self._current = shortfalls
