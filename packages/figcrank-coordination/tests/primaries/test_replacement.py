from dataclasses import replace

import pytest

from figcrank.coordination.primaries import (
    LEASE_MS,
    MAJORITY_LEASE_MS,
    Evidence,
    FencingState,
    ReplacementReason,
    may_promote,
    rank_candidates,
    reason_to_replace,
)
from figcrank.protocol.heartbeats import NEVER_MS, PrimaryFailure, PrimaryRecord
from figcrank.protocol.sessions import ServerReport
from figcrank.state import Position
from figcrank.state._catalog import Registry, ServerEntry


def entry(server_id, draining=False, claims_primary=False):
    return ServerEntry(server_id, "g", "10.1.0.1:80", "a", 5, draining, claims_primary)


def registry(*entries):
    return Registry(1, {item.server_id: item for item in entries})


def evidence(
    own=None,
    peers=(None,) * 7,
    servers=None,
    missing_ms=0,
    fresh=True,
    record_age_ms=60_000,
    recent=True,
):
    known = registry(entry("p"), entry("r")) if servers is None else servers
    record = PrimaryRecord(0, 1, "p")
    return Evidence(record, known, missing_ms, record_age_ms, recent, fresh, own, peers)


SILENT = PrimaryFailure("p", 600, refused=False)
REFUSED = PrimaryFailure("p", 200, refused=True)


def test_responding_primary_is_kept():
    assert reason_to_replace(evidence()) is None


def test_draining_primary_is_replaced_at_once():
    servers = registry(entry("p", draining=True), entry("r"))
    assert reason_to_replace(evidence(servers=servers)) is ReplacementReason.LEAVING


def test_draining_primary_is_replaced_by_a_host_that_has_just_started():
    """Guards against a fleet whose hosts all restart, and each of which waits before it acts."""
    servers = registry(entry("p", draining=True), entry("r"))
    assert reason_to_replace(evidence(servers=servers, fresh=False)) is ReplacementReason.LEAVING


def test_primary_that_was_draining_in_an_old_registry_is_kept():
    servers = registry(entry("p", draining=True), entry("r"))
    assert reason_to_replace(evidence(servers=servers, fresh=False, recent=False)) is None


def test_report_of_a_single_host_is_not_enough():
    assert reason_to_replace(evidence(own=SILENT)) is None


def test_reports_of_a_quarter_of_the_hosts_are_enough():
    peers = (SILENT, *(None,) * 6)
    assert reason_to_replace(evidence(own=SILENT, peers=peers)) is ReplacementReason.UNREACHABLE


def test_new_primary_is_not_replaced_again_during_a_partition():
    """Seen in a simulated day: hosts that a partition cut off from the old primary could not reach
    the new one either, and the reports of four of nine hosts replaced it again.
    """
    peers = (SILENT,) * 3 + (None,) * 4
    assert reason_to_replace(evidence(own=SILENT, peers=peers, record_age_ms=1_000)) is None
    assert reason_to_replace(evidence(own=SILENT, peers=peers)) is ReplacementReason.UNREACHABLE
    crashed = (SILENT,) * 7
    case = evidence(own=SILENT, peers=crashed, record_age_ms=1_000)
    assert reason_to_replace(case) is ReplacementReason.UNREACHABLE


def test_single_host_fleet_needs_only_its_own_report():
    assert reason_to_replace(evidence(own=REFUSED, peers=())) is ReplacementReason.UNREACHABLE


def test_reports_about_an_earlier_primary_do_not_count():
    """Seen in a simulated day: failure reports about the old primary that were sent before a
    promotion were counted against the new primary, which was then replaced too.
    """
    old = PrimaryFailure("earlier", 5_000, refused=True)
    assert reason_to_replace(evidence(own=old, peers=(old,) * 7)) is None


def test_short_silence_does_not_count():
    short = PrimaryFailure("p", 300, refused=False)
    assert reason_to_replace(evidence(own=short, peers=(short,) * 7)) is None


