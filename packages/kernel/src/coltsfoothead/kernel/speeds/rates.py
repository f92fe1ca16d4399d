"""Rates at which a model runner works."""

import dataclasses

__all__ = ["NOMINAL", "Rates"]

# Prefill rate of an engine without waiting prompts.
IDLE_PREFILL_TOKENS_PER_SECOND = 56_000.0
# Prefill rate of an engine beside its running requests while 10,000 to 30,000 prompt tokens wait.
PREFILL_TOKENS_PER_SECOND = 22_000.0
# Delay that each running request adds to the start of another, by the step times of the
# specification.
DELAY_SECONDS_PER_REQUEST = 0.004
# Waiting prompt tokens per second of the longest pause allowed, beyond which the running streams
# of an engine are late. Each step that generates an event also prefills a chunk of these prompts.
MAX_WAITING_TOKENS_PER_SECOND = 47_500.0
# Rate at which an engine decodes about thirty requests at once.
DECODE_TOKENS_PER_SECOND = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Rates of one model runner; by default those of the specification's engine.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Rate at which waiting prompts are prefilled beside running requests.
    idle_prefill_tokens_per_second : float
        Rate at which a prompt is prefilled alone.
    delay_seconds_per_request : float
        Delay that each request in flight adds to the start of another.
    max_waiting_tokens_per_second : float
        Waiting prompt tokens per second of the longest pause allowed, beyond which streams are
        late.
    decode_tokens_per_second : float
        Rate at which tokens of about thirty requests are generated at once.
    start_seconds : float
        Time to the first event of a request that nothing delays, without its prefill.
    sustained_prefill_tokens_per_second : float
        Rate at which prompts are prefilled in the long run, beside the steps of running requests.
    """

    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND
    idle_prefill_tokens_per_second: float = IDLE_PREFILL_TOKENS_PER_SECOND
    delay_seconds_per_request: float = DELAY_SECONDS_PER_REQUEST
    max_waiting_tokens_per_second: float = MAX_WAITING_TOKENS_PER_SECOND
    decode_tokens_per_second: float = DECODE_TOKENS_PER_SECOND
    start_seconds: float = 0.0
    sustained_prefill_tokens_per_second: float = IDLE_PREFILL_TOKENS_PER_SECOND

    def scaled(self, speed: float) -> "Rates":
        """Returns the rates of a runner that is `speed` times as fast."""
        return Rates(
            self.prefill_tokens_per_second * speed,
            self.idle_prefill_tokens_per_second * speed,
            self.delay_seconds_per_request / speed,
            self.max_waiting_tokens_per_second * speed,
            self.decode_tokens_per_second * speed,
            self.start_seconds / speed,
            self.sustained_prefill_tokens_per_second * speed,
        )


NOMINAL = Rates()
