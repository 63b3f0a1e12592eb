"""The only server that has every commit is leaving, and is passed over for the next primary."""

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
LEAVING_S = 8.0  # when the other one reports that it is draining
DRAIN_S = 7.5  # drainTimeoutMs and a little longer
CRASH_S = 10.0  # the primary's
DOWN_S = 7.0
END_S = 22.0
WORK_MS = (5, 25)  # of one statement


def create(recorder: Recorder) -> Deployment:
    """Return a deployment whose commits are acknowledged once one replica has received them."""
    return Deployment(recorder, GroupSize(sync_replicas=1), lambda: random.uniform(*WORK_MS))


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Lose the primary while one replica is behind and the other one is leaving."""
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
    behind, leaving = (s for s in deployment.group.servers if s is not primary)
    if trouble:
        behind.deaf = True
        event("receives_nothing", server=behind.server_id)
        await sleep_until(began + LEAVING_S)
        leaving.draining = True
        leaving.register()
        event("draining", server=leaving.server_id)
        await sleep_until(began + CRASH_S)
        primary.crash()
        positions = {s.server_id: len(s.log) for s in (behind, leaving)}
        event("crashed", server=primary.server_id, position=len(primary.log), others=positions)
        await sleep_until(began + DEAF_S + DEAF_FOR_S)
        behind.deaf = False
        event("receives_again", server=behind.server_id)
        await sleep_until(began + LEAVING_S + DRAIN_S)
        leaving.crash()
        event("left", server=leaving.server_id)
        await sleep_until(began + CRASH_S + DOWN_S)
        await primary.start()
        leaving.draining = False  # a new server at its address, with its log
        await leaving.start()
        event("back", servers=[primary.server_id, leaving.server_id])
    await asyncio.gather(*tasks)
    if not load.acknowledged or not load.reads_served:
        raise CaseError("nothing was served")
    return load.lost_commits()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, scenario, create))
