"""Voters, learners and the rules for changing them."""

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
    "without",
    "voters",
]

Members = Mapping[str, schema.Member]
_decoder = msgspec.msgpack.Decoder(dict[str, schema.Member])


def encode(members: Members) -> bytes:
    """Returns the content of a membership entry."""
    return msgspec.msgpack.encode(dict(sorted(members.items())))


def decode(data: bytes) -> dict[str, schema.Member]:
    """Returns the members in a membership entry."""
    return _decoder.decode(data)


def voters(members: Members) -> frozenset[str]:
    """Returns the IDs of the voters."""
    return frozenset(name for name, member in members.items() if member.voter)


def with_learner(members: Members, name: str, address: str, zone: str) -> Members:
    """Returns the members with a new learner."""
    if name in members:
        raise errors.MembershipChangeError(f"{name!r} is a member already")
    return {**members, name: schema.Member(address, zone, False)}


def with_promotion(members: Members, name: str) -> Members:
    """Returns the members with a learner made voter."""
    if name not in members or members[name].voter:
        raise errors.MembershipChangeError(f"{name!r} is not a learner")
    return {**members, name: msgspec.structs.replace(members[name], voter=True)}


def without(members: Members, name: str) -> Members:
    """Returns the members without one."""
    if name not in members:
        raise errors.MembershipChangeError(f"{name!r} is not a member")
    rest = {other: member for other, member in members.items() if other != name}
    if not voters(rest):
        raise errors.MembershipChangeError(f"{name!r} is the last voter")
    return rest


def _majority_zones(members: Members) -> set[str]:
    zones = Counter(member.zone for member in members.values() if member.voter)
    return {zone for zone, count in zones.items() if 2 * count > zones.total()}


def check_zone_spread(before: Members, after: Members) -> None:
    """Checks that no zone gets a majority of the voters that it did not have.

    Raises
    ------
    ZoneSpreadError
        If one does. A first configuration (`before` empty) may lie in a single zone.
    """
    gained = _majority_zones(after) - _majority_zones(before)
    zones = {member.zone for member in after.values() if member.voter}
    if gained and (before or len(zones) > 1):
        raise errors.ZoneSpreadError(f"zone {min(gained)!r} would hold a majority of the voters")
