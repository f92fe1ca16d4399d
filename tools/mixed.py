"""Replaces the processes of an earlier build by the current one under load, and back again.

Both builds run side by side meanwhile, on the disks of the same installation. The checks of the
soak hold throughout: what callers and the platform see, and the acknowledged documents.
"""

import asyncio
import pathlib
import subprocess
import tempfile
import tomllib
from typing import Annotated

import soak
import soakplan
import typer

ROOT = pathlib.Path(__file__).resolve().parents[1]
# Pause after each replacement: a restarted control process becomes a voter again within it.
REPLACEMENT_GAP_SECONDS = 2.0
# Pause after a lost disk, as of the soak's plans.
REPAIR_SECONDS = soakplan.VOTER_REPAIR_SECONDS
# Documents are put in such quick succession that each control process takes snapshots of its log.
DOCUMENT_INTERVAL_SECONDS = 0.1


def build(commit: str) -> pathlib.Path:
    """Builds a commit in a folder of its own; returns the folder with its packages."""
    revision = subprocess.run(
        ["git", "rev-parse", "--verify", f"{commit}^{{commit}}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    folder = ROOT / "target" / "mixed" / revision
    packages = folder / "target" / "deps"
    if not packages.exists():
        folder.mkdir(parents=True, exist_ok=True)
        archive = subprocess.run(
            ["git", "archive", revision], cwd=ROOT, check=True, capture_output=True
        )
        subprocess.run(["tar", "-x"], cwd=folder, check=True, input=archive.stdout)
        deployment = tomllib.loads((folder / "deploy" / "system.toml").read_text(encoding="utf-8"))
        subprocess.run(["sh", "-c", deployment["build"]], cwd=folder, check=True)
    return packages


class MixedSoak(soak.Soak):
    """Soak whose faults are the replacements of processes by those of another build.

    Parameters
    ----------
    seed : int
        With an odd seed, a third of the processes is killed instead of stopped, and a disk is lost
        in each direction.
    folder : Path
        Folder for data and logs of the processes.
    earlier : Path
        Packages of the earlier build.
    """

    # Earlier builds refuse tables that they do not know.
    parts = {}

    def __init__(self, seed: int, folder: pathlib.Path, earlier: pathlib.Path) -> None:
        super().__init__(seed, 0.0, folder)
        self._has_faults = seed % 2 == 1
        self._earlier = earlier
        self._addresses = [*self._cluster.control_addresses, *self._cluster.entry_addresses]
        self._cluster.packages = dict.fromkeys(self._addresses, earlier)

    async def _inject_faults(self) -> None:
        documents = asyncio.create_task(self._put_documents())
        try:
            await self._replace_all(None)
            await self._replace_all(self._earlier)
        finally:
            documents.cancel()
            await asyncio.gather(documents, return_exceptions=True)

    async def _put_documents(self) -> None:
        while True:
            await self._apply_document({})
            await asyncio.sleep(DOCUMENT_INTERVAL_SECONDS)

    async def _replace_all(self, packages: pathlib.Path | None) -> None:
        """Replaces all processes one after the other; None stands for the current build."""
        wiped = self._rng.choice(self._cluster.control_addresses) if self._has_faults else None
        for address in self._rng.sample(self._addresses, len(self._addresses)):
            self._cluster.packages.pop(address, None)
            if packages is not None:
                self._cluster.packages[address] = packages
            kind = "stop"
            if address == wiped:
                kind = "wipe"
            elif self._has_faults and self._rng.random() < 1 / 3:
                kind = "kill"
            await self._inject_process_fault(soakplan.Fault(0.0, kind, address, 0.3))
            await asyncio.sleep(REPAIR_SECONDS if kind == "wipe" else REPLACEMENT_GAP_SECONDS)

    def snapshot_count(self) -> int:
        """Returns how many disks hold a snapshot of the log."""
        folders = [self._cluster.folder / each for each in self._cluster.control_addresses]
        return sum(any(each.rglob("*snapshot*")) for each in folders)


def main(
    old: Annotated[str, typer.Option(help="Commit of the earlier build.")],
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 2,
) -> None:
    """Plays seeds one after the other; exits with 1 if one of them violated a guarantee."""
    earlier = build(old)
    failed = []
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as folder:
            mixed = MixedSoak(number, pathlib.Path(folder), earlier)
            violations = asyncio.run(mixed.run())
            snapshots = mixed.snapshot_count()
            if violations:
                failed.append(number)
                soak.keep_logs(
                    pathlib.Path(folder), ROOT / "target" / "mixed" / f"seed-{number}", violations
                )
        print(f"seed {number}: {len(violations)} broken, {snapshots} disks with a snapshot")
        for line in violations:
            print(f"  {line}")
    print(f"{count} seeds beside {old} played, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
