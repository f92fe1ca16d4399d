"""Choice of the guard by rendezvous hash."""

import xxhash

__all__ = ["choose_guard", "rank"]


def rank(request_id, members):
    """Returns the members in the order in which to ask who holds a request.

    Parameters
    ----------
    request_id : str
        The request.
    members : Iterable
        Live members with ``id``, ``region`` and ``zone``, as `membership.members.Member` has.
    """
    return sorted(members, key=lambda member: (-_weight(request_id, member.id), member.id))


def choose_guard(request_id, members, me):
    """Returns the guard for a request owned by `me`, or None.

    It is the first by rendezvous hash among the members of other zones of the same region, or of
    other regions if there is none.
    """
    others = [member for member in rank(request_id, members) if _place(member) != _place(me)]
    near = (member for member in others if member.region == me.region)
    return next(near, next(iter(others), None))


def _place(member):
    return (member.region, member.zone)


def _weight(request_id, member_id):
    return xxhash.xxh64_intdigest(f"{member_id}\0{request_id}".encode())
