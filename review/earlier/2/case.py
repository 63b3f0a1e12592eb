"""A replica that leaves holds the only copy of acknowledged commits when the primary crashes."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.database import GroupSize  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.load import Load, sleep_until  # noqa: E402
from standins.runner import run_case  # noqa: E402

WRITERS = 6
LEAVES_S = 3.0  # a planned release of one replica begins
DEAF_S = 5.0  # the other replica receives nothing from now on ...
DEAF_FOR_S = 6.0  # ... for so long
CRASH_S = 8.0  # the primary crashes ...
CRASH_FOR_S = 7.0  # ... and is back after this
END_S = 18.0


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    began = time.monotonic()
    load = Load(deployment)
    tasks = [asyncio.create_task(load.write_until(n, began + END_S)) for n in range(WRITERS)]
    if trouble:
        await play_trouble(deployment, began)
    await asyncio.gather(*tasks)
    await load.read_back()
    return load.lost_commits()


async def play_trouble(deployment: Deployment, began: float) -> None:
    primary, leaving, deaf = deployment.group.servers
    event = deployment.recorder.event
    await sleep_until(began + LEAVES_S)
    leaving.draining = True
    leaving.register()
    event("draining", server=leaving.server_id)
    await sleep_until(began + DEAF_S)
    deaf.deaf = True
    event("receives_nothing", server=deaf.server_id, position=len(deaf.log))
    await sleep_until(began + CRASH_S)
    positions = {s.server_id: len(s.log) for s in deployment.group.servers}
    primary.crash()
    event("crashed", server=primary.server_id, received=positions)
    await sleep_until(began + DEAF_S + DEAF_FOR_S)
    deaf.deaf = False
    event("receives_again", server=deaf.server_id)
    await sleep_until(began + CRASH_S + CRASH_FOR_S)
    await primary.start()
    event("back", server=primary.server_id)


if __name__ == "__main__":
    size = GroupSize(sync_replicas=1)
    sys.exit(run_case(FOLDER, scenario, lambda recorder: Deployment(recorder, size)))
