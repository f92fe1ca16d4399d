"""Queue of updates that are piggybacked on other messages."""

import heapq
import math

__all__ = ["GossipQueue"]


class GossipQueue:
    """Chooses the least often sent updates and forgets those sent often enough.

    Parameters
    ----------
    factor : int
        Each update is sent ``factor * ceil(log2(members + 1))`` times.
    most : int
        Largest number of updates per message.
    """

    def __init__(self, factor, most):
        self._factor = factor
        self._most = most
        self._updates = {}

    def add(self, member):
        """Queues an update; it replaces an older one of the same member."""
        self._updates[member.id] = [0, member]

    def take(self, members, first=None):
        """Returns the updates for one message.

        Parameters
        ----------
        members : int
            Number of members of the cluster.
        first : Member, optional
            Record that the receiver must see in any case.
        """
        limit = self._factor * math.ceil(math.log2(members + 1))
        chosen = heapq.nsmallest(self._most, self._updates.values(), key=lambda row: row[0])
        for row in chosen:
            row[0] += 1
            if row[0] >= limit:
                del self._updates[row[1].id]
        updates = tuple(member for _, member in chosen)
        if first is None or first in updates:
            return updates
        return (first, *updates)
