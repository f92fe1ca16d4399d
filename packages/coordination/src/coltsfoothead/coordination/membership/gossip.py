"""Queue of membership updates that are piggybacked on other messages."""

import heapq
import math

__all__ = ["GossipQueue"]


class GossipQueue:
    """Selects the least often transmitted updates and drops those that reached their limit.

    Parameters
    ----------
    retransmit_factor : int
        Each update is transmitted ``retransmit_factor * ceil(log2(member_count + 1))`` times.
    max_updates : int
        Largest number of updates per message.
    """

    def __init__(self, retransmit_factor, max_updates):
        self._retransmit_factor = retransmit_factor
        self._max_updates = max_updates
        self._updates = {}

    def add(self, member):
        """Queues an update; it replaces an older one of the same member."""
        self._updates[member.id] = [0, member]

    def next_updates(self, member_count, required=None):
        """Returns the updates for one message and counts their transmission.

        Parameters
        ----------
        member_count : int
            Number of members of the cluster.
        required : Member, optional
            Record that the message always contains.
        """
        limit = self._retransmit_factor * math.ceil(math.log2(member_count + 1))
        chosen = heapq.nsmallest(self._max_updates, self._updates.values(), key=lambda row: row[0])
        for row in chosen:
            row[0] += 1
            if row[0] >= limit:
                del self._updates[row[1].id]
        updates = tuple(member for _, member in chosen)
        if required is None or required in updates:
            return updates
        return (required, *updates)
