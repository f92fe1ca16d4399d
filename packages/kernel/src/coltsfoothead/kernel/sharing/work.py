"""Work of requests, and what entries and the leader tell each other about it.

Work is counted in runner-seconds: the time for which a request keeps one runner busy at its nominal
rates. The actual rates differ; work is only ever compared with work counted in the same way.
"""

import dataclasses

import msgspec

from coltsfoothead.kernel.traffic import demandmeter, runnerplan

__all__ = [
    "NO_ORGANISATION",
    "OrganisationShare",
    "RankWork",
    "RequestWork",
    "ServiceShare",
    "ServiceWork",
    "request_work",
]

# Name under which requests without an organisation share.
NO_ORGANISATION = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWork:
    """Work of one request, and the part of it spent on reading the prompt, in runner-seconds."""

    total: float
    prompt: float


def request_work(prompt_tokens: float, output_tokens: float) -> RequestWork:
    """Returns the work of a request.

    Parameters
    ----------
    prompt_tokens : float
        Prompt tokens that are not cached.
    output_tokens : float
        Tokens expected in the answer.
    """
    total = demandmeter.DemandRates(prompt_tokens=prompt_tokens, output_tokens=output_tokens)
    prompt = demandmeter.DemandRates(prompt_tokens=prompt_tokens)
    return RequestWork(runnerplan.busy_runners(total), runnerplan.busy_runners(prompt))


class RankWork(msgspec.Struct, frozen=True, array_like=True):
    """Work of the requests of one organisation and rank, in runner-seconds.

    Parameters
    ----------
    rank : int
        Urgency; 0 is the most urgent.
    offered, admitted : float
        Work that callers asked for, and the part of it that was admitted.
    """

    organisation: str
    rank: int
    offered: float
    admitted: float


class ServiceWork(msgspec.Struct, frozen=True, array_like=True):
    """Work for one service at an entry since its last report.

    Parameters
    ----------
    prompt_work : float
        Part of the admitted work that is spent on reading prompts, in runner-seconds.
    ranks : tuple of RankWork
    requests : int
        Admitted requests.
    largest : float
        Work of the largest admitted request, in runner-seconds.
    """

    service: str
    prompt_work: float
    ranks: tuple[RankWork, ...]
    requests: int = 0
    largest: float = 0.0


class OrganisationShare(msgspec.Struct, frozen=True, array_like=True):
    """Share of an organisation that wants more than it.

    Parameters
    ----------
    rate, total_rate : float
        Runner-seconds a second that the receiver may admit, and all entries together.
    marginal_rank : int
        The least urgent rank for which the share has room; more urgent ones have room for all.
    """

    organisation: str
    rate: float
    total_rate: float
    marginal_rank: int


class ServiceShare(msgspec.Struct, frozen=True, array_like=True):
    """Division of a service whose room is short.

    Parameters
    ----------
    rate, total_rate : float
        Room for the receiver, and for all entries together, in runner-seconds a second.
    limited : tuple of OrganisationShare
        Organisations that want more than their share; the others are not limited.
    """

    service: str
    rate: float
    total_rate: float
    limited: tuple[OrganisationShare, ...]
