"""Keeps the rollouts in the control log, which outlives all processes.

Each step of a rollout is a write-once register; the first one written is final. The log drops its
oldest registers, so that the leader writes those of each service's newest rollouts again in time.
"""

import msgspec

from coltsfoothead.coordination import writeonce
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.kernel.rollouts import orders

__all__ = ["RolloutLog"]

# Prefix of the registers; the rest of the key is service, order number, step and copy.
PREFIX = "rollout/"
ORDERED, SHIFTING, ENDED = "ordered", "shifting", "ended"
# Rollouts of one service that are written again.
KEPT_ROLLOUTS = 4


class _Ended(msgspec.Struct, frozen=True):
    phase: orders.Phase
    cause: str
    replaced: tuple[str, ...] = ()


class RolloutLog:
    """Writes and reads the steps of rollouts.

    Parameters
    ----------
    logs : LogHost
    log_proposer : Proposer
    """

    def __init__(self, logs: loghost.LogHost, log_proposer: proposer.Proposer) -> None:
        self._logs = logs
        self._proposer = log_proposer
        # The registers that were read last, and what they hold.
        self._read: dict[str, bytes] = {}
        self._rollouts: dict[str, list[orders.Rollout]] = {}

    def read(self) -> dict[str, list[orders.Rollout]]:
        """Returns the rollouts by service, the newest last, as far as this process knows.

        The result is the same object as long as the log has nothing new.
        """
        registers = self._registers().read_all(PREFIX)
        if registers == self._read:
            return self._rollouts
        steps: dict[tuple[str, int], dict[str, bytes]] = {}
        for key, value in registers.items():
            service, number, step, _ = key.rsplit("/", 3)
            steps.setdefault((service, int(number)), {}).setdefault(step, value)
        rollouts: dict[str, list[orders.Rollout]] = {}
        for service, number in sorted(steps):
            found = steps[service, number]
            if ORDERED in found:
                rollouts.setdefault(service, []).append(_decode(found))
        self._read, self._rollouts = registers, rollouts
        return rollouts

    async def write_order(self, order: orders.Order) -> orders.Order:
        """Commits an order; returns the one that has its number, which may be another one.

        Raises
        ------
        QuorumLostError, UnknownOutcomeError
            If it is not certain that it was committed.
        """
        value = await self._write(order, ORDERED, msgspec.msgpack.encode(order))
        return msgspec.msgpack.decode(value, type=orders.Order)

    async def write_phase(self, rollout: orders.Rollout) -> None:
        """Commits a step of a rollout.

        Raises
        ------
        QuorumLostError, UnknownOutcomeError
            If it is not certain that it was committed.
        """
        if rollout.phase is orders.Phase.SHIFTING:
            await self._write(rollout.order, SHIFTING, b"")
            return
        ended = _Ended(rollout.phase, rollout.cause, rollout.replaced)
        await self._write(rollout.order, ENDED, msgspec.msgpack.encode(ended))

    async def renew(self) -> None:
        """Writes the registers again that the log would drop before long.

        Raises
        ------
        QuorumLostError, UnknownOutcomeError
            If it is not certain that they were committed.
        """
        registers = self._registers().read_all("")
        if len(registers) < writeonce.MAX_REGISTERS // 2:
            return
        position = {key: place for place, key in enumerate(registers)}
        newest: dict[str, tuple[int, int]] = {}
        last_number: dict[str, int] = {}
        for key in registers:
            if key.startswith(PREFIX):
                stem, _, copy = key.rpartition("/")
                newest[stem] = max(newest.get(stem, (-1, -1)), (int(copy), position[key]))
                service, number, _ = stem.rsplit("/", 2)
                last_number[service] = max(last_number.get(service, 0), int(number))
        for stem, (copy, place) in newest.items():
            service, number, _ = stem.rsplit("/", 2)
            kept = int(number) > last_number[service] - KEPT_ROLLOUTS
            if kept and place < len(registers) - writeonce.MAX_REGISTERS // 2:
                command = writeonce.Write(f"{stem}/{copy + 1}", registers[f"{stem}/{copy}"])
                await self._proposer.propose(loghost.CONTROL, writeonce.NAME, command)

    def _registers(self) -> writeonce.Registers:
        return self._logs.machine(loghost.CONTROL).state(writeonce.NAME)

    async def _write(self, order: orders.Order, step: str, value: bytes) -> bytes:
        key = f"{PREFIX}{order.service}/{order.number}/{step}/0"
        command = writeonce.Write(key, value)
        result = await self._proposer.propose(loghost.CONTROL, writeonce.NAME, command)
        return result.value


def _decode(steps: dict[str, bytes]) -> orders.Rollout:
    """Returns the rollout that its steps make up."""
    order = msgspec.msgpack.decode(steps[ORDERED], type=orders.Order)
    if ENDED in steps:
        ended = msgspec.msgpack.decode(steps[ENDED], type=_Ended)
        return orders.Rollout(order, ended.phase, ended.cause, ended.replaced)
    phase = orders.Phase.SHIFTING if SHIFTING in steps else orders.Phase.PROBING
    return orders.Rollout(order, phase)
