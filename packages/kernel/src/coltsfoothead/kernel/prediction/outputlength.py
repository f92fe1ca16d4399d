"""Predicts output lengths from what earlier requests of an organisation turned out to be."""

import collections
import dataclasses

from coltsfoothead.kernel import registry, sketch, views

__all__ = ["OutputLengthPredictor", "OutputLengthSettings", "Prediction"]


@dataclasses.dataclass(frozen=True, slots=True)
class OutputLengthSettings:
    """Constants of the prediction.

    Parameters
    ----------
    long_tokens : float
        Predicted length from which a request is long.
    quantiles : tuple of float
        Quantiles used in turn: the first for a new request, the next once it is outlived.
    minimum_samples : float
        Samples below which a wider group of requests is used.
    prior_tokens : float
        Length assumed without any samples.
    max_sketches : int
        Sketches kept; the least recently used is dropped first.
    """

    long_tokens: float = 1_000.0
    quantiles: tuple[float, ...] = (0.5, 0.8, 0.95, 0.99)
    minimum_samples: float = 10.0
    prior_tokens: float = 200.0
    max_sketches: int = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted length of one output, with what is needed to correct it."""

    tokens: float
    request_class: views.RequestClass
    quantile: int
    organisation: str
    model: str
    prompt_tokens: int
    max_tokens: int


@registry.register("prediction", "outputlength")
class OutputLengthPredictor:
    """Quantile sketches per organisation, model, prompt-length bucket and stated maximum.

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
        known = self._known(_keys(organisation, model, prompt_tokens, max_tokens))
        tokens = known.quantile(self._settings.quantiles[0]) if known else 0.0
        tokens = tokens or self._settings.prior_tokens
        return self._prediction(
            tokens, 0, 0, organisation, model, prompt_tokens=prompt_tokens, max_tokens=max_tokens
        )

    def correct(self, prediction: Prediction, produced: int) -> Prediction:
        """Returns the prediction for a request that has produced tokens and goes on.

        An outlived prediction moves to the next quantile that is above what was produced. Beyond
        the last one, the request is expected to double. A class only changes from short to long.
        """
        if produced < prediction.tokens:
            return prediction
        settings = self._settings
        keys = _keys(
            prediction.organisation,
            prediction.model,
            prediction.prompt_tokens,
            prediction.max_tokens,
        )
        known = self._known(keys)
        quantile = prediction.quantile
        tokens = 0.0
        while known and tokens <= produced and quantile + 1 < len(settings.quantiles):
            quantile += 1
            tokens = known.quantile(settings.quantiles[quantile])
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
        """Counts the length of an output that ended by itself."""
        keys = _keys(
            prediction.organisation,
            prediction.model,
            prediction.prompt_tokens,
            prediction.max_tokens,
        )
        for key in reversed(keys):
            known = self._sketches.get(key)
            if known is None:
                known = self._sketches[key] = sketch.QuantileSketch(smallest=1.0)
            self._sketches.move_to_end(key)
            known.add(produced)
        while len(self._sketches) > self._settings.max_sketches:
            self._sketches.popitem(last=False)

    def _known(self, keys: tuple[tuple, ...]) -> sketch.QuantileSketch | None:
        for key in keys:
            known = self._sketches.get(key)
            if known is not None and known.total >= self._settings.minimum_samples:
                return known
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
        kind = views.RequestClass.LONG if is_long else views.RequestClass.SHORT
        return Prediction(tokens, kind, quantile, organisation, model, prompt_tokens, max_tokens)


def _keys(organisation: str, model: str, prompt_tokens: int, max_tokens: int) -> tuple[tuple, ...]:
    """Returns the groups of a request, the narrowest first; lengths fall into powers of two."""
    narrow = (organisation, model, prompt_tokens.bit_length(), max_tokens.bit_length())
    return narrow, (organisation, model), (model,)
