"""Cluster membership: voters, learners and the rules for changing them."""

from collections import Counter
from collections.abc import Mapping

import msgspec

from coltsfoothead.coordination.replication import errors
from coltsfoothead.coordination.storage import schema

__all__ = [
    "Members",
    "check_zone_spread",
    "decode",
    "encode",
    "with_learner",
    "with_promotion",
    "without_member",
    "voters",
]

Members = Mapping[str, schema.Member]
_decoder = msgspec.msgpack.Decoder(dict[str, schema.Member])


def encode(members: Members) -> bytes:
    """Returns the data of a membership entry."""
    return msgspec.msgpack.encode(dict(sorted(members.items())))


def decode(data: bytes) -> dict[str, schema.Member]:
    """Returns the members from the data of a membership entry."""
    return _decoder.decode(data)


def voters(members: Members) -> frozenset[str]:
    """Returns the IDs of the voters."""
    return frozenset(member_id for member_id, member in members.items() if member.voter)


def with_learner(members: Members, member_id: str, address: str, zone: str) -> Members:
    """Returns the members with a new learner."""
    if member_id in members:
        raise errors.MembershipChangeError(f"{member_id!r} is a member already")
    return {**members, member_id: schema.Member(address, zone, False)}


def with_promotion(members: Members, member_id: str) -> Members:
    """Returns the members with a learner promoted to voter."""
    if member_id not in members or members[member_id].voter:
        raise errors.MembershipChangeError(f"{member_id!r} is not a learner")
    return {**members, member_id: msgspec.structs.replace(members[member_id], voter=True)}


def without_member(members: Members, member_id: str) -> Members:
    """Returns the members without one of them."""
    if member_id not in members:
        raise errors.MembershipChangeError(f"{member_id!r} is not a member")
    remaining = {other: member for other, member in members.items() if other != member_id}
    if not voters(remaining):
        raise errors.MembershipChangeError(f"{member_id!r} is the last voter")
    return remaining


def _majority_zones(members: Members) -> set[str]:
    zones = Counter(member.zone for member in members.values() if member.voter)
    return {zone for zone, count in zones.items() if 2 * count > zones.total()}


def check_zone_spread(before: Members, after: Members) -> None:
    """Checks that no zone gains a majority of the voters.

    The first configuration (`before` is empty) may lie in a single zone.

    Raises
    ------
    ZoneSpreadError
        If a zone has a majority in `after` that it did not have in `before`.
    """
    gained = _majority_zones(after) - _majority_zones(before)
    zones = {member.zone for member in after.values() if member.voter}
    if gained and (before or len(zones) > 1):
        raise errors.ZoneSpreadError(f"zone {min(gained)!r} would hold a majority of the voters")
