"""Schema, decoding and checks of the environment document.

An environment document is one TOML file. It states which models, versions and upstreams serve
which organisations, with the targets, limits, budget and policies that apply. The command line
checks a document against this schema before sending it, and every daemon on receiving it.
"""

import hashlib
import re
from typing import Annotated

import msgspec

from coltsfoothead.kernel import errors

__all__ = [
    "Budget",
    "CallRule",
    "Environment",
    "EnvironmentError",
    "Model",
    "Organisation",
    "Policies",
    "Service",
    "Targets",
    "decode",
    "digest",
    "is_repeatable",
    "key_digest",
]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

# Services differ in how they interpret encoded, repeated or relative separators, path parameters
# and backslashes. Any of these could make a path match a rule that must not apply to it.
_PLAIN_PATH = re.compile(r"(/(?!\.{1,2}(/|\Z))[A-Za-z0-9._~!$&'()*+,=:@-]+)*/?")

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}\Z")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
# The upper bound excludes infinity, which TOML can express.
PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class EnvironmentError(errors.KernelError):  # noqa: A001 - the domain's own term
    """An environment document is malformed or contradicts itself.

    Parameters
    ----------
    source : str
        File or other origin of the document.
    key : str
        Path of the offending key, for example ``$.models[0].name``.
    problem : str
        Description of the fault or of the expected value.
    """

    def __init__(self, source: str, key: str, problem: str) -> None:
        super().__init__(f"{source}: {key}: {problem}")
        self.source = source
        self.key = key
        self.problem = problem


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the tables of the document; unknown keys are rejected."""


class Targets(_Table):
    """Latency targets. `objective` is the share of requests that must meet them."""

    first_token_seconds: PositiveFloat = 1.7
    token_gap_seconds: PositiveFloat = 0.034
    service_seconds: PositiveFloat = 1.0
    objective: Share = 0.95


class Policies(_Table):
    """Names of the registered policies that daemons use."""

    routing: str = "completion"
    limit: str = "fair"
    retry: str = "budget"
    prediction: str = "outputlength"
    outlier: str = "deviation"
    capacity: str = "cheapestmix"
    reclaim: str = "leasttokens"


class Budget(_Table):
    """Limits of the fleet's cost and size, and the share of capacity that survives a zone loss."""

    hourly_cost: PositiveFloat = 100.0
    max_vms: PositiveInt = 64
    important_share: Share = 0.8


class Model(_Table):
    """A model that organisations may use.

    `versions` lists the versions that may serve it, and `zones` the zones of its upstreams; an
    empty list allows all.
    """

    name: Name
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    zones: tuple[Name, ...] = ()
    max_tokens: PositiveInt = 8192


class CallRule(_Table):
    """Method and path prefix of repeatable calls of a service."""

    method: Method
    path: Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"


class Service(_Table):
    """An HTTP service. Calls with unsafe methods are repeatable only if a rule allows it."""

    name: Name
    repeatable: tuple[CallRule, ...] = ()
    timeout_seconds: PositiveFloat = 30.0


class Organisation(_Table):
    """A customer with its API keys (SHA-256, hexadecimal), rights and limits."""

    name: Name
    key_sha256: Annotated[tuple[Digest, ...], msgspec.Meta(min_length=1)]
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    weight: PositiveFloat = 1.0
    max_concurrent: PositiveInt = 256
    max_queued: Annotated[int, msgspec.Meta(ge=0)] = 256
    important: bool = True


class Environment(_Table):
    """An environment document."""

    environment: Name
    targets: Targets = Targets()
    policies: Policies = Policies()
    budget: Budget = Budget()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()

    def model(self, name: str) -> Model | None:
        """Returns the model of that name, or None."""
        return next((model for model in self.models if model.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def organisation(self, name: str) -> Organisation | None:
        """Returns the organisation of that name, or None."""
        return next((each for each in self.organisations if each.name == name), None)


def decode(text: str, source: str = "environment") -> Environment:
    """Decodes and checks an environment document.

    Parameters
    ----------
    text : str
        The document as TOML.
    source : str
        Name of the file, used in errors.

    Raises
    ------
    EnvironmentError
        If the text is not TOML, a key is unknown, a value has the wrong type or range, or names
        contradict each other.
    """
    try:
        document = msgspec.toml.decode(text, type=Environment)
    except msgspec.ValidationError as error:
        problem, _, key = str(error).partition(" - at ")
        raise EnvironmentError(source, key.strip("`") or "$", problem) from error
    except msgspec.DecodeError as error:
        raise EnvironmentError(source, "$", f"not valid TOML: {error}") from error
    _check_names(document, source)
    return document


def _check_names(document: Environment, source: str) -> None:
    for table in ("models", "services", "organisations"):
        seen: set[str] = set()
        for position, entry in enumerate(getattr(document, table)):
            if entry.name in seen:
                key = f"$.{table}[{position}].name"
                raise EnvironmentError(source, key, f"{entry.name!r} is defined twice")
            seen.add(entry.name)
    keys: dict[str, str] = {}
    for position, organisation in enumerate(document.organisations):
        path = f"$.organisations[{position}]"
        _check_references(document, organisation, path, source)
        for digest_text in organisation.key_sha256:
            other = keys.setdefault(digest_text, organisation.name)
            if other != organisation.name:
                problem = f"key is already used by organisation {other!r}"
                raise EnvironmentError(source, f"{path}.key_sha256", problem)


def _check_references(
    document: Environment, organisation: Organisation, path: str, source: str
) -> None:
    known = {
        "models": {model.name for model in document.models},
        "services": {service.name for service in document.services},
    }
    for table, names in known.items():
        for name in getattr(organisation, table):
            if name not in names:
                raise EnvironmentError(source, f"{path}.{table}", f"{name!r} is not defined")


def digest(text: str) -> str:
    """Returns the SHA-256 of a document's text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def key_digest(api_key: str) -> str:
    """Returns the SHA-256 of an API key in hexadecimal, as the document stores it."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Returns whether a call may be sent more than once.

    Parameters
    ----------
    service : Service
    method : str
        HTTP method in upper case.
    path : str
        Path below the service, starting with ``/`` and without a query.
    """
    if method in SAFE_METHODS:
        return True
    if not _PLAIN_PATH.fullmatch(path):
        return False
    return any(
        rule.method == method
        and (path == rule.path or path.startswith(rule.path.rstrip("/") + "/"))
        for rule in service.repeatable
    )
