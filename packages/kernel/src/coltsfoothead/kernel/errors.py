"""Errors of the decision kernel."""

__all__ = ["DuplicatePluginError", "KernelError", "UnknownPluginError"]


class KernelError(Exception):
    """Base class of every error of the kernel."""


class DuplicatePluginError(KernelError):
    """A plug-in was registered under a kind and name that are taken."""


class UnknownPluginError(KernelError):
    """No plug-in is registered under the requested kind and name."""
