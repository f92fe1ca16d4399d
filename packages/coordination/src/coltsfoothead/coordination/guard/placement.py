"""Choice of the guard by rendezvous hashing."""

import xxhash

__all__ = ["choose_guard", "rank_members"]


def rank_members(request_id, members):
    """Returns the members in the order in which to query them for the owner or guard of a request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    members : Iterable
        Live members with the attributes ``id``, ``region`` and ``zone``, such as
        `membership.members.Member`.
    """
    return sorted(members, key=lambda member: (-_weight(request_id, member.id), member.id))


def choose_guard(request_id, members, owner):
    """Returns the guard for a request owned by `owner`, or None if no member qualifies.

    The guard is the first by rendezvous hash among the members in other zones of the owner's
    region, or among those in other regions if there are none.
    """
    others = [
        member
        for member in rank_members(request_id, members)
        if _location(member) != _location(owner)
    ]
    same_region = (member for member in others if member.region == owner.region)
    return next(same_region, next(iter(others), None))


def _location(member):
    return (member.region, member.zone)


def _weight(request_id, member_id):
    return xxhash.xxh64_intdigest(f"{member_id}\0{request_id}".encode())
