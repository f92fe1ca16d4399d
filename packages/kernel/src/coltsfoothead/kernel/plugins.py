"""Imports every module of the policy packages so that the policies register themselves."""

import importlib
import pkgutil

from coltsfoothead import kernel

__all__ = ["load"]


def load() -> None:
    """Imports all modules below `coltsfoothead.kernel`; repeated calls have no effect."""
    for module in pkgutil.walk_packages(kernel.__path__, prefix=f"{kernel.__name__}."):
        importlib.import_module(module.name)
