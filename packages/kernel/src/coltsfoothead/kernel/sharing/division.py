"""Division of a service's room by weighted max-min fairness, then by urgency."""

from collections.abc import Mapping

__all__ = ["divide", "marginal_rank"]


def divide(
    room: float, demands: Mapping[str, float], weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Divides room among organisations.

    A demand below the share is served whole, and what it leaves is divided again. No share can grow
    without making smaller the share of an organisation that has less for its weight.

    Parameters
    ----------
    room : float
        In any unit, the one of the demands.
    demands : mapping of str to float
        Demand by organisation.
    weights : mapping of str to float, optional
        Positive weights; 1 for organisations without one.

    Returns
    -------
    dict of str to float
        Shares; each is at most the demand, and their sum at most the room.
    """
    weights = weights or {}
    shares = {}
    left = max(0.0, room)
    left_weight = sum(weights.get(name, 1.0) for name in demands)
    for name in sorted(demands, key=lambda each: demands[each] / weights.get(each, 1.0)):
        weight = weights.get(name, 1.0)
        # The last share takes what is left, without the error of adding up the weights.
        fair = left * weight / left_weight if left_weight > weight else left
        shares[name] = min(demands[name], fair)
        left = max(0.0, left - shares[name])
        left_weight -= weight
    return shares


def marginal_rank(share: float, demands: Mapping[int, float]) -> int:
    """Returns the least urgent rank for which a share has room.

    Parameters
    ----------
    share : float
    demands : mapping of int to float
        Demand by rank; 0 is the most urgent rank.
    """
    ranks = sorted(rank for rank, demand in demands.items() if demand > 0)
    left = share
    for rank in ranks:
        left -= demands[rank]
        if left <= 0:
            return rank
    return ranks[-1] if ranks else 0
