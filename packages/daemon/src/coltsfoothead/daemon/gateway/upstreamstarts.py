"""Tells whether an entry surely knows which start of an upstream it reaches, and so its version."""

import asyncio

from coltsfoothead.daemon.gateway import clock, directory, requeststate
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["UpstreamStarts"]

# Age up to which the directory counts as up to date. Entries exchange messages with the leader at
# least twice a second; an upstream that starts again takes longer than this until it serves.
MAX_DIRECTORY_AGE_SECONDS = 1.5


class UpstreamStarts:
    """Compares an entry's connections with its copy of the directory.

    An upstream may start again under its ID and address with another software version. An entry
    that is cut off from the leader, or was suspended, has not heard of it.

    Parameters
    ----------
    directory_copy : DirectoryCopy
    client : Client
    """

    def __init__(self, directory_copy: directory.DirectoryCopy, client: http_client.Client) -> None:
        self._directory = directory_copy
        self._client = client

    def reaches_listed(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the next request surely reaches the start that the directory lists."""
        if self._directory_is_recent():
            return True
        return self._is_older_than_directory(upstream) and self._client.has_idle(upstream.address)

    def has_reached_listed(self, state: requeststate.RequestState) -> bool:
        """Returns whether the last attempt surely reached the start that the directory lists."""
        upstream = self._directory.records.get(state.upstream_id or "")
        if upstream is None or upstream.born != state.upstream_born:
            return False
        return self._directory_is_recent() or self._is_older_than_directory(upstream)

    def _directory_is_recent(self) -> bool:
        return self._directory.age_seconds(clock.steady()) <= MAX_DIRECTORY_AGE_SECONDS

    def _is_older_than_directory(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether all connections to an upstream were open at the directory's last update.

        They lead to the start that it lists.
        """
        opened_at = self._client.opened_at(upstream.address)
        if opened_at is None:
            return False
        open_seconds = asyncio.get_running_loop().time() - opened_at
        return open_seconds >= self._directory.age_seconds(clock.steady())
