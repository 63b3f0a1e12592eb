"""A replica is promoted while the one that may hold every acknowledged commit is silent."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.database import GroupSize  # noqa: E402
from standins.deployment import CaseError, Deployment, Recorder  # noqa: E402
from standins.load import Load, sleep_until  # noqa: E402
from standins.runner import run_case  # noqa: E402

WRITERS = 4
READERS = 12
READ_PAUSE_S = 0.3
DEAF_S = 6.0  # when one replica begins to receive nothing
DEAF_FOR_S = 6.0
DARK_S = 8.9  # when the other one goes dark
DARK_FOR_S = 4.26
CRASH_S = 9.2  # the primary's
DOWN_S = 7.0
END_S = 22.0
WORK_MS = (5, 25)  # of one statement


def create(recorder: Recorder) -> Deployment:
    """Return a deployment whose commits are acknowledged once one replica has received them."""
    return Deployment(recorder, GroupSize(sync_replicas=1), lambda: random.uniform(*WORK_MS))


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Lose the primary while one replica is behind and the other one is dark for some seconds."""
    began = time.monotonic()
    load, event = Load(deployment), deployment.recorder.event
    tasks = [
        asyncio.create_task(load.write_until(number, began + END_S)) for number in range(WRITERS)
    ]
    tasks += [
        asyncio.create_task(load.read_until(number, began + END_S, READ_PAUSE_S, "lookup"))
        for number in range(READERS)
    ]
    await sleep_until(began + DEAF_S)
    primary = deployment.group.primary
    behind, complete = (s for s in deployment.group.servers if s is not primary)
    if trouble:
        behind.deaf = True
        event("receives_nothing", server=behind.server_id)
        await sleep_until(began + DARK_S)
        complete.go_dark()
        event("dark", server=complete.server_id)
        await sleep_until(began + CRASH_S)
        primary.crash()
        positions = {s.server_id: len(s.log) for s in (behind, complete)}
        event("crashed", server=primary.server_id, position=len(primary.log), others=positions)
        await sleep_until(began + DEAF_S + DEAF_FOR_S)
        behind.deaf = False
        event("receives_again", server=behind.server_id)
        await sleep_until(began + DARK_S + DARK_FOR_S)
        complete.return_from_dark()
        event("back_from_dark", server=complete.server_id, position=len(complete.log))
        await sleep_until(began + CRASH_S + DOWN_S)
        await primary.start()
        event("back", server=primary.server_id)
    await asyncio.gather(*tasks)
    if not load.acknowledged or not load.reads_served:
        raise CaseError("nothing was served")
    return load.lost_commits()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, scenario, create))
