"""Stand-in for replication in a daemon without peers."""

from coltsfoothead.daemon.serving import requests

__all__ = ["Unreplicated"]


class Unreplicated:
    """Releases tokens at once, without any copies."""

    async def create_copy(self, request: requests.ModelRequest) -> None:
        """Accepts every request without a guard."""

    def request_changed(self, request: requests.ModelRequest) -> None:
        """Releases new tokens and the end of a request."""
        request.release(len(request.tokens), end=True)

    def discard_copy(self, request: requests.ModelRequest) -> None:
        """Does nothing, since there is no copy."""

    def holds_copy(self, request_id: str) -> bool:
        """Returns False, since this daemon guards no requests."""
        return False

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Returns None, since this daemon guards no requests."""
        return None

    async def hand_over(self) -> None:
        """Does nothing, since there is no guard."""

    async def stop(self) -> None:
        """Does nothing, since there are no background tasks."""
