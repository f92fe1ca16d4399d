"""Which organisation a request belongs to, and what it may use."""

from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel import environment

__all__ = ["check_model", "check_service", "organisation_of"]

BEARER = "bearer "


class _KeyIndex:
    """Organisations by key digest of the document seen last.

    Documents are compared by identity: hashing one for a look-up costs as much as reading it whole,
    for every request.
    """

    def __init__(self) -> None:
        self._document: environment.Environment | None = None
        self._organisations: dict[str, environment.Organisation] = {}

    def find(
        self, document: environment.Environment, digest: str
    ) -> environment.Organisation | None:
        """Returns the organisation with a key of that digest, or None."""
        if document is not self._document:
            self._organisations = {
                key: each for each in document.organisations for key in each.key_sha256
            }
            self._document = document
        return self._organisations.get(digest)


_keys = _KeyIndex()


def organisation_of(
    request: message.Request, document: environment.Environment
) -> environment.Organisation:
    """Returns the organisation whose API key the request carries.

    Raises
    ------
    RefusedError
        If the key is missing or unknown.

    Notes
    -----
    Keys are looked up by their SHA-256, so the time of the look-up tells nothing about a key.
    """
    value = request.header("authorization") or ""
    key = value[len(BEARER) :].strip() if value.lower().startswith(BEARER) else ""
    organisation = _keys.find(document, environment.key_digest(key))
    if organisation is None:
        raise refusals.refuse(refusals.Code.INVALID_API_KEY, "the API key is missing or unknown")
    return organisation


def check_model(
    document: environment.Environment, organisation: environment.Organisation, name: str
) -> environment.Model:
    """Returns a model that the organisation may use; raises `RefusedError` otherwise."""
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
    """Returns a service that the organisation may use; raises `RefusedError` otherwise."""
    service = document.service(name)
    if service is None:
        text = f"service {name!r} does not exist"
        raise refusals.refuse(refusals.Code.SERVICE_NOT_FOUND, text)
    if name not in organisation.services:
        text = f"organisation {organisation.name!r} may not use service {name!r}"
        raise refusals.refuse(refusals.Code.SERVICE_NOT_ALLOWED, text)
    return service
