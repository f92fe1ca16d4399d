"""Finds the control leader and calls control processes."""

import random
from collections.abc import Iterable

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import eventlog

__all__ = ["LeaderLink", "LeaderUnreachableError", "peer_address"]


class LeaderUnreachableError(errors.DaemonError):
    """A control process did not answer a call."""


def peer_address(address: str, port: int) -> str:
    """Returns the address with another port: the peer address of the process at ``IP:port``."""
    return f"{address.rpartition(':')[0]}:{port}"


class LeaderLink:
    """Tracks the addresses of the control processes and which of them is the leader.

    Parameters
    ----------
    links : Links
    seeds : iterable of str
        Peer addresses of control processes from the settings.
    events : EventLog
    rng : random.Random
    """

    def __init__(
        self,
        links: links_module.Links,
        seeds: Iterable[str],
        events: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._events = events
        self._rng = rng
        self._seeds = tuple(seeds)
        self._controls: tuple[str, ...] = ()
        self._leader: str | None = None
        self._replica_addresses: dict[str, str] = {}
        self._entries: tuple[str, ...] = ()
        self._update_peers()

    @property
    def leader(self) -> str | None:
        """Peer address of the last known leader, or None."""
        return self._leader

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of control processes from the settings."""
        return self._seeds

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seed addresses."""
        self._seeds = tuple(seeds)
        self._update_peers()

    def set_controls(self, controls: Iterable[str]) -> None:
        """Replaces the addresses that the leader listed; the leader's own address is kept."""
        known = {*controls} if self._leader is None else {*controls, self._leader}
        if known != set(self._controls):
            self._controls = tuple(sorted(known))
            self._update_peers()

    def set_replicas(self, replicas: dict[str, str]) -> None:
        """Replaces the peers that can be called by replica ID; maps each ID to an address."""
        if replicas != self._replica_addresses:
            self._replica_addresses = dict(replicas)
            self._update_peers()

    def set_entries(self, addresses: Iterable[str]) -> None:
        """Replaces the addresses of entries that this process calls."""
        self._entries = tuple(addresses)
        self._update_peers()

    def set_leader(self, leader: str | None) -> None:
        """Sets the leader's peer address; it becomes a known address if it was not one."""
        if leader is not None and leader not in self._controls + self._seeds:
            self._controls = (*self._controls, leader)
            self._update_peers()
        if leader != self._leader:
            self._leader = leader

    def targets(self) -> list[str]:
        """Returns the addresses to call, the leader first."""
        others = list({*self._controls, *self._seeds} - {self._leader})
        self._rng.shuffle(others)
        return others if self._leader is None else [self._leader, *others]

    async def call(self, address: str, method: str, payload: bytes, timeout: float) -> bytes:
        """Calls an RPC method of the process at an address.

        Parameters
        ----------
        address : str
            Peer address of the process.
        method : str
        payload : bytes
        timeout : float
            In seconds.

        Raises
        ------
        LeaderUnreachableError
            If the process does not answer in time. If it was the known leader, no leader is known
            from then on.
        """
        try:
            return await self._links.call(
                f"{links_module.ADDRESS_PREFIX}{address}", method, payload, timeout
            )
        except coordination_errors.CoordinationError as error:
            if address == self._leader:
                self._leader = None
                self._events.warn("leader_lost", leader=address, error=str(error))
            raise LeaderUnreachableError(f"{address}: {error}") from error

    def _update_peers(self) -> None:
        addresses = {*self._controls, *self._seeds, *self._entries}
        named = {f"{links_module.ADDRESS_PREFIX}{each}": each for each in addresses}
        self._links.set_peers({**named, **self._replica_addresses})
