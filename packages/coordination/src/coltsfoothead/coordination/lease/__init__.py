"""Leases with fencing numbers, and their timing at the leader and at the holders."""

from coltsfoothead.coordination.lease.clocks import (
    LeaseExpiryTracker,
    LeaseHolder,
    unfenced_wait_seconds,
)
from coltsfoothead.coordination.lease.commands import (
    NAME,
    Expire,
    Expired,
    Grant,
    Granted,
    Held,
    InvalidTtl,
    Lease,
    NotHeld,
    Release,
    Released,
    Renew,
    Renewed,
)
from coltsfoothead.coordination.lease.state import LeaseState

__all__ = [
    "NAME",
    "Expire",
    "Expired",
    "Grant",
    "Granted",
    "Held",
    "InvalidTtl",
    "Lease",
    "LeaseExpiryTracker",
    "LeaseHolder",
    "LeaseState",
    "NotHeld",
    "Release",
    "Released",
    "Renew",
    "Renewed",
    "unfenced_wait_seconds",
]
