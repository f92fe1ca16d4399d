"""Errors of the decision kernel."""

__all__ = ["DuplicatePluginError", "KernelError", "UnknownPluginError"]


class KernelError(Exception):
    """Base class of the errors of the kernel."""


class DuplicatePluginError(KernelError):
    """A plug-in is already registered under the kind and name."""


class UnknownPluginError(KernelError):
    """No plug-in is registered under the requested kind and name."""
