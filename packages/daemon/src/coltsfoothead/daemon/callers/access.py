"""Authenticates callers by API key and checks which models and services they may use."""

from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel import environment

__all__ = ["authenticate", "check_model", "check_service"]

BEARER_PREFIX = "bearer "


class _KeyIndex:
    """Index of the organisations by API key digest, for the most recently used document.

    Documents are compared by identity, because hashing one for each request would cost as much as
    reading the whole document.
    """

    def __init__(self) -> None:
        self._document: environment.Environment | None = None
        self._organisations: dict[str, environment.Organisation] = {}

    def find(
        self, document: environment.Environment, digest: str
    ) -> environment.Organisation | None:
        """Returns the organisation that has a key with this digest, or None."""
        if document is not self._document:
            self._organisations = {
                key: each for each in document.organisations for key in each.key_sha256
            }
            self._document = document
        return self._organisations.get(digest)


_key_index = _KeyIndex()


def authenticate(
    request: message.Request, document: environment.Environment
) -> environment.Organisation:
    """Returns the organisation whose API key the request carries.

    Raises
    ------
    RefusedError
        If the key is missing or unknown.

    Notes
    -----
    Keys are looked up by their SHA-256 digest, so the time of the look-up reveals nothing about
    them.
    """
    value = request.header("authorization") or ""
    key = value[len(BEARER_PREFIX) :].strip() if value.lower().startswith(BEARER_PREFIX) else ""
    organisation = _key_index.find(document, environment.key_digest(key))
    if organisation is None:
        raise refusals.refuse(refusals.Code.INVALID_API_KEY, "the API key is missing or unknown")
    return organisation


def check_model(
    document: environment.Environment, organisation: environment.Organisation, name: str
) -> environment.Model:
    """Returns the named model; raises `RefusedError` if the organisation may not use it."""
    model = document.model(name)
    if model is None:
        text = f"model {name!r} does not exist"
        raise refusals.refuse(refusals.Code.MODEL_NOT_FOUND, text)
    if name not in organisation.models:
        text = f"organisation {organisation.name!r} may not use model {name!r}"
        raise refusals.refuse(refusals.Code.MODEL_NOT_ALLOWED, text)
    return model


def check_service(
    document: environment.Environment, organisation: environment.Organisation, name: str
) -> environment.Service:
    """Returns the named service; raises `RefusedError` if the organisation may not use it."""
    service = document.service(name)
    if service is None:
        text = f"service {name!r} does not exist"
        raise refusals.refuse(refusals.Code.SERVICE_NOT_FOUND, text)
    if name not in organisation.services:
        text = f"organisation {organisation.name!r} may not use service {name!r}"
        raise refusals.refuse(refusals.Code.SERVICE_NOT_ALLOWED, text)
    return service
