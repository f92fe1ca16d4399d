"""What entries and the leader tell each other of the speeds of upstreams."""

import dataclasses
from collections.abc import Mapping, Sequence

from coltsfoothead.kernel.speeds import answermodel

__all__ = ["Observations", "Update", "decode_model", "encode_model"]


@dataclasses.dataclass(frozen=True, slots=True)
class Observations:
    """What an entry has observed since its last report.

    Attributes
    ----------
    deviations : tuple of (str, int, int, int)
        ID and start of each upstream that answered, the weight of its answers, and the sum of
        weight times logarithm of the speed, in percent.
    sums : dict of str to (tuple of int, tuple of int)
        Sums of the time to the first event and of the pauses by service.
    """

    deviations: tuple[tuple[str, int, int, int], ...] = ()
    sums: Mapping[str, tuple[tuple[int, ...], tuple[int, ...]]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Learned speeds that have changed.

    Attributes
    ----------
    version : int
        Number of the newest change.
    speeds : tuple of (str, int, int)
        ID, start and speed of upstreams, in percent of the median of their service.
    models : dict of str to tuple of int
        Coefficients of services in percent.
    """

    version: int
    speeds: tuple[tuple[str, int, int], ...] = ()
    models: Mapping[str, tuple[int, ...]] = dataclasses.field(default_factory=dict)


def encode_model(model: answermodel.AnswerModel) -> tuple[int, ...]:
    """Returns the coefficients of a model in percent."""
    return tuple(round(100 * each) for each in (*model.start, *model.pause))


def decode_model(encoded: Sequence[int]) -> answermodel.AnswerModel | None:
    """Returns the model with some coefficients in percent; None if another build sent them."""
    if len(encoded) != answermodel.COEFFICIENTS or min(encoded) <= 0:
        return None
    values = [each / 100 for each in encoded]
    start_terms = answermodel.START_TERMS
    return answermodel.AnswerModel(tuple(values[:start_terms]), tuple(values[start_terms:]))
