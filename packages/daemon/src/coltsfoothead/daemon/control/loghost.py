"""Runs this daemon's replicas of the Raft logs and connects them to the links between daemons."""

import dataclasses
import pathlib
import random
from collections.abc import Callable, Mapping

from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.machine import host
from coltsfoothead.coordination.replication import settings as replication_settings
from coltsfoothead.coordination.replication import task as replication_task
from coltsfoothead.coordination.storage import disk, folder
from coltsfoothead.coordination.transport import links as links_module

__all__ = ["CONTROL", "LEDGER", "LOGS", "LogHost"]

CONTROL = "control"
LEDGER = "ledger"
LOGS = {CONTROL: host.CONTROL_STATE_MACHINES, LEDGER: host.LEDGER_STATE_MACHINES}


class LogHost:
    """The log replicas of one daemon; a daemon without a data folder has none.

    Parameters
    ----------
    data_folder : path or None
    cluster, replica : str
        IDs of the cluster and of this replica, which must match those stored in the folders.
    founders : mapping of str to tuple of str
        Address and zone of each initial voter by its ID.
    links : Links
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random
    require_zone_spread : bool
        Refuse changes of voters that would give one zone a majority.
    logs : mapping of str to tuple of str, optional
        Names of the state machines of each log.
    settings : Settings, optional
        Timings and limits of the logs; `require_zone_spread` overrides the field of that name.

    Raises
    ------
    StorageError
        If a folder is damaged, locked, or belongs to another cluster or replica.
    """

    def __init__(
        self,
        data_folder: pathlib.Path | None,
        cluster: str,
        replica: str,
        founders: Mapping[str, tuple[str, str]],
        links: links_module.Links,
        clock: Callable[[], float],
        rng: random.Random,
        require_zone_spread: bool,
        logs: Mapping[str, tuple[str, ...]] | None = None,
        settings: replication_settings.Settings | None = None,
    ) -> None:
        self._links = links
        self._replica = replica
        self._machines: dict[str, host.StateMachineHost] = {}
        self._tasks: dict[str, replication_task.LogTask] = {}
        settings = dataclasses.replace(
            settings or replication_settings.Settings(), require_zone_spread=require_zone_spread
        )
        for name, machine_names in (logs or LOGS).items() if data_folder else ():
            replica_folder = folder.ReplicaFolder(
                disk.DirectoryDisk(data_folder / name), f"{cluster}/{name}", replica, rng
            )
            self._machines[name] = host.StateMachineHost(machine_names)
            self._tasks[name] = replication_task.LogTask(
                replica_folder,
                self._machines[name],
                self._make_sender(name),
                clock,
                rng,
                settings,
                founders,
            )

    @property
    def tasks(self) -> Mapping[str, replication_task.LogTask]:
        """The log tasks by name; empty without a data folder."""
        return self._tasks

    def machine(self, name: str) -> host.StateMachineHost:
        """Returns the state machine of a log."""
        return self._machines[name]

    def leads(self, name: str) -> bool:
        """Returns whether this daemon leads a log."""
        task = self._tasks.get(name)
        return task is not None and task.status().role == "leader"

    async def start(self) -> None:
        """Starts the replicas."""
        for name, task in self._tasks.items():
            await task.start()
            self._links.on(f"raft-{name}", task.receive)

    async def transfer_leadership(self) -> None:
        """Transfers the leadership of every led log that has another voter."""
        for name, task in self._tasks.items():
            status = task.status()
            if status.role != "leader" or len(status.voters) < 2:
                continue
            try:
                target = await task.transfer_leadership()
                logging.info(
                    "daemon %s: %s log: leadership transferred to %s", self._replica, name, target
                )
            except coordination_errors.CoordinationError as error:
                logging.warning(
                    "daemon %s: %s log: leadership not transferred: %s", self._replica, name, error
                )

    async def stop(self) -> None:
        """Stops the replicas and closes their folders."""
        for task in self._tasks.values():
            await task.stop()

    async def wait_stopped(self, name: str) -> Exception | None:
        """Waits until a log's task stops; returns the error that stopped it, or None."""
        return await self._tasks[name].wait_stopped()

    def _make_sender(self, name: str) -> Callable[[str, bytes], None]:
        channel = f"raft-{name}"

        def send(peer: str, payload: bytes) -> None:
            try:
                self._links.send(peer, channel, payload)
            except coordination_errors.CoordinationError as error:
                # The log repeats messages; a peer is unknown until the membership has its address.
                logging.debug("%s log: message to %s not sent: %s", name, peer, error)

        return send
