"""Replicated configuration document with compare-and-set, history and leases for readers."""

from coltsfoothead.coordination.configuration.commands import (
    NAME,
    Accepted,
    Apply,
    Change,
    ChangeReused,
    Conflict,
    DocumentTooLarge,
    Supersede,
    Superseded,
)
from coltsfoothead.coordination.configuration.state import ConfigurationState, Settings

__all__ = [
    "NAME",
    "Accepted",
    "Apply",
    "Change",
    "ChangeReused",
    "ConfigurationState",
    "Conflict",
    "DocumentTooLarge",
    "Settings",
    "Supersede",
    "Superseded",
]
