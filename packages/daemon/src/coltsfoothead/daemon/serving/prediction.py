"""Predicted output lengths of the requests of this daemon."""

from collections.abc import Callable, Mapping

from coltsfoothead.daemon.serving import requests
from coltsfoothead.kernel import environment, registry
from coltsfoothead.kernel.prediction import outputlength

__all__ = ["Predictor", "prompt_tokens"]

# Rough length of a token in characters; only relative sizes matter to the policies.
CHARACTERS_PER_TOKEN = 4
# About 4 s of decoding at 34 ms between tokens; tags and part summaries are shorter.
LONG_TOKENS = 129.0


class Predictor:
    """Keeps one prediction per request and corrects it as tokens arrive.

    Parameters
    ----------
    document : callable
        Returns the environment document, or None.
    """

    def __init__(self, document: Callable[[], environment.Environment | None]) -> None:
        self._document = document
        self._policies: dict[str, outputlength.OutputLengthPredictor] = {}
        self._predictions: dict[str, outputlength.Prediction] = {}

    def of(self, request: requests.ModelRequest) -> outputlength.Prediction:
        """Returns the current prediction of a request."""
        known = self._predictions.get(request.request_id)
        policy = self._policy()
        if known is None:
            known = policy.predict(
                request.organisation,
                request.model,
                prompt_tokens(request.body),
                _stated_tokens(request.body),
            )
            request.on_end(lambda: self._ended(request))
        known = policy.correct(known, len(request.tokens))
        self._predictions[request.request_id] = known
        return known

    def remaining(self, request: requests.ModelRequest) -> float:
        """Returns the tokens that are still expected, at least one."""
        return max(1.0, self.of(request).tokens - len(request.tokens))

    def _policy(self) -> outputlength.OutputLengthPredictor:
        document = self._document()
        name = document.policies.prediction if document else "outputlength"
        if name not in self._policies:
            settings = outputlength.OutputLengthSettings(long_tokens=LONG_TOKENS)
            self._policies[name] = registry.resolve("prediction", name)(settings)
        return self._policies[name]

    def _ended(self, request: requests.ModelRequest) -> None:
        known = self._predictions.pop(request.request_id, None)
        if known is not None and isinstance(request.end, requests.Completion):
            self._policy().observe(known, len(request.tokens))


def prompt_tokens(body: Mapping[str, object]) -> int:
    """Returns the estimated number of prompt tokens of a chat-completions body."""
    messages = body.get("messages")
    assert isinstance(messages, list)
    length = sum(len(str(each.get("content") or "")) for each in messages)
    return length // CHARACTERS_PER_TOKEN + 1


def _stated_tokens(body: Mapping[str, object]) -> int:
    stated = body.get("max_completion_tokens") or body.get("max_tokens")
    return stated if isinstance(stated, int) else 0
