"""Leases with fencing numbers, and the clocks of their keeper and their holders."""

from coltsfoothead.coordination.lease.clocks import LeaseHolder, LeaseKeeper, fence_wait
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
    "LeaseHolder",
    "LeaseKeeper",
    "LeaseState",
    "NotHeld",
    "Release",
    "Released",
    "Renew",
    "Renewed",
    "fence_wait",
]
