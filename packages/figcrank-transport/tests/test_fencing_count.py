from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import Heartbeat, PrimaryRecord
from figcrank.state import ManualClock
from figcrank.transport.streams._replacer import PrimaryReplacer

MOVING = PrimaryRecord(2, 1, "s1", moving=True)


def make_replacer(peer_count):
    clock = ManualClock(20_000)
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    view.merge_primary("g", MOVING, clock.now_ms())
    view.quiesced_groups.add("g")
    for number in range(2, 2 + peer_count):
        view.peers.register(f"h{number}", (f"10.0.0.{number}", 7000), 0)
    unused = (None,) * 4
    replacer = PrimaryReplacer(view, *unused, codec=None, clock=clock, log=None, metrics=None)
    return replacer, view, clock


def test_removed_host_is_not_taken_for_quiesced():
    """Guards against a promotion without waiting for the leases of hosts beyond a partition."""
    replacer, view, clock = make_replacer(peer_count=3)
    for number in (3, 4):
        view.remove_host((f"10.0.0.{number}", 7000), clock.now_ms())
    assert replacer._count_quiesced_hosts("g", {"h2", "h3"}) == (4, 2)


def test_planned_switch_does_not_wait_for_removed_hosts():
    replacer, view, clock = make_replacer(peer_count=2)
    heartbeat = Heartbeat("h2", 1, 5, primaries={"g": MOVING}, quiesced_groups=("g",))
    view.receive(heartbeat, ("10.0.0.2", 7000), clock.now_ms())
    view.remove_host(("10.0.0.3", 7000), clock.now_ms())
    replacer._await_quiesced("g", 1_000)  # fails without a router if it waits
