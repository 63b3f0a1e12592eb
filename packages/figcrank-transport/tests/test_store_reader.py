from figcrank.coordination.fleet import FleetView
from figcrank.state import ManualClock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._ports import StoreError, StoreErrorKind
from figcrank.transport.streams._store_reader import StoreReader


class RefusingStore:
    """A store that turns this host away until it is told otherwise."""

    refuses = True

    def list_servers(self):
        if self.refuses:
            raise StoreError(StoreErrorKind.NOT_DONE, "status 429")


def make_loop():
    clock = ManualClock(10_000)
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    log = EventLog("a", clock, len)
    store = RefusingStore()
    return StoreReader(store, None, view, None, clock, log, Metrics()), view, clock, store


def fail(loop, times):
    for _ in range(times):
        try:
            loop.call("list_servers")
        except StoreError:
            continue


def test_a_host_that_the_store_turns_away_offers_itself_less_and_less():
    """Seen on inc-034f: it offered itself each second, and a dark primary waited for it."""
    loop, view, clock, _ = make_loop()
    fail(loop, 4)
    assert not view.store_ok
    loop.restore_eligibility(clock.now_ms() + 3_900)
    assert not view.store_ok
    loop.restore_eligibility(clock.now_ms() + 4_100)
    assert view.store_ok


def test_one_answer_makes_it_fit_at_once():
    loop, view, clock, store = make_loop()
    fail(loop, 9)
    store.refuses = False
    loop.call("list_servers")
    assert view.store_ok
    fail(loop, 0)
    assert loop.backoff_ms() == 200


def test_a_registry_read_soon_after_an_outage_names_no_server_as_gone():
    loop, view, clock, store = make_loop()
    fail(loop, 1)
    store.refuses = False
    loop.call("list_servers")
    view.registry_ms = clock.now_ms()
    assert not loop.registry_is_fresh(clock.now_ms() + 1_000)
    view.registry_ms = clock.now_ms() + 3_000
    assert loop.registry_is_fresh(clock.now_ms() + 3_000)
