"""What the failure detector asks its caller to do."""

import dataclasses

from coltsfoothead.coordination.membership import members

__all__ = ["Change", "Effects", "Outgoing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """Message to send; `to` is None when only the address is known."""

    to: str | None
    address: str
    message: members.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """New record of a member; `before` is its former state, None for a new member."""

    member: members.Member
    before: members.State | None


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """What the caller must do.

    Attributes
    ----------
    messages : tuple of Outgoing
        To be sent; loss is tolerated.
    changes : tuple of Change
        To be published.
    wake_at : float
        When `Detector.tick` is due.
    superseded : bool
        Another process runs under this member's ID with a higher incarnation.
    """

    messages: tuple[Outgoing, ...]
    changes: tuple[Change, ...]
    wake_at: float
    superseded: bool
