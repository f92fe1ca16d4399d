"""Predicts output lengths from the lengths of earlier outputs."""

import collections
import dataclasses

from coltsfoothead.kernel import registry, sketch, views

__all__ = ["OutputLengthPredictor", "OutputLengthSettings", "Prediction"]


@dataclasses.dataclass(frozen=True, slots=True)
class OutputLengthSettings:
    """Settings of the prediction.

    Parameters
    ----------
    long_tokens : float
        Predicted length from which a request belongs to the long class.
    quantiles : tuple of float
        Quantiles used in order: the first for a new request, the next once the output is longer.
    minimum_samples : float
        Number of samples below which a wider group of requests is used.
    prior_tokens : float
        Predicted length without samples.
    max_sketches : int
        Maximum number of sketches; the least recently used is dropped first.
    """

    long_tokens: float = 1_000.0
    quantiles: tuple[float, ...] = (0.5, 0.8, 0.95, 0.99)
    min_samples: float = 10.0
    prior_tokens: float = 200.0
    max_sketches: int = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted length of one output, with the data needed to correct it.

    `quantile` is the index of the quantile used.
    """

    tokens: float
    request_class: views.RequestClass
    quantile: int
    organisation: str
    model: str
    prompt_tokens: int
    max_tokens: int


@registry.register("prediction", "outputlength")
class OutputLengthPredictor:
    """Predicts by quantile sketches per organisation, model, prompt length and maximum length.

    A group with few samples falls back to all requests of the organisation for the model, then to
    all requests for the model, then to the prior.
    """

    def __init__(self, settings: OutputLengthSettings | None = None):
        self._settings = settings or OutputLengthSettings()
        self._sketches: collections.OrderedDict[tuple, sketch.QuantileSketch] = (
            collections.OrderedDict()
        )

    def predict(
        self, organisation: str, model: str, prompt_tokens: int, max_tokens: int
    ) -> Prediction:
        """Returns the prediction for a new request."""
        lengths = self._find_sketch(_group_keys(organisation, model, prompt_tokens, max_tokens))
        tokens = lengths.quantile(self._settings.quantiles[0]) if lengths else 0.0
        tokens = tokens or self._settings.prior_tokens
        return self._prediction(
            tokens, 0, 0, organisation, model, prompt_tokens=prompt_tokens, max_tokens=max_tokens
        )

    def correct(self, prediction: Prediction, produced: int) -> Prediction:
        """Returns the corrected prediction for a running request.

        Once the output reaches the predicted length, the next quantile above the produced length
        is used. Beyond the last quantile, the produced length is expected to double. A class only
        changes from short to long.
        """
        if produced < prediction.tokens:
            return prediction
        settings = self._settings
        keys = _group_keys(
            prediction.organisation,
            prediction.model,
            prediction.prompt_tokens,
            prediction.max_tokens,
        )
        lengths = self._find_sketch(keys)
        quantile = prediction.quantile
        tokens = 0.0
        while lengths and tokens <= produced and quantile + 1 < len(settings.quantiles):
            quantile += 1
            tokens = lengths.quantile(settings.quantiles[quantile])
        if tokens <= produced:
            tokens = 2.0 * max(1, produced)
        return self._prediction(
            tokens,
            quantile,
            produced,
            prediction.organisation,
            prediction.model,
            prompt_tokens=prediction.prompt_tokens,
            max_tokens=prediction.max_tokens,
        )

    def observe(self, prediction: Prediction, produced: int) -> None:
        """Records the length of an output that was not aborted."""
        keys = _group_keys(
            prediction.organisation,
            prediction.model,
            prediction.prompt_tokens,
            prediction.max_tokens,
        )
        for key in reversed(keys):
            lengths = self._sketches.get(key)
            if lengths is None:
                lengths = self._sketches[key] = sketch.QuantileSketch(min_value=1.0)
            self._sketches.move_to_end(key)
            lengths.add(produced)
        while len(self._sketches) > self._settings.max_sketches:
            self._sketches.popitem(last=False)

    def _find_sketch(self, keys: tuple[tuple, ...]) -> sketch.QuantileSketch | None:
        for key in keys:
            lengths = self._sketches.get(key)
            if lengths is not None and lengths.total >= self._settings.min_samples:
                return lengths
        return None

    def _prediction(
        self,
        tokens: float,
        quantile: int,
        produced: int,
        organisation: str,
        model: str,
        *,
        prompt_tokens: int,
        max_tokens: int,
    ) -> Prediction:
        tokens = max(1.0, min(tokens, max_tokens)) if max_tokens > 0 else max(1.0, tokens)
        is_long = max(tokens, produced) >= self._settings.long_tokens
        predicted_class = views.RequestClass.LONG if is_long else views.RequestClass.SHORT
        return Prediction(
            tokens, predicted_class, quantile, organisation, model, prompt_tokens, max_tokens
        )


def _group_keys(
    organisation: str, model: str, prompt_tokens: int, max_tokens: int
) -> tuple[tuple, ...]:
    """Returns the group keys of a request, narrowest first; lengths are bucketed by bit length."""
    narrow = (organisation, model, prompt_tokens.bit_length(), max_tokens.bit_length())
    return narrow, (organisation, model), (model,)
