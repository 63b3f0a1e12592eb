"""Runs a case: its scenario, its verdict and the end of all processes."""

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import CaseError, Deployment, Recorder

TIMEOUT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2
Scenario = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(folder: Path, scenario: Scenario, create: Callable[[Recorder], Deployment]) -> int:
    """Run a scenario and return the exit status.

    :param scenario: plays the case; returns what broke the rule.
    :param create: creates the deployment.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    recorder = Recorder(folder / "record.txt")
    began = time.monotonic()
    deployment = None

    async def play() -> list[str]:
        nonlocal deployment
        deployment = create(recorder)
        await deployment.start()
        recorder.event("ready", hosts=len(deployment.hosts), trouble=int(trouble))
        return await scenario(deployment, trouble)

    status = NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(play(), TIMEOUT_S))
        status = BROKEN if broken else HELD
        for line in broken:
            recorder.event("BROKEN", what=line)
            print(f"broken: {line}")
    except (CaseError, TimeoutError, OSError) as error:
        recorder.event("not_run", reason=repr(error))
        print(f"not run: {error!r}", file=sys.stderr)
    finally:
        if deployment is not None:
            deployment.stop()
        recorder.event("ended", status=status, took_s=round(time.monotonic() - began, 1))
        recorder.close()
    print(["held", "broken", "not run"][status])
    return status
