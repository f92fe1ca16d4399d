"""Checks that the policies that an environment document names exist."""

from coltsfoothead.kernel import environment, plugins, registry

__all__ = ["check"]


def check(document: environment.Environment, source: str = "document") -> None:
    """Checks the names in ``[policies]``, before a document is put in force.

    Raises
    ------
    EnvironmentError
        Naming the key and the known policies of its kind.

    Notes
    -----
    `environment.decode` does not do this: during an upgrade an older daemon has to decode a
    document in force that names a newer policy.
    """
    plugins.load()
    for kind in document.policies.__struct_fields__:
        name, known = getattr(document.policies, kind), registry.names(kind)
        if name not in known:
            problem = f"no {kind} policy is named {name!r}; known: {', '.join(known)}"
            raise environment.EnvironmentError(source, f"$.policies.{kind}", problem)
