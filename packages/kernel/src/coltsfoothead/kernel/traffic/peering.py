"""Selection of the entries through which another entry reaches upstreams.

The leader names a few entries of each zone to every entry. They are neighbours on a hash ring, so
that the entries of a zone that is cut off spread over the others. An entry asks its peers which
services they reach before it passes requests to them.
"""

import bisect
import dataclasses
import random
from collections.abc import Callable, Iterable

import xxhash

__all__ = ["Peer", "PeerRing", "PeerState", "PeerTable", "digest"]

PEERS_PER_ZONE = 3
# Bound of the peers of one entry, in an installation of many zones.
MAX_PEERS = 32
# What a peer said of itself holds for this long.
STATE_MAX_AGE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry that other entries can call.

    Attributes
    ----------
    address : str
        ``IP:port`` of its links.
    zone : str
    """

    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """What an entry says of itself.

    Attributes
    ----------
    unreached_services : tuple of str
        Services that it cannot reach.
    free_places : int
        Further requests that it accepts from other entries.
    """

    unreached_services: tuple[str, ...] = ()
    free_places: int = 0


class PeerRing:
    """Peers of all entries.

    Parameters
    ----------
    entries : iterable of Peer
    """

    def __init__(self, entries: Iterable[Peer]) -> None:
        self._zones: dict[str, list[tuple[int, Peer]]] = {}
        for each in set(entries):
            self._zones.setdefault(each.zone, []).append((_position(each.address), each))
        for ring in self._zones.values():
            ring.sort(key=lambda item: (item[0], item[1].address))
        self._peers: dict[str, tuple[Peer, ...]] = {}

    def peers(self, address: str) -> tuple[Peer, ...]:
        """Returns the peers of the entry at an address."""
        if address not in self._peers:
            self._peers[address] = self._choose(address)
        return self._peers[address]

    def _choose(self, address: str) -> tuple[Peer, ...]:
        chosen: list[Peer] = []
        for zone, ring in sorted(self._zones.items(), key=lambda item: _position(item[0])):
            start = bisect.bisect_left(ring, _position(address + zone), key=lambda item: item[0])
            turned = ring[start:] + ring[:start]
            others = [peer for _, peer in turned[: PEERS_PER_ZONE + 1] if peer.address != address]
            chosen += others[:PEERS_PER_ZONE]
        return tuple(chosen[:MAX_PEERS])


@dataclasses.dataclass(slots=True)
class _KnownPeer:
    peer: Peer
    state: PeerState = PeerState()
    heard_at: float = float("-inf")
    in_flight: int = 0
    listed: bool = True


class PeerTable:
    """The peers of one entry and what they last said of themselves.

    Parameters
    ----------
    distance : callable
        Returns the distance to a zone: 0 for the entry's own, more for farther ones.
    rng : random.Random
    """

    def __init__(self, distance: Callable[[str], int], rng: random.Random) -> None:
        self._distance = distance
        self._rng = rng
        self._known: dict[str, _KnownPeer] = {}

    @property
    def digest(self) -> int:
        """Digest of the peers."""
        return digest(each.peer for each in self._known.values() if each.listed)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of the peers."""
        return tuple(self._known)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replaces the peers; those with requests in flight are kept, but get no further ones."""
        listed = {each.address: each for each in peers}
        kept = {name: each for name, each in self._known.items() if each.in_flight}
        new = {name: self._known.get(name) or _KnownPeer(each) for name, each in listed.items()}
        self._known = kept | new
        for name, each in self._known.items():
            each.listed = name in listed

    def record_state(self, address: str, state: PeerState | None, now: float) -> None:
        """Records what a peer said of itself, or that it did not answer."""
        known = self._known.get(address)
        if known is not None:
            known.state = state or PeerState()
            known.heard_at = float("-inf") if state is None else now

    def add_in_flight(self, address: str, change: int) -> None:
        """Counts requests that this entry has passed to a peer, or that have ended."""
        known = self._known.get(address)
        if known is not None:
            known.in_flight += change

    def reaching(self, service: str, now: float) -> list[str]:
        """Returns the addresses of the peers that reach a service, the preferred one first."""
        usable = self.usable(service, now)
        usable.sort(
            key=lambda peer: (
                self._distance(peer.zone),
                self._known[peer.address].in_flight,
                self._rng.random(),
            )
        )
        return [peer.address for peer in usable]

    def usable(self, service: str, now: float) -> list[Peer]:
        """Returns the peers that reach a service, in no particular order."""
        return [
            each.peer
            for each in self._known.values()
            if each.listed
            and now - each.heard_at <= STATE_MAX_AGE_SECONDS
            and service not in each.state.unreached_services
            and each.state.free_places > 0
        ]


def digest(peers: Iterable[Peer]) -> int:
    """Returns a digest of a set of peers; 0 for none."""
    keys = sorted(f"{each.address}|{each.zone}" for each in peers)
    return _position(" ".join(keys)) if keys else 0


def _position(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
