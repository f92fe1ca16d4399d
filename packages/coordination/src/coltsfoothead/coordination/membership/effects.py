"""Output of the failure detector, which its caller carries out."""

import dataclasses

from coltsfoothead.coordination.membership import members

__all__ = ["Change", "Effects", "Outgoing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """Message to send; `to` is the member ID, or None if only the address is known."""

    to: str | None
    address: str
    message: members.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Changed record of a member; `previous_state` is None for a new member."""

    member: members.Member
    previous_state: members.State | None


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Messages, membership changes and the next deadline, returned by each call.

    Attributes
    ----------
    messages : tuple of Outgoing
        Messages to send; loss is tolerated.
    changes : tuple of Change
        Changes to publish to subscribers.
    wake_at : float
        Monotonic time in seconds at which `Detector.tick` is due.
    superseded : bool
        Another process runs under this member's ID with a higher incarnation.
    """

    messages: tuple[Outgoing, ...]
    changes: tuple[Change, ...]
    wake_at: float
    superseded: bool
