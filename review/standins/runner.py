"""Runs a case: its scenario, its verdict and the end of all processes."""

import asyncio
import os
import signal
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import Deployment, Recorder

TIMEOUT_S = 110
CLOSE_S = 0.2  # for the stand-ins to see that the hosts are gone
HELD, BROKEN, NOT_RUN = 0, 1, 2
Scenario = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(
    folder: Path,
    scenario: Scenario,
    create: Callable[[Recorder], Deployment],
    starts_hosts: bool = True,
) -> int:
    """Run a scenario and return the exit status.

    :param scenario: plays the case; returns what broke the rule.
    :param create: creates the deployment.
    :param starts_hosts: whether the hosts are started, and ready, before the scenario.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the hosts are ended all the same
    trouble = os.environ.get("TROUBLE", "1") != "0"
    recorder = Recorder(folder / "record.txt")
    began = time.monotonic()

    async def play() -> list[str]:
        deployment = create(recorder)
        try:
            await (deployment.start() if starts_hosts else deployment.start_platform())
            recorder.event("began", hosts=len(deployment.hosts), trouble=int(trouble))
            return await scenario(deployment, trouble)
        finally:
            deployment.stop()
            await asyncio.sleep(CLOSE_S)

    status = NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(play(), TIMEOUT_S))
        status = BROKEN if broken else HELD
        for line in broken:
            recorder.event("BROKEN", what=line)
            print(f"broken: {line}")
    except Exception as error:  # noqa: BLE001 - whatever it is, the case has not been judged
        recorder.event("not_run", reason=repr(error))
        traceback.print_exc()
    finally:
        recorder.event("ended", status=status, took_s=round(time.monotonic() - began, 1))
        recorder.close()
    print(["held", "broken", "not run"][status])
    return status
