"""Replication of requests for a daemon without peers: none."""

from coltsfoothead.daemon.serving import requests

__all__ = ["Unreplicated"]


class Unreplicated:
    """Releases tokens as soon as they exist."""

    async def open(self, request: requests.ModelRequest) -> None:
        """Accepts any request."""

    def changed(self, request: requests.ModelRequest) -> None:
        """Releases what is new."""
        request.release(len(request.tokens), end=True)

    def forget(self, request: requests.ModelRequest) -> None:
        """Has no copy to drop."""

    def holds_copy(self, request_id: str) -> bool:
        """Guards nothing."""
        return False

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Guards nothing."""
        return None

    async def hand_over(self) -> None:
        """Has nobody to hand over to."""

    async def stop(self) -> None:
        """Has nothing to stop."""