@pytest.mark.parametrize(("missing_ms", "fresh"), [(2_900, True), (60_000, False)])
def test_entry_that_expired_during_a_store_outage_does_not_replace_a_primary(missing_ms, fresh):
    case = evidence(servers=registry(entry("r")), missing_ms=missing_ms, fresh=fresh)
    assert reason_to_replace(case) is None


def test_primary_without_an_entry_is_replaced():
    case = evidence(servers=registry(entry("r")), missing_ms=3_100)
    assert reason_to_replace(case) is ReplacementReason.MISSING


def fence(**changes):
    fields = {
        "stored_ms": 1_000,
        "host_count": 8,
        "quiesced_host_count": 3,
        "half_quiesced_since_ms": NEVER_MS,
        "third_quiesced_since_ms": 1_000,
    }
    return FencingState(**{**fields, **changes})


def test_promotion_waits_while_a_majority_may_use_the_old_primary():
    assert not may_promote(fence(), 1_000 + MAJORITY_LEASE_MS)
    assert may_promote(fence(), 1_100 + MAJORITY_LEASE_MS)


def test_fewer_than_a_third_of_the_hosts_never_promote():
    """The remaining hosts keep their lease on the primary during a store outage of any length."""
    assert not may_promote(fence(quiesced_host_count=2, third_quiesced_since_ms=NEVER_MS), 900_000)


def test_promotion_waits_one_lease_after_a_third_became_quiesced():
    case = fence(third_quiesced_since_ms=60_000)
    assert not may_promote(case, 60_000 + LEASE_MS - 1)
    assert may_promote(case, 60_000 + LEASE_MS)


def test_promotion_is_safe_once_no_host_uses_the_old_primary():
    assert not may_promote(fence(quiesced_host_count=7), 1_000)
    assert may_promote(fence(quiesced_host_count=8), 1_000)


def test_leases_of_silent_hosts_expire_before_the_promotion():
    case = fence(quiesced_host_count=7, half_quiesced_since_ms=1_200)
    assert not may_promote(case, 1_200 + LEASE_MS - 1)
    assert may_promote(case, 1_200 + LEASE_MS)


def report(offset, term=1, is_primary=False):
    return ServerReport(is_primary, term, Position(term, offset))


def test_server_with_the_most_complete_log_is_promoted():
    reports = [("a", report(10)), ("b", report(12)), ("c", report(11))]
    assert rank_candidates(reports, set())[0][0] == "b"


def test_leaving_server_is_ranked_last():
    reports = [("a", report(10)), ("b", report(10))]
    assert [server_id for server_id, _ in rank_candidates(reports, {"b"})] == ["a", "b"]


def test_cold_server_is_not_promoted_while_a_warm_one_has_the_same_position():
    """Guards against a primary that serves a tenth of its load because it has just started."""
    reports = [("a", report(10)), ("b", report(10))]
    assert [server_id for server_id, _ in rank_candidates(reports, set(), {"b"})] == ["a", "b"]


def test_cold_server_with_the_most_complete_log_is_promoted():
    """Guards against a lost commit for the sake of a warm server."""
    reports = [("a", report(10)), ("b", report(11))]
    assert rank_candidates(reports, set(), {"b"})[0][0] == "b"


def test_evacuated_primary_is_replaced_and_an_unreachable_one_without_the_planned_steps():
    """A planned switch waits for the old primary, which an unreachable one would only delay."""
    evacuated = replace(evidence(), is_evacuated=True)
    assert reason_to_replace(evidence()) is None
    assert reason_to_replace(evacuated) is ReplacementReason.EVACUATED
    assert ReplacementReason.EVACUATED.is_planned
    unreachable = replace(evacuated, own_report=SILENT, peer_reports=(SILENT, SILENT))
    assert reason_to_replace(unreachable) is ReplacementReason.UNREACHABLE
    assert not ReplacementReason.UNREACHABLE.is_planned
