"""Output-length prediction for the requests of this daemon."""

from collections.abc import Callable, Mapping

from coltsfoothead.daemon.serving import requests
from coltsfoothead.kernel import environment, registry
from coltsfoothead.kernel.prediction import outputlength

__all__ = ["Predictor", "prompt_tokens"]

# Rough average; the policies use only relative sizes.
CHARACTERS_PER_TOKEN = 4
# Output length from which a request counts as long: about 4 s of decoding at 34 ms per token. Tags
# and summaries of parts are shorter.
LONG_OUTPUT_TOKENS = 129.0


class Predictor:
    """Predicts the output length of each request and corrects it as tokens arrive.

    Parameters
    ----------
    document : callable
        Returns the environment document, or None.
    """

    def __init__(self, document: Callable[[], environment.Environment | None]) -> None:
        self._document = document
        self._policies: dict[str, outputlength.OutputLengthPredictor] = {}
        self._predictions: dict[str, outputlength.Prediction] = {}

    def predict(self, request: requests.ModelRequest) -> outputlength.Prediction:
        """Returns the current prediction of a request."""
        predicted = self._predictions.get(request.request_id)
        policy = self._policy()
        if predicted is None:
            predicted = policy.predict(
                request.organisation,
                request.model,
                prompt_tokens(request.body),
                _max_output_tokens(request.body),
            )
            request.on_end(lambda: self._observe_end(request))
        predicted = policy.correct(predicted, len(request.tokens))
        self._predictions[request.request_id] = predicted
        return predicted

    def remaining_tokens(self, request: requests.ModelRequest) -> float:
        """Returns the expected number of tokens still to come, at least one."""
        return max(1.0, self.predict(request).tokens - len(request.tokens))

    def _policy(self) -> outputlength.OutputLengthPredictor:
        document = self._document()
        name = document.policies.prediction if document else "outputlength"
        if name not in self._policies:
            settings = outputlength.OutputLengthSettings(long_tokens=LONG_OUTPUT_TOKENS)
            self._policies[name] = registry.resolve("prediction", name)(settings)
        return self._policies[name]

    def _observe_end(self, request: requests.ModelRequest) -> None:
        predicted = self._predictions.pop(request.request_id, None)
        if predicted is not None and isinstance(request.end, requests.Completion):
            self._policy().observe(predicted, len(request.tokens))


def prompt_tokens(body: Mapping[str, object]) -> int:
    """Returns the estimated number of prompt tokens of a chat-completions body."""
    messages = body.get("messages")
    assert isinstance(messages, list)
    length = sum(len(str(each.get("content") or "")) for each in messages)
    return length // CHARACTERS_PER_TOKEN + 1


def _max_output_tokens(body: Mapping[str, object]) -> int:
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    return max_tokens if isinstance(max_tokens, int) else 0
