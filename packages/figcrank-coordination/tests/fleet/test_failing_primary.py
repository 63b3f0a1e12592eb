"""Replays a primary that turns dark: what bounded reads may still use, and what is refused."""

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.fleet._view import STORE_AWAY_MS
from figcrank.coordination.primaries import SILENT_THRESHOLD_MS
from figcrank.protocol.heartbeats import Heartbeat, PrimaryFailure, PrimaryRecord
from figcrank.state import Position

BOUND_MS = 1_500
DARK_MS = 10_000
NEWEST = Position(3, 60)
OLDER = Position(3, 50)


def heartbeat(number, now_ms, failing=True, position=OLDER, server="s1", **fields):
    failures = {"g": PrimaryFailure(server, 700, False)} if failing else {}
    return Heartbeat(
        f"h{number}",
        1,
        now_ms,
        echo_ms=now_ms - 20,
        observed={"g": (position, 3_500)},
        primary_failures=failures,
        **fields,
    )


class Fleet:
    """Owner ``h1`` of three, whose primary turned dark at ``DARK_MS``."""

    def __init__(self):
        self.view = FleetView("h1", 1, ("10.0.0.1", 7000))
        self.view.merge_primary("g", PrimaryRecord(1, 3, "s1"), 0)
        for number in (2, 3):
            self.view.peers.register(f"h{number}", (f"10.0.0.{number}", 7000), 0)
        self.view.position_history("g").observe(DARK_MS, Position(3, 55))
        self.view.primary_failures = {"g": PrimaryFailure("s1", SILENT_THRESHOLD_MS, False)}
        self.view.registry_ms = DARK_MS

    def receive(self, number, beat, now_ms):
        self.view.receive(beat, (f"10.0.0.{number}", 7000), now_ms)

    def required(self, now_ms):
        self.view.observe_failing_primary("g", now_ms)
        return self.view.position_history("g").required_position(now_ms, BOUND_MS)


def test_bounded_reads_go_on_at_the_newest_position_that_any_owner_observed():
    fleet = Fleet()
    now_ms = DARK_MS + 3_000
    assert fleet.required(now_ms) is None
    fleet.receive(2, heartbeat(2, now_ms, position=NEWEST), now_ms)
    fleet.receive(3, heartbeat(3, now_ms), now_ms)
    assert fleet.required(now_ms) == NEWEST
    assert fleet.required(now_ms + BOUND_MS) is None


@pytest.mark.parametrize(
    "other",
    [
        {"failing": False},
        {"server": "s2"},
        {"position": Position(4, 70)},
        {"primaries": {"g": PrimaryRecord(3, 3, "s1", moving=True)}},
    ],
)
def test_no_position_is_assumed_unless_every_owner_reports_the_same_primary_failing(other):
    """Without this guard a read could miss a commit that the other owner acknowledged."""
    fleet = Fleet()
    now_ms = DARK_MS + 3_000
    fleet.receive(2, heartbeat(2, now_ms), now_ms)
    fleet.receive(3, heartbeat(3, now_ms, **other), now_ms)
    assert fleet.required(now_ms) is None


def test_no_position_is_assumed_while_an_owner_is_silent():
    fleet = Fleet()
    now_ms = DARK_MS + 5_000
    fleet.receive(3, heartbeat(3, DARK_MS + 3_000), DARK_MS + 3_000)
    fleet.receive(2, heartbeat(2, now_ms), now_ms)
    assert fleet.required(now_ms) is None


def test_age_of_the_position_is_that_of_the_oldest_report():
    fleet = Fleet()
    fleet.receive(2, heartbeat(2, DARK_MS + 2_000), DARK_MS + 2_000)
    fleet.receive(3, heartbeat(3, DARK_MS + 3_000), DARK_MS + 3_000)
    assert fleet.required(DARK_MS + 3_000) == Position(3, 55)
    newest_ms, _ = fleet.view.position_history("g").newest()
    assert newest_ms == DARK_MS + 2_000 - 20


def test_primary_is_irreplaceable_once_the_store_is_away_too():
    view = Fleet().view
    assert not view.primary_is_irreplaceable("g", DARK_MS + STORE_AWAY_MS)
    assert view.primary_is_irreplaceable("g", DARK_MS + STORE_AWAY_MS + 1)
    view.primary_failures = {"g": PrimaryFailure("s1", SILENT_THRESHOLD_MS - 1, False)}
    assert not view.primary_is_irreplaceable("g", DARK_MS + STORE_AWAY_MS + 1)


def test_primary_under_replacement_is_waited_for():
    view = Fleet().view
    view.merge_primary("g", PrimaryRecord(3, 3, "s1", moving=True), DARK_MS)
    assert not view.primary_is_irreplaceable("g", DARK_MS + 10 * STORE_AWAY_MS)
