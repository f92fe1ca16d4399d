"""Moves the KV cache of a request from one engine to another."""

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["LIMIT_BYTES", "transfer"]

EXPORT_PATH = "/kv/export"
IMPORT_PATH = "/kv/import"
# The bytes pass through this daemon's memory, of which control and requests share 128 MB.
LIMIT_BYTES = 32 * 1024 * 1024
STEP_SECONDS = 2.0
TOKENS_HEADER = "x-kv-tokens"


async def transfer(
    client: http_client.Client, source: str, target: str, request_id: str, attempt: int
) -> tuple[int, int]:
    """Copies what a running attempt has cached; returns the tokens and bytes copied.

    Parameters
    ----------
    client : Client
    source, target : str
        Addresses of the engines.
    request_id : str
    attempt : int
        The attempt that runs at the source.

    Raises
    ------
    HttpError
        If either engine fails or the cache exceeds `LIMIT_BYTES`; the request can still move, and
        the target then computes the context again.
    """
    wanted = msgspec.json.encode({"request_id": request_id, "attempt": attempt})
    json_type = (("content-type", message.JSON_TYPE),)
    exported = await client.send(
        source, message.Request("POST", EXPORT_PATH, json_type, wanted), STEP_SECONDS
    )
    cache = await exported.read(STEP_SECONDS, LIMIT_BYTES)
    if exported.status != 200:
        raise errors.UpstreamBrokeError(f"export of KV cache: status {exported.status}")
    binary = (("content-type", "application/octet-stream"),)
    imported = await client.send(
        target, message.Request("POST", IMPORT_PATH, binary, cache), STEP_SECONDS
    )
    await imported.read(STEP_SECONDS, LIMIT_BYTES)
    if imported.status != 200:
        raise errors.UpstreamBrokeError(f"import of KV cache: status {imported.status}")
    tokens = dict(exported.headers).get(TOKENS_HEADER, "0")
    return int(tokens) if tokens.isdigit() else 0, len(cache)
