"""Calls the control leader, whoever it is."""

import random
from collections.abc import Iterable

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import eventlog

__all__ = ["LeaderLink", "LeaderUnreachableError", "peer_address"]


class LeaderUnreachableError(errors.DaemonError):
    """No control process that leads could be reached."""


def peer_address(address: str, port: int) -> str:
    """Returns where the process that has an ``IP:port`` address listens for its peers."""
    return f"{address.rpartition(':')[0]}:{port}"


class LeaderLink:
    """Knows some control processes and which of them leads.

    Parameters
    ----------
    links : Links
    seeds : iterable of str
        Peer addresses from the settings.
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
        self._others: dict[str, str] = {}
        self._set_peers()

    @property
    def leader(self) -> str | None:
        """Peer address of the process that led last, as far as this one knows."""
        return self._leader

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the addresses from the settings."""
        self._seeds = tuple(seeds)
        self._set_peers()

    def set_controls(self, controls: Iterable[str]) -> None:
        """Replaces the control processes that the leader named; the leader itself stays known."""
        known = {*controls} if self._leader is None else {*controls, self._leader}
        if known != set(self._controls):
            self._controls = tuple(sorted(known))
            self._set_peers()

    def set_replicas(self, replicas: dict[str, str]) -> None:
        """Replaces the peers that are known by their IDs, with their addresses."""
        if replicas != self._others:
            self._others = dict(replicas)
            self._set_peers()

    def follow(self, leader: str | None) -> None:
        """Takes what another process says of the leader."""
        if leader is not None and leader not in self._controls + self._seeds:
            self._controls = (*self._controls, leader)
            self._set_peers()
        if leader != self._leader:
            self._leader = leader

    def targets(self) -> list[str]:
        """Returns the addresses to ask, the leader first."""
        others = list({*self._controls, *self._seeds} - {self._leader})
        self._rng.shuffle(others)
        return others if self._leader is None else [self._leader, *others]

    async def ask(self, address: str, method: str, payload: bytes, timeout: float) -> bytes:
        """Calls one process.

        Raises
        ------
        LeaderUnreachableError
            If it does not answer in time.
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

    def _set_peers(self) -> None:
        addresses = {*self._controls, *self._seeds}
        named = {f"{links_module.ADDRESS_PREFIX}{each}": each for each in addresses}
        self._links.set_peers({**named, **self._others})
