"""Deterministic, zone-aware subset of the upstreams that one entry routes to."""

import dataclasses
import heapq
from collections.abc import Iterable

import xxhash

__all__ = ["SUBSET_SIZE", "UpstreamLocation", "choose_subset"]

SUBSET_SIZE = 32
_OWN_ZONE_SHARE = 0.5
_OWN_REGION_SHARE = 0.875  # includes the own zone; the rest survives the loss of the region


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLocation:
    """Zone and region of an upstream."""

    upstream: str
    zone: str
    region: str


def choose_subset(
    entry: str,
    zone: str,
    region: str,
    upstreams: Iterable[UpstreamLocation],
    size: int = SUBSET_SIZE,
) -> tuple[str, ...]:
    """Returns the upstreams that an entry routes to, nearest first.

    Notes
    -----
    Rendezvous hashing keeps the choice stable: an upstream that joins or leaves changes at most
    one member. Half of the members are in the entry's own zone, so that the loss of a zone leaves
    the other half, and an eighth are in other regions. Members that a group cannot provide come
    from the nearest group that can.

    Examples
    --------
    >>> choose_subset("entry-1", "z1", "r1", [UpstreamLocation("a", "z1", "r1")])
    ('a',)
    """
    groups: tuple[list[tuple[int, str]], ...] = ([], [], [])
    for each in upstreams:
        distance = 2 if each.region != region else int(each.zone != zone)
        score = xxhash.xxh64_intdigest(f"{entry}\0{each.upstream}".encode())
        groups[distance].append((score, each.upstream))
    ranked = [heapq.nlargest(size, group) for group in groups]
    own_zone, own_region = int(size * _OWN_ZONE_SHARE), int(size * _OWN_REGION_SHARE)
    quotas = (own_zone, own_region - own_zone, size - own_region)
    counts = [min(quota, len(group)) for quota, group in zip(quotas, ranked, strict=True)]
    for index, group in enumerate(ranked):
        unfilled = size - sum(counts)
        counts[index] += min(unfilled, len(group) - counts[index])
    return tuple(
        name for group, count in zip(ranked, counts, strict=True) for _, name in group[:count]
    )
