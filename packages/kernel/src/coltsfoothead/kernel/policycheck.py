"""Checks that the policies named in an environment document are registered."""

from coltsfoothead.kernel import environment, plugins, registry

__all__ = ["check"]


def check(document: environment.Environment, source: str = "document") -> None:
    """Checks the names in ``[policies]`` before a document takes effect.

    Raises
    ------
    EnvironmentError
        If a policy is not registered; the message lists the registered policies of its kind.

    Notes
    -----
    `environment.decode` does not check this: during an upgrade, an older daemon must be able to
    decode a document in force that names a newer policy.
    """
    plugins.load()
    for kind in document.policies.__struct_fields__:
        name, known = getattr(document.policies, kind), registry.names(kind)
        if name not in known:
            problem = f"no {kind} policy is named {name!r}; known: {', '.join(known)}"
            raise environment.EnvironmentError(source, f"$.policies.{kind}", problem)
