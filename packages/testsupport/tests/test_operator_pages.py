"""Runs the commands on the operators' pages against a cluster of three daemons."""

import asyncio
import contextlib
import io
import os
import pathlib
import re
import shlex
import unittest
import unittest.mock

import tomli_w

from coltsfoothead.cli import main
from coltsfoothead.daemon import settings
from coltsfoothead.kernel import environment
from coltsfoothead.testsupport import caller, cluster, harness

ROOT = pathlib.Path(__file__).parents[3]
PAGES = ("running", "promotion", "reading", "upgrade", "draining", "losses")
DAEMON_SPECS = [
    cluster.DaemonSpec(f"entry-{number}", zone) for number, zone in enumerate(cluster.ZONES, 1)
]
REPLACEMENT = cluster.DaemonSpec("entry-4", "away-a", voter=False)
# Placeholders on the pages for values that differ in each run.
PAGE_ADDRESS, PAGE_REQUEST = "10.0.3.4:7004", "0192f3c1"
COMMAND = re.compile(r"^ *\$ coltsfoothead (.*?)(; echo \$\?)?$")


def commands(page):
    """Returns pairs of arguments and expected exit code of the commands on a page."""
    text = (ROOT / "docs" / "operators" / f"{page}.md").read_text(encoding="utf-8")
    found = []
    for block in re.findall(r"^ *```console\n(.*?)^ *```$", text, re.DOTALL | re.MULTILINE):
        lines = block.splitlines()
        for position, line in enumerate(lines):
            if match := COMMAND.match(line):
                # The exit code is the last line of the block, after what was printed.
                code = int(lines[-1]) if match[2] else 0
                assert not match[2] or not any(
                    COMMAND.match(each) for each in lines[position + 1 :]
                )
                found.append((shlex.split(match[1]), code))
    assert found, page
    return found


class Walkthrough:
    """Cluster that the pages describe, and the events between their commands."""

    def __init__(self, children):
        self.cluster = cluster.Cluster(children, [*DAEMON_SPECS, REPLACEMENT])
        self.production = cluster.Cluster(children, [cluster.DaemonSpec("production-1", "home-a")])
        self.request_id = ""

    @property
    def folder(self):
        return self.cluster.children.folder

    async def start(self):
        """Starts the daemons, an engine, and the files that the pages name."""
        names = [spec.id for spec in DAEMON_SPECS]
        await self.cluster.start_daemons(names)
        await self.production.start_daemons(guard={"required": False})
        await self.cluster.start_engine("engine-1", "home-a")
        (self.folder / "trial.toml").write_text(cluster.document(), "utf-8")
        broken = cluster.document().replace('name = "small"', 'name = "small"\nmax_tokens = "8"')
        (self.folder / "broken.toml").write_text(broken, "utf-8")
        operators = [self.cluster.addresses[name]["operators"] for name in names]
        addresses_by_target = {
            "trial": operators,
            "production": [self.production.addresses["production-1"]["operators"]],
        }
        targets = {
            name: {"addresses": each, "token_file": "token"}
            for name, each in addresses_by_target.items()
        }
        (self.folder / "targets.toml").write_text(tomli_w.dumps({"targets": targets}), "utf-8")

    async def run(self, arguments):
        """Runs a command of a page; returns its exit code and output."""
        placeholders = {
            PAGE_ADDRESS: self.cluster.peer_addresses[REPLACEMENT.id],
            PAGE_REQUEST: self.request_id,
        }
        command = [placeholders.get(argument, argument) for argument in arguments]
        output = io.StringIO()
        # In this process, since starting 35 interpreters takes most of a minute on a busy machine.
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = await asyncio.to_thread(main.main, command)
        return code, output.getvalue()

    async def before_page(self, page):
        """Establishes the state that a page starts from."""
        match page:
            case "reading":
                await self.cluster.wait_ready([spec.id for spec in DAEMON_SPECS])
                await self.cluster.wait_upstreams(1, [DAEMON_SPECS[0].id])
                client = caller.Caller([self.cluster.caller_addresses[0]], cluster.api_key("kiosk"))
                record = await client.chat("tag the lamp len=4")
                assert record.done, record.status
                self.request_id = record.request_id
            case "losses":
                await self.kill("entry-3")

    async def before_command(self, arguments):
        """Does what a page tells the operator to do before a command."""
        match arguments[2:]:
            case ["voters", "add", name, *_]:
                folder = {"data_folder": str(self.cluster.data_folder(name))}
                await self.cluster.start_daemons([name], daemon=folder)
            case ["apply", _] if self.cluster.children.processes.get(REPLACEMENT.id):
                await self.kill("entry-2", REPLACEMENT.id)

    async def after_command(self, arguments, code):
        """Waits until a drained daemon has ended with exit code 0 and starts it again."""
        match arguments[2:]:
            case ["drain", name, *_] if code == 0:
                process = self.cluster.children.processes[name]
                assert await process.wait() == 0, process.output()
                await self.cluster.start_daemons([name])
                await self.cluster.wait_ready([name])

    async def kill(self, *names):
        for name in names:
            self.cluster.children.processes[name].kill()
            await self.cluster.children.processes[name].wait()


class OperatorPagesTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_commands_do_what_the_pages_say(self):
        """Guards against a page whose command is misspelt, fails, or has another exit code."""
        async with harness.Harness() as children:
            walkthrough = Walkthrough(children)
            await walkthrough.start()
            variables = {"COLTSFOOTHEAD_TARGETS_FILE": "targets.toml"}
            self.enterContext(unittest.mock.patch.dict(os.environ, variables))
            self.enterContext(contextlib.chdir(walkthrough.folder))
            for page in PAGES:
                await walkthrough.before_page(page)
                for arguments, expected in commands(page):
                    await walkthrough.before_command(arguments)
                    code, output = await walkthrough.run(arguments)
                    self.assertEqual(expected, code, f"{page}: {arguments}: {output}")
                    await walkthrough.after_command(arguments, code)

    def test_every_page_is_walked_through(self):
        """Guards against a page that this module does not know."""
        pages = {path.stem for path in (ROOT / "docs" / "operators").glob("*.md")}
        self.assertEqual(set(PAGES), pages)

    def test_the_sample_files_are_valid(self):
        """Guards against sample files that the daemon or the command line refuses."""
        settings.load(ROOT / "examples" / "single-node.toml")
        text = (ROOT / "examples" / "trial.toml").read_text(encoding="utf-8")
        environment.decode(text, "trial.toml")


if __name__ == "__main__":
    unittest.main()
