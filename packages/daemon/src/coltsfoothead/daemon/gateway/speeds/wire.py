"""Parts of the report and of its answer that hold the speeds of upstreams.

They are encoded as arrays, since they are sent with every exchange.
"""

import msgspec

from coltsfoothead.kernel.speeds import messages

__all__ = ["SpeedAnswer", "SpeedReport"]


class SpeedReport(msgspec.Struct, frozen=True, array_like=True):
    """What a process observed of the speeds, and what it knows.

    Parameters
    ----------
    version : int
        Number of the newest change that the sender knows from the leader's term that the report's
        directory names.
    deviations, sums
        As in `Observations`.
    """

    version: int = 0
    deviations: tuple[tuple[str, int, int, int], ...] = ()
    sums: dict[str, tuple[tuple[int, ...], tuple[int, ...]]] = {}

    @property
    def observations(self) -> messages.Observations:
        """What the sender has observed since its last report."""
        return messages.Observations(self.deviations, self.sums)


class SpeedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Speeds that the receiver lacks; the parameters are as in `Update`."""

    version: int = 0
    speeds: tuple[tuple[str, int, int], ...] = ()
    models: dict[str, tuple[int, ...]] = {}

    @property
    def update(self) -> messages.Update:
        """The changes as the kernel knows them."""
        return messages.Update(self.version, self.speeds, self.models)
