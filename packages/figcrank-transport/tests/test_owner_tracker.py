from figcrank.coordination.owners import OwnerDirectory
from figcrank.protocol.owners import Owner, OwnerStatus
from figcrank.state import ManualClock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._owner_tracker import QUERY_INTERVAL_MS, OwnerTracker

OWNERS = tuple(Owner(f"o{n}", (f"127.0.0.{n}", 7000), "zone-a") for n in (1, 2, 3))


class Scenario:
    def __init__(self):
        self.clock = ManualClock(10_000)
        log = EventLog("relay", self.clock, len)
        self.tracker = OwnerTracker(OwnerDirectory("zone-a"), 7002, "127.0.0.1", self.clock, log)
        self.tracker._socket.close()
        self.queried = []
        self.tracker.query = self.queried.append

    def answer(self, ip, owners, accepts=True):
        self.tracker._receive(OwnerStatus("host", accepts, 5, owners), ip)


def test_first_list_is_taken_from_any_host_and_later_ones_from_owners_only():
    """A relay, or a host that has lost its seat, may know an outdated list."""
    scenario = Scenario()
    scenario.answer("127.0.0.9", OWNERS[:1])
    assert scenario.tracker.owners() == list(OWNERS[:1])
    scenario.answer("127.0.0.9", OWNERS[1:])
    assert scenario.tracker.owners() == list(OWNERS[:1])
    scenario.answer("127.0.0.1", OWNERS)
    assert scenario.tracker.owners() == list(OWNERS)


def test_one_owner_is_queried_at_each_interval():
    scenario = Scenario()
    for owner in OWNERS:
        scenario.answer(owner.address[0], OWNERS)
    for now_ms in range(10_000, 10_000 + 3 * QUERY_INTERVAL_MS, 250):
        scenario.tracker.check(now_ms)
    assert sorted(scenario.queried) == [owner.address[0] for owner in OWNERS]


def test_owner_that_did_not_accept_sessions_yet_is_queried_at_each_check():
    """A relay that starts with the owners asked them once in several intervals, and sent sessions
    without options until then.
    """
    scenario = Scenario()
    scenario.answer("127.0.0.1", OWNERS[:2])
    scenario.answer("127.0.0.2", OWNERS[:2], accepts=False)
    scenario.tracker.check(10_000)
    scenario.queried.clear()
    scenario.tracker.check(10_250)
    assert "127.0.0.2" in scenario.queried
    scenario.answer("127.0.0.2", OWNERS[:2])
    scenario.queried.clear()
    scenario.tracker.check(10_500)
    assert not scenario.queried


def test_relay_is_unusable_until_an_owner_accepts_sessions_again():
    scenario = Scenario()
    scenario.answer("127.0.0.1", OWNERS[:1], accepts=False)
    assert not scenario.tracker.is_usable()
    scenario.tracker.check(10_250)
    assert scenario.queried == ["127.0.0.1"]
    scenario.answer("127.0.0.1", OWNERS[:1])
    assert scenario.tracker.is_usable()


def test_version_that_an_owner_reports_counts_as_seen():
    """Guards against a relay whose callers an owner refuses by an older configuration.

    The owner compares its version with the newest that the relay has seen.
    """
    scenario = Scenario()
    scenario.answer("127.0.0.1", OWNERS)
    assert scenario.tracker.seen_version == 5
