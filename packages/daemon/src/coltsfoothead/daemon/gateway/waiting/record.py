"""What a request's log line says of its wait."""

import dataclasses

__all__ = ["WaitRecord"]


@dataclasses.dataclass(slots=True)
class WaitRecord:
    """How a request waited at this entry, and what its caller was told.

    Attributes
    ----------
    appointed : bool
        Whether the caller returned at the time that it was told.
    waited_seconds : float or None
        None if it did not wait.
    position : int or None
        Number of requests that went before it when it began to wait.
    due_seconds : float or None
        Delay that the refused caller was told.
    """

    appointed: bool = False
    waited_seconds: float | None = None
    position: int | None = None
    due_seconds: float | None = None

    def log_fields(self) -> dict[str, object]:
        """Returns the fields of the log line; none for a request that had to do with no wait."""
        fields = {
            "waited_ms": self.waited_seconds and round(self.waited_seconds * 1e3, 1),
            "position": self.position,
            "due": self.due_seconds and round(self.due_seconds, 3),
            "appointed": self.appointed or None,
        }
        return {name: value for name, value in fields.items() if value is not None}
