"""Builders of test data for the daemon's tests."""

import pathlib

from coltsfoothead.daemon.http import server
from coltsfoothead.kernel import environment

API_KEY = "key-of-kiosk"
OTHER_KEY = "key-of-garage"
TOKEN = "token-for-operators-of-the-tests"


def bounds(**changes):
    """Returns server bounds for tests, with the given fields changed."""
    values = {
        "body_bytes": 1024,
        "header_bytes": 4096,
        "receive_seconds": 5.0,
        "idle_seconds": 5.0,
        "connections": 16,
    }
    return server.Bounds(**(values | changes))


def document(name="trial", **organisation_settings):
    """Returns an environment document as TOML, with settings for its first organisation."""
    extra = "".join(f"{key} = {value!r}\n" for key, value in organisation_settings.items())
    return f"""
environment = "{name}"

[[models]]
name = "small"

[[models]]
name = "private"

[[services]]
name = "parts"
repeatable = [{{method = "POST", path = "/quote"}}]

[[organisations]]
name = "kiosk"
key_sha256 = ["{environment.key_digest(API_KEY)}"]
models = ["small"]
services = ["parts"]
{extra}
[[organisations]]
name = "garage"
key_sha256 = ["{environment.key_digest(OTHER_KEY)}"]
models = ["small", "private"]
services = ["parts"]
"""


def settings(folder: pathlib.Path, **tables):
    """Returns the settings of a single node as nested dicts, with the given tables replaced."""
    token_file = folder / "token"
    token_file.write_text(TOKEN)
    any_port = "127.0.0.1:0"
    return {
        "daemon": {
            "id": "d1",
            "cluster": "test",
            "region": "home",
            "zone": "home-a",
            "vm": "vm-1",
            "data_folder": str(folder / "data"),
        },
        "listen": {
            "callers": any_port,
            "upstreams": any_port,
            "operators": any_port,
            "peers": any_port,
        },
        "operators": {"token_file": str(token_file)},
    } | tables
