from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.state import ManualClock
from figcrank.transport.streams._interfaces import StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._store_reader import StoreReader


class RefusingStore:
    """Store that rejects calls while ``refuses`` is set."""

    refuses = True

    def list_servers(self):
        if self.refuses:
            raise StoreError(StoreErrorKind.NOT_DONE, "status 429")


def make_reader():
    clock = ManualClock(10_000)
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    log = EventLog("a", clock, len)
    store = RefusingStore()
    return StoreReader(store, None, view, None, clock, log, Metrics()), view, clock, store


def fail(reader, times):
    for _ in range(times):
        try:
            reader.call("list_servers")
        except StoreError:
            continue


def test_delay_until_a_rejected_host_is_eligible_grows_with_failures():
    """Guards against a rejected host becoming first store reader again every second.

    Seen in incident inc-034f: the replacement of an unreachable primary waited for that host.
    """
    reader, view, clock, _ = make_reader()
    fail(reader, 4)
    assert not view.store_ok
    reader.restore_eligibility(clock.now_ms() + 3_900)
    assert not view.store_ok
    reader.restore_eligibility(clock.now_ms() + 4_100)
    assert view.store_ok


def test_successful_call_restores_eligibility_and_resets_the_backoff():
    reader, view, clock, store = make_reader()
    fail(reader, 9)
    store.refuses = False
    reader.call("list_servers")
    assert view.store_ok
    fail(reader, 0)
    assert reader.backoff_ms() == 200


def test_registry_is_not_fresh_soon_after_a_store_outage():
    reader, view, clock, store = make_reader()
    fail(reader, 1)
    store.refuses = False
    reader.call("list_servers")
    view.registry_ms = clock.now_ms()
    assert not reader.registry_is_fresh(clock.now_ms() + 1_000)
    view.registry_ms = clock.now_ms() + 3_000
    assert reader.registry_is_fresh(clock.now_ms() + 3_000)


def make_reader_that_removed(removed_count):
    """Return a store reader of a fleet of five whose remaining hosts respond to it."""
    reader, view, clock, _ = make_reader()
    clock.advance_to(40_000)
    for number in range(2, 6):
        address = (f"10.0.0.{number}", 7000)
        view.peers.register(f"h{number}", address, 10_000)
        if number < 2 + removed_count:
            view.remove_host(address, 40_000)
        else:
            view.receive(Heartbeat(f"h{number}", 1, 5, echo_ms=39_900), address, 40_000)
    return reader


def test_store_reader_confirms_primaries_while_removed_hosts_leave_no_two_thirds():
    """Otherwise the hosts that remain lose their leases though the store is reachable."""
    assert make_reader_that_removed(2).must_confirm(40_000)


def test_store_is_not_read_while_heartbeats_renew_the_leases():
    assert not make_reader_that_removed(0).must_confirm(40_000)
    assert not make_reader_that_removed(1).must_confirm(40_000)
