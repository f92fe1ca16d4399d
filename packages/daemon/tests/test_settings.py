"""Tests of the daemon's settings."""

import pathlib
import tempfile
import unittest

from coltsfoothead.daemon import errors, settings

DAEMON = '[daemon]\nid = "d1"\ncluster = "c"\nregion = "r"\nzone = "z1"\nvm = "vm1"\n'
DATA_FOLDER = 'data_folder = "data"\n'
LISTEN = "[listen]\n" + "".join(
    f'{name} = "127.0.0.1:{port}"\n'
    for name, port in (("callers", 1), ("upstreams", 2), ("operators", 3), ("peers", 4))
)
OPERATORS = '[operators]\ntoken_file = "token"\n'
BASE = DAEMON + DATA_FOLDER + LISTEN + OPERATORS


def founders(*zones, first_id="d1"):
    """Returns the text of a cluster table with one founding voter per zone."""
    ids = [first_id, *(f"d{number}" for number in range(2, len(zones) + 1))]
    return "".join(
        f'[[cluster.founders]]\nid = "{name}"\naddress = "127.0.0.1:4"\nzone = "{zone}"\n'
        for name, zone in zip(ids, zones, strict=True)
    )


# By case: text of the settings, key in the error, part of the problem that the error states.
MALFORMED = {
    "not TOML": ("[daemon", "$", "not valid TOML"),
    "missing table": (DAEMON + LISTEN, "$", "missing required field `operators`"),
    "unknown key": (BASE + "[timeouts]\nidle = 1\n", "$.timeouts", "unknown field `idle`"),
    "wrong type": (BASE + "[limits]\nconnections = 1.5\n", "$.limits.connections", "`int`"),
    "zero": (BASE + "[timeouts]\nidle_seconds = 0\n", "$.timeouts.idle_seconds", "> 0"),
    "infinite": (
        BASE + "[timeouts]\nidle_seconds = inf\n",
        "$.timeouts.idle_seconds",
        "<= 1000000000.0",
    ),
    "host name": (BASE.replace("127.0.0.1:1", "localhost:1"), "$.listen.callers", "regex"),
    "port": (BASE.replace(":3", ":70000"), "$.listen.operators", "expected IP:port"),
    "octet": (BASE.replace("127.0.0.1:4", "127.0.0.256:4"), "$.listen.peers", "expected IP:port"),
    "no folder": (
        DAEMON + LISTEN + OPERATORS,
        "$.daemon.data_folder",
        "a single node needs a data folder",
    ),
    "founder without folder": (
        DAEMON + LISTEN + OPERATORS + founders("z1", "z2", "z3"),
        "$.daemon.data_folder",
        "a founding voter needs a data folder",
    ),
    "founder twice": (
        BASE + founders("z1", "z2", "z3", first_id="d2"),
        "$.cluster.founders",
        "an id is listed twice",
    ),
    "zone majority of 3": (
        BASE + founders("z1", "z1", "z2"),
        "$.cluster.founders",
        "zone 'z1' holds a majority of the voters",
    ),
    "zone majority of 5": (
        BASE + founders("z1", "z2", "z2", "z2", "z3"),
        "$.cluster.founders",
        "zone 'z2' holds a majority of the voters",
    ),
}


class SettingsTest(unittest.TestCase):
    def test_errors_of_malformed_settings_name_file_key_and_problem(self):
        """Guards against starting with invalid settings, and against not reporting the problem."""
        for case, (text, key, expected) in MALFORMED.items():
            with self.subTest(case):
                with self.assertRaises(errors.SettingsError) as caught:
                    settings.decode(text, "d.toml")
                self.assertEqual(("d.toml", key), (caught.exception.source, caught.exception.key))
                self.assertIn(expected, caught.exception.problem)

    def test_errors_of_unreadable_files_name_the_file(self):
        """Guards against a traceback when the settings file is missing or not text."""
        with tempfile.TemporaryDirectory() as folder:
            binary = pathlib.Path(folder, "binary.toml")
            binary.write_bytes(b"\xff\xfe")
            for path in (pathlib.Path(folder, "missing.toml"), binary, pathlib.Path(folder)):
                with self.assertRaisesRegex(errors.SettingsError, "cannot be read") as caught:
                    settings.load(path)
                self.assertEqual(str(path), caught.exception.source)

    def test_spread_over_zones_is_accepted(self):
        """Guards against refusing voters spread over zones, or any if no spread is required."""
        decoded = settings.decode(BASE + founders("z1", "z1", "z2", "z2", "z3"), "d.toml")
        self.assertEqual("d1", decoded.own_founder.id)
        unchecked = "[cluster]\nrequire_zone_spread = false\n" + founders("z1", "z1", "z1")
        self.assertFalse(settings.decode(BASE + unchecked, "d.toml").single_node)

    def test_addresses_are_split(self):
        """Guards against IPv6 brackets reaching the socket calls."""
        self.assertEqual(("::1", 80), settings.split_address("[::1]:80"))
        self.assertEqual(("10.0.0.1", 80), settings.split_address("10.0.0.1:80"))
