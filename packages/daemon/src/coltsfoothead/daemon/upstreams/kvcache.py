"""Copies the KV cache of a request from one engine to another."""

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["MAX_CACHE_BYTES", "transfer"]

EXPORT_PATH = "/kv/export"
IMPORT_PATH = "/kv/import"
# The cache passes through the memory of this daemon, which shares 128 MB between control tasks and
# requests.
MAX_CACHE_BYTES = 32 * 1024 * 1024
STEP_TIMEOUT_SECONDS = 2.0
TOKENS_HEADER = "x-kv-tokens"


async def transfer(
    client: http_client.Client, source: str, target: str, request_id: str, attempt: int
) -> tuple[int, int]:
    """Copies the KV cache of a running attempt; returns the number of tokens and bytes copied.

    Parameters
    ----------
    client : Client
    source, target : str
        Addresses of the engines.
    request_id : str
    attempt : int
        Number of the attempt that runs at the source.

    Raises
    ------
    HttpError
        If either engine fails or the cache exceeds `MAX_CACHE_BYTES`. The request can still move;
        the target then computes the cache again.
    """
    export_body = msgspec.json.encode({"request_id": request_id, "attempt": attempt})
    json_type = (("content-type", message.JSON_TYPE),)
    exported = await client.send(
        source, message.Request("POST", EXPORT_PATH, json_type, export_body), STEP_TIMEOUT_SECONDS
    )
    cache = await exported.read(STEP_TIMEOUT_SECONDS, MAX_CACHE_BYTES)
    if exported.status != 200:
        raise errors.UpstreamBrokeError(f"export of KV cache: status {exported.status}")
    binary_type = (("content-type", "application/octet-stream"),)
    imported = await client.send(
        target, message.Request("POST", IMPORT_PATH, binary_type, cache), STEP_TIMEOUT_SECONDS
    )
    await imported.read(STEP_TIMEOUT_SECONDS, MAX_CACHE_BYTES)
    if imported.status != 200:
        raise errors.UpstreamBrokeError(f"import of KV cache: status {imported.status}")
    tokens = dict(exported.headers).get(TOKENS_HEADER, "0")
    return int(tokens) if tokens.isdigit() else 0, len(cache)
