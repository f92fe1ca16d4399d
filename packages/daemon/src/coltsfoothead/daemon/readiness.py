"""Whether the daemon may accept new work, and the environment document that it uses."""

from typing import Protocol

from coltsfoothead.daemon.callers import refusals
from coltsfoothead.kernel import environment, operations

__all__ = ["ConfigurationView", "Readiness"]


class ConfigurationView(Protocol):
    """The part of the configuration that readiness depends on."""

    @property
    def environment(self) -> environment.Environment | None:
        """The environment document, or None before the first one has arrived."""

    def remaining(self) -> float:
        """Returns the remaining seconds of the document's lease."""


_REFUSALS = {
    operations.NotReady.STARTING: (refusals.Code.NO_CONFIGURATION, "the daemon is starting"),
    operations.NotReady.NO_CONFIGURATION: (
        refusals.Code.NO_CONFIGURATION,
        "no environment document is in force",
    ),
    operations.NotReady.LEASE_EXPIRED: (
        refusals.Code.NO_CONFIGURATION,
        "the daemon cannot hear of configuration changes",
    ),
    operations.NotReady.DRAINING: (refusals.Code.DRAINING, "the daemon is stopping"),
}


class Readiness:
    """Decides whether the daemon accepts new work."""

    def __init__(self) -> None:
        self._configuration: ConfigurationView | None = None
        self._draining = False

    @property
    def draining(self) -> bool:
        """Whether the daemon is stopping."""
        return self._draining

    @property
    def reason(self) -> operations.NotReady | None:
        """Why the daemon is not ready, or None if it is."""
        if self._draining:
            return operations.NotReady.DRAINING
        if self._configuration is None:
            return operations.NotReady.STARTING
        if self._configuration.environment is None:
            return operations.NotReady.NO_CONFIGURATION
        if self._configuration.remaining() <= 0:
            return operations.NotReady.LEASE_EXPIRED
        return None

    def set_configuration(self, configuration: ConfigurationView) -> None:
        """Sets the source of the environment document."""
        self._configuration = configuration

    def drain(self) -> None:
        """Refuses new work from now on."""
        self._draining = True

    def document(self) -> environment.Environment:
        """Returns the environment document for new work.

        Raises
        ------
        RefusedError
            If the daemon is not ready.
        """
        reason = self.reason
        if reason is not None:
            code, text = _REFUSALS[reason]
            raise refusals.refuse(code, text)
        document = self.latest_document()
        assert document is not None
        return document

    def latest_document(self) -> environment.Environment | None:
        """Returns the newest document, even after its lease has expired; for running requests."""
        return self._configuration.environment if self._configuration else None
