"""Runs the coroutine of a case within 110 seconds and turns its outcome into an exit code."""

import asyncio
import sys
import traceback

LIMIT_SECONDS = 110


def main(case, record, deployment):
    """Exits with 1 if `case` returns true (the rule was broken), 0 if false, 2 on any error."""

    async def bounded():
        async with asyncio.timeout(LIMIT_SECONDS):
            return await case()

    code = 2
    try:
        code = 1 if asyncio.run(bounded()) else 0
    except BaseException as error:
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        deployment.stop()
    record.write({0: "rule held", 1: "rule BROKEN", 2: "not run"}[code])
    sys.exit(code)
