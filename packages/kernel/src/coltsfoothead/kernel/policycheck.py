"""Checks that the policies which a document names exist."""

from coltsfoothead.kernel import environment, errors, plugins, registry

__all__ = ["check_policies"]


def check_policies(document: environment.Environment, source: str = "environment") -> None:
    """Checks every policy name of a document.

    Parameters
    ----------
    document : Environment
    source : str
        Name of the file, used in errors.

    Raises
    ------
    EnvironmentError
        If a name is not registered; the message lists those that are.
    """
    plugins.load()
    for kind in environment.Policies.__struct_fields__:
        try:
            registry.resolve(kind, getattr(document.policies, kind))
        except errors.UnknownPluginError as error:
            raise environment.EnvironmentError(source, f"$.policies.{kind}", str(error)) from error
