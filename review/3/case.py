"""A key moves to another tenant while one of its transactions is open."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.clients import Session, SessionError, new_id  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.load import sleep_until  # noqa: E402
from standins.runner import run_case  # noqa: E402

REVOKE_S = 5.0  # revokeMs; configApplyMs is 3 s
STATEMENTS = 10  # of one transaction, beside BEGIN and COMMIT
PAUSE_S = 0.62  # between them; the client's time limit on this route is 8 s
CHANGE_S = 0.4  # after the transaction began
MOVED = {"tenant-1": [], "tenant-2": ["key-two", "key-one"]}


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Move the key while transactions are open; count what then runs for the former tenant."""
    acked = {"at": float("inf")}
    tasks = [
        asyncio.create_task(run_transaction(deployment, host, number))
        for number, host in enumerate(deployment.hosts)
    ]
    if trouble:
        await sleep_until(time.monotonic() + CHANGE_S)
        deployment.configure(MOVED)
        acked["at"] = time.monotonic()
    sent = {key: value for found in await asyncio.gather(*tasks) for key, value in found.items()}
    broken = 0
    for _, server_id, caller, request_id in deployment.group.runs:
        late_s = sent.get(request_id, 0.0) - acked["at"]
        deployment.recorder.event("run", server=server_id, tenant=caller, id=request_id)
        if late_s > REVOKE_S and caller != "tenant-2":
            broken += 1
            deployment.recorder.event("late", id=request_id, tenant=caller, s=round(late_s, 2))
    if not broken:
        return []
    return [
        f"UNASKED, CONFIG: {broken} statements sent later than {REVOKE_S} s after the ack of"
        " the version by which tenant-2 holds the client's key were run for tenant-1"
    ]


async def run_transaction(deployment: Deployment, host, number: int) -> dict[str, float]:  # noqa: ANN001
    """Run one transaction with pauses; return when each request was sent."""
    record, sent = deployment.recorder.event, {}
    session = await Session.open(host, "lookup", "key-one")
    texts = ["BEGIN READ", *(f"READ item-{number}-{step}" for step in range(STATEMENTS))]
    for text in [*texts, "COMMIT"]:
        request_id = new_id()
        sent[request_id] = time.monotonic()
        try:
            answer = await session.query(text, request_id, 4.0)
        except SessionError as error:
            record("session_ended", host=host.name, id=request_id, reason=str(error))
            break
        record("answer", host=host.name, id=request_id, text=f"'{text}'", code=answer.code)
        if answer.code != "OK":
            break
        await asyncio.sleep(PAUSE_S)
    session.close()
    return sent


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, scenario, Deployment))
