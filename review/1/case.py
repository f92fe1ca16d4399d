"""Two of eight core machines lose their disks at once, the leader among them."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import installation  # noqa: E402 - found beside the cases

INSTALLATIONS = 4
# A round takes 32 s; none is begun later than this.
LAST_ROUND_SECONDS = 70
# As long as the site file lets machines with lost disks be away.
DOWN_SECONDS = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVER_SECONDS = installation.BOUNDS["recover_s"]
CATCH_UP_SECONDS = installation.BOUNDS["catch_up_s"]
CONTACT_SECONDS = installation.BOUNDS["contact_ms"] / 1000


def manifest(version):
    """Returns a valid manifest."""
    route = {"name": "hold", "host": "shop.example", "path_prefix": "/hold/", "kind": "unsafe"}
    route |= {"timeout_ms": 2000, "service": "app", "max_attempts": 2}
    services = [{"name": "app", "health_path": "/health", "max_conns": 100}]
    return {"version": version, "routes": [route], "services": services}


def play(record):
    """Plays one installation; returns what the operator reads back, or None if it never began."""
    core = installation.Installation(cores=8)
    core.record = record
    try:
        first, added = core.of("core")[:5], core.of("core")[5:]
        core.start(*first, bootstrap=True)
        if core.put_manifest(manifest(1), 30) is None:
            return None
        time.sleep(5)
        core.start(*added)
        time.sleep(CATCH_UP_SECONDS + 1)
        if core.put_manifest(manifest(2), 5) is None:
            return None
        leader = core.leader()
        other = [each for each in first if each != leader][-1]
        core.note(f"leader {leader}, second machine {other}")
        if TROUBLE:
            for victim in (leader, other):
                core.kill(victim, wipe=True)
            time.sleep(DOWN_SECONDS)
            core.start(leader, other)
        time.sleep(RECOVER_SECONDS)
        versions = core.read_manifest(CONTACT_SECONDS)
        core.note(f"read back: {sorted(set(versions))} in {len(versions)} answers")
        for ip in core.of("core"):
            for event in core.events(ip, "voter_change_failed")[:1]:
                core.note(f"{ip} log: {event['change']}: {event['cause']}")
        return versions
    finally:
        core.close()


def main():
    """Plays rounds of installations side by side until one breaks the rule."""
    began = time.monotonic()
    played = lost = 0
    with open(HERE / "record.txt", "w", encoding="utf-8") as record:
        while not lost and time.monotonic() - began < LAST_ROUND_SECONDS:
            calls = [lambda: play(record)] * INSTALLATIONS
            results = [each for each in installation.in_parallel(*calls) if each is not None]
            played += len(results)
            lost += sum(1 for each in results if not each or set(each) != {2})
        record.write(
            f"manifest 2 was acknowledged in {played} installations and is gone in {lost}\n"
        )
    print(f"{lost} of {played} installations lost the manifest")
    if not played:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
