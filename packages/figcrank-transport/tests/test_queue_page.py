"""The page that shows the queues of a database group, and its bounds."""

import eventlet
import msgspec
import pytest

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.queues import (
    MAX_REFUSAL_ROWS,
    MAX_SERVERS,
    MAX_WAITING_ROWS,
    GroupQueues,
    RefusalCount,
)
from figcrank.state import ManualClock, revision_of
from figcrank.state._catalog import Registry, ServerEntry
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._queue_page import QueuePage
from figcrank.transport.streams._refusals import RefusalRecorder
from figcrank.transport.streams._router import Router


class Scenario:
    """An owner with servers of group g; the slots of each are taken by a transaction."""

    def __init__(self, servers=1):
        self.clock = ManualClock(0)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        self.view.role = HostRole.OWNER
        metrics = Metrics()
        log = EventLog("a", self.clock, len)
        self.router = Router(self.view, None, self.clock, "zone-a", log, metrics)
        entries = {
            f"s{n:03}": ServerEntry(f"s{n:03}", "g", f"10.1.0.{n}:80", "zone-a", 5, False, False)
            for n in range(servers)
        }
        entries["other"] = ServerEntry("other", "h", "10.1.1.1:80", "zone-a", 5, False, False)
        self.view.adopt_registry(Registry(revision_of(1, 1), entries), 0, 0, from_peer=False)
        self.view.primary_table.merge("g", PrimaryRecord(4, 2, "s000"), 0)
        for server_id in entries:
            pool = self.router.pool(server_id)
            pool.limit = 2
            pool._opening["busy"] = 2
        self.refusals = RefusalRecorder(self.clock, metrics)
        self.page = QueuePage(self.router, self.refusals, self.clock)
        self.greenlets = []

    def wait(self, workspace, server_id="s000"):
        demand = Demand(workspace, "r read", (0, 0), self.clock.now_ms(), 60_000, 60_000)
        pool = self.router.pool(server_id)
        self.greenlets.append(eventlet.spawn(pool.acquire, demand, {}))
        eventlet.sleep(0)

    def read(self, group="g"):
        status, body = self.page.render({"group": group})
        assert status == 200
        return msgspec.json.decode(body, type=GroupQueues)


@pytest.fixture
def make_scenario():
    made = []

    def make(servers=1):
        made.append(Scenario(servers))
        return made[-1]

    yield make
    for scenario in made:
        for greenlet in scenario.greenlets:
            greenlet.kill()


def test_page_shows_queues_limits_drain_rate_and_refusals_of_its_group_only(make_scenario):
    scenario = make_scenario()
    for workspace in ("w", "v", "w"):
        scenario.wait(workspace)
    scenario.wait("w", "other")
    scenario.refusals.record("g", "w", RefusalReason.DEADLINE)
    scenario.refusals.record("h", "w", RefusalReason.DEADLINE)
    for _ in range(50):
        scenario.router.pool("s000").service_use.record("w", 20, 0)
    scenario.clock.advance_to(1_000)
    page = scenario.read()
    assert (page.host, page.group, page.is_owner) == ("a", "g", True)
    (server,) = page.servers
    assert (server.server, server.is_primary, server.waiting) == ("s000", True, 3)
    assert (server.in_flight, server.max_in_flight) == (2, 2)
    assert (server.statements_per_s, server.service_ms_per_s) == (50, 1_000)
    waiting = [(r.kind, r.workspace, r.count, r.oldest_ms) for r in page.waiting]
    assert waiting == [("r read", "w", 2, 1_000), ("r read", "v", 1, 1_000)]
    assert page.refusals == (RefusalCount("deadline", "w", 1),)


def test_page_counts_what_waits_for_a_primary(make_scenario):
    """Guards against a page that shows nothing while a primary is replaced."""
    scenario = make_scenario()
    scenario.view.has_lease = lambda _now_ms: True
    scenario.view.primary_table.merge("g", PrimaryRecord(5, 2, "s000", moving=True), 0)
    wait = scenario.router.await_primary
    scenario.greenlets.append(eventlet.spawn(wait, "g", 60_000, 0))
    eventlet.sleep(0)
    assert scenario.read().awaiting_primary == 1


def test_page_is_bounded(make_scenario):
    """Guards against a page that grows with the workspaces and servers of a group."""
    scenario = make_scenario(MAX_SERVERS + 5)
    for number in range(MAX_WAITING_ROWS + 3):
        scenario.wait(f"w{number}")
    for number in range(MAX_REFUSAL_ROWS + 4):
        scenario.refusals.record("g", f"w{number}", RefusalReason.DEADLINE)
    page = scenario.read()
    assert len(page.servers) == MAX_SERVERS
    assert (len(page.waiting), page.waiting_unlisted) == (MAX_WAITING_ROWS, 3)
    assert (len(page.refusals), page.refusals_unlisted) == (MAX_REFUSAL_ROWS, 4)


def test_group_that_the_host_does_not_know_is_empty_and_a_missing_name_an_error(make_scenario):
    scenario = make_scenario()
    assert scenario.read("absent").servers == ()
    assert scenario.page.render({})[0] == 404
