"""Traffic counters of the links."""

import collections
import dataclasses
import types
from collections.abc import Mapping

__all__ = ["ChannelCounters", "CounterRecorder", "Counters"]


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelCounters:
    """Traffic of one channel; bytes are payload bytes."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Snapshot of all counters of one process.

    Attributes
    ----------
    channels : Mapping[str, ChannelCounters]
        Traffic by channel name.
    batches_in, batches_out : int
        Stream messages, each of which carries a batch of frames; heartbeats are empty batches.
    reconnects : int
        Reconnection attempts after a lost or failed link.
    strangers_refused : int
        Peers that were refused because of their cluster or member ID.
    stale_incarnations_refused : int
        Peers that were refused because a newer incarnation of them is known.
    handler_errors : int
        Exceptions in handlers of one-way messages.
    """

    channels: Mapping[str, ChannelCounters]
    batches_in: int
    batches_out: int
    reconnects: int
    strangers_refused: int
    stale_incarnations_refused: int
    handler_errors: int

    @property
    def dropped(self):
        """Messages dropped on all channels."""
        return sum(channel.dropped for channel in self.channels.values())


class CounterRecorder:
    """Mutable counters that the links update."""

    def __init__(self):
        self._channels = collections.defaultdict(lambda: [0, 0, 0, 0, 0])
        self.batches_in = 0
        self.batches_out = 0
        self.reconnects = 0
        self.strangers_refused = 0
        self.stale_incarnations_refused = 0
        self.handler_errors = 0

    def record_received(self, frame):
        """Counts one received frame."""
        row = self._channels[frame.channel]
        row[0] += 1
        row[2] += len(frame.payload)

    def record_sent(self, frame):
        """Counts one frame that was handed to gRPC."""
        row = self._channels[frame.channel]
        row[1] += 1
        row[3] += len(frame.payload)

    def record_dropped(self, frame):
        """Counts one frame that was dropped from a full queue."""
        self._channels[frame.channel][4] += 1

    def snapshot(self):
        """Returns the counters as they are now."""
        channels = {name: ChannelCounters(*row) for name, row in self._channels.items()}
        return Counters(
            types.MappingProxyType(channels),
            self.batches_in,
            self.batches_out,
            self.reconnects,
            self.strangers_refused,
            self.stale_incarnations_refused,
            self.handler_errors,
        )
