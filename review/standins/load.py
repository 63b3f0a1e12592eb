"""Clients that write and read, and the check of what a promotion has lost."""

import asyncio
import random
import time

from standins.clients import PROMISES, Session, SessionError, new_id
from standins.deployment import KEYS, Deployment

WRITE_INTERVAL_S = 0.08
QUERY_TIMEOUT_S = 4.0
READ_BACK_SESSIONS = 8


class Load:
    """Clients of a deployment, which connect again to another ready host after a failure.

    :param deployment: the deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.acknowledged: dict[str, tuple[float, str, str]] = {}  # time, item, data by id
        self.reads_served = 0
        self.refused = 0
        self._deployment = deployment
        self._record = deployment.recorder.event

    async def write_until(self, number: int, end: float, database: str = "assign") -> None:
        """Write one item after the other, each in a single statement."""
        await self._repeat(number, end, database, WRITE_INTERVAL_S, self._write)

    async def read_until(self, number: int, end: float, pause_s: float, database: str) -> None:
        """Read items that were written before."""
        await self._repeat(number, end, database, pause_s, self._read)

    async def _repeat(self, number, end, database, pause_s, operation) -> None:  # noqa: ANN001
        session, turn = None, number
        key = list(KEYS.values())[number % len(KEYS)]
        while time.monotonic() < end:
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            try:
                if session is None:
                    hosts = self._deployment.hosts_for_clients()
                    turn += 1
                    session = await Session.open(hosts[turn % len(hosts)], database, key)
                await operation(session)
            except SessionError as error:
                self._record("session_lost", client=number, reason=str(error))
                session = None
        if session is not None:
            session.close()

    async def _write(self, session: Session) -> None:
        request_id = new_id()
        item, data = f"item-{request_id}", f"data-{request_id}"
        answer = await session.query(f"WRITE {item} {data}", request_id, QUERY_TIMEOUT_S)
        code = answer.code
        if code == "OK":
            self.acknowledged[request_id] = (time.monotonic(), item, data)
        self.refused += code != "OK"
        self._record("write", id=request_id, answer=code, promise=int(code in PROMISES))

    async def _read(self, session: Session) -> None:
        request_id = new_id()
        answer = await session.query("READ item-any", request_id, QUERY_TIMEOUT_S)
        self.reads_served += answer.code == "OK"
        self.refused += answer.code != "OK"
        self._record("read", id=request_id, answer=answer.code)

    def lost_commits(self) -> list[str]:
        """Return what was acknowledged and is not in the log of a server that was promoted."""
        broken = []
        for promotion in self._deployment.group.promotions:
            log = set(promotion.log)
            before = [i for i, (at, _, _) in self.acknowledged.items() if at < promotion.at]
            lost = [request_id for request_id in before if request_id not in log]
            for request_id in lost:
                self._record("lost", id=request_id, promoted=promotion.server_id)
            if lost:
                broken.append(
                    f"LOST: {len(lost)} commits that clients saw acknowledged aren't in the log"
                    f" of {promotion.server_id}, promoted to term {promotion.term}"
                )
        self._record("acknowledged", commits=len(self.acknowledged), reads=self.reads_served)
        return broken

    async def read_back(self) -> None:
        """Record how many of the acknowledged items a client no longer finds at the primary."""
        hosts = self._deployment.hosts_for_clients()
        pending, missing = list(self.acknowledged.values()), 0

        async def read_some() -> None:
            nonlocal missing
            session = await Session.open(hosts[0], "assign", list(KEYS.values())[0])
            while pending:
                _, item, data = pending.pop()
                answer = await session.query(f"READ {item}", new_id(), QUERY_TIMEOUT_S)
                missing += answer.code == "OK" and answer.rows != [data]
            session.close()

        try:
            await asyncio.gather(*(read_some() for _ in range(READ_BACK_SESSIONS)))
        except SessionError as error:
            self._record("not_read_back", reason=str(error))
        else:
            self._record("read_back", items=len(self.acknowledged), missing=missing)


async def sleep_until(at: float) -> None:
    """Sleep until a time of the steady clock."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))
