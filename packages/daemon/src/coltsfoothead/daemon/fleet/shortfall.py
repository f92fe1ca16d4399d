"""Demand that the fleet does not cover, counted and logged once per change."""

import dataclasses

from absl import logging

from coltsfoothead.daemon import metrics as metrics_module

__all__ = ["Shortfall", "Shortfalls"]


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A model's demand is not covered; `reason` is `capacity` or `budget`."""

    model: str
    reason: str
    missing_slots: float


class Shortfalls:
    """The shortfalls of the newest plan.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._current: dict[str, Shortfall] = {}

    @property
    def current(self) -> tuple[Shortfall, ...]:
        """The shortfalls, one per model."""
        return tuple(self._current.values())

    def note(self, shortfalls: dict[str, Shortfall]) -> None:
        """Takes the shortfalls of a plan by model."""
        before = {each.model: each.reason for each in self._current.values()}
        for each in shortfalls.values():
            if before.get(each.model) != each.reason:
                self._metrics.count(f"fleet_shortfalls_{each.reason}")
                logging.warning(
                    "fleet: model %s lacks %.1f slots (%s)",
                    each.model,
                    each.missing_slots,
                    each.reason,
                )
        for model in before.keys() - shortfalls.keys():
            logging.info("fleet: model %s is covered again", model)
        self._current = shortfalls
