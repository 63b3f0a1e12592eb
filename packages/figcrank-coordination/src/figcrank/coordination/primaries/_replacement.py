"""When a primary is replaced, by which server, and when the promotion is safe.

A server is promoted only when no host uses the old primary any more, neither for writes nor for
reads that must include every commit. This is the case as soon as one of these conditions holds:

* Every host has reported that it no longer uses the old primary.
* The leases of all hosts that have not reported this must have expired.

The state of the old primary proves nothing. A refused connection shows one host's path. A primary
that was demoted commits nothing, but a host that still has its lease reads there what lacks the
commits of the new one. An interrupted replacement may also have promoted a server that some hosts
use already.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.coordination.primaries._table import LEASE_MS, MAJORITY_LEASE_MS
from figcrank.protocol.heartbeats import NEVER_MS, PrimaryFailure, PrimaryRecord
from figcrank.protocol.sessions import ServerReport
from figcrank.state._catalog import Registry
from figcrank.state._positions import ORIGIN

# A server that refuses connections does not come back within this time.
REFUSED_THRESHOLD_MS = 150
# Longer than the slowest statement usually takes behind a full queue.
SILENT_THRESHOLD_MS = 500
# Below a quarter of the hosts, a promotion disrupts more callers than it helps.
REPORTER_SHARE = 0.25
# Covers the time from a host's lease check to the arrival of the statement at the server.
LEASE_MARGIN_MS = 100
# A partition ends after some seconds; one replacement during it is enough.
RECENT_REPLACEMENT_MS = 3_000
# Share of the hosts that must report a primary to replace it again within RECENT_REPLACEMENT_MS.
RECENT_REPLACEMENT_REPORTER_SHARE = 0.6
# Entries that expired during a store outage are back within two seconds.
MISSING_THRESHOLD_MS = 3_000


class ReplacementReason(Enum):
    """The reason for which a primary is replaced."""

    LEAVING = auto()
    MISSING = auto()
    UNREACHABLE = auto()
    EVACUATED = auto()

    @property
    def is_planned(self) -> bool:
        """Return whether the primary goes on serving until the switch."""
        return self in (ReplacementReason.LEAVING, ReplacementReason.EVACUATED)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations that decide whether a primary is replaced.

    :param record: the record of the primary's group.
    :param registry: the registered servers.
    :param missing_ms: time for which the primary has had no entry in the registry.
    :param record_age_ms: time since the group's record last changed.
    :param registry_is_recent: whether the registry is recent, so that its entries hold.
    :param registry_is_fresh: whether also the store had no recent outage, so that a missing entry
        shows that its server is gone.
    :param own_report: this host's report that the primary fails, if any.
    :param peer_reports: the reports of the live peers, ``None`` for each peer without one.
    :param is_evacuated: whether the primary's availability zone is evacuated.
    """

    record: PrimaryRecord
    registry: Registry
    missing_ms: int
    record_age_ms: int
    registry_is_recent: bool
    registry_is_fresh: bool
    own_report: PrimaryFailure | None
    peer_reports: tuple[PrimaryFailure | None, ...]
    is_evacuated: bool = False


def reason_to_replace(evidence: Evidence) -> ReplacementReason | None:
    """Return the reason to replace the primary now, ``None`` to keep it."""
    entry = evidence.registry.servers.get(evidence.record.server_id)
    if evidence.registry_is_recent and entry is not None and entry.draining:
        return ReplacementReason.LEAVING
    reports = (evidence.own_report, *evidence.peer_reports)
    primary_id = evidence.record.server_id
    reporters = sum(1 for item in reports if item and _exceeds_threshold(item, primary_id))
    host_count = len(reports)
    # Hosts that are cut off from a new primary are cut off from other servers too; wait until the
    # partition ends.
    share = (
        RECENT_REPLACEMENT_REPORTER_SHARE
        if evidence.record_age_ms < RECENT_REPLACEMENT_MS
        else REPORTER_SHARE
    )
    needed = 1 if host_count == 1 else max(2, share * host_count)
    if reporters >= needed:
        return ReplacementReason.UNREACHABLE
    if evidence.registry_is_fresh and entry is None and evidence.missing_ms >= MISSING_THRESHOLD_MS:
        return ReplacementReason.MISSING
    return ReplacementReason.EVACUATED if evidence.is_evacuated else None


def _exceeds_threshold(report: PrimaryFailure, primary_id: str) -> bool:
    if report.server_id != primary_id:
        return False
    return report.failing_ms >= (REFUSED_THRESHOLD_MS if report.refused else SILENT_THRESHOLD_MS)


@dataclass(frozen=True, slots=True)
class FencingState:
    """Observations that decide whether a host may still use a group's old primary.

    A host is quiesced once it no longer uses the old primary.

    :param stored_ms: time at which the replacement was written to the store.
    :param host_count: number of hosts in the fleet, including this one and recently removed ones.
    :param quiesced_host_count: number of quiesced hosts, including this one.
    :param half_quiesced_since_ms: time since which at least half of the hosts are quiesced, so that
        those which may still use it are not a majority; ``NEVER_MS`` if fewer are.
    :param third_quiesced_since_ms: time since which at least a third of the hosts are quiesced;
        ``NEVER_MS`` if fewer are.
    """

    stored_ms: int
    host_count: int
    quiesced_host_count: int
    half_quiesced_since_ms: int
    third_quiesced_since_ms: int


def may_promote(state: FencingState, now_ms: int) -> bool:
    """Return whether it is safe to promote another server now."""
    if state.quiesced_host_count >= state.host_count:
        return True
    majority_lease_expired = now_ms - state.stored_ms >= MAJORITY_LEASE_MS + LEASE_MARGIN_MS
    if majority_lease_expired and state.third_quiesced_since_ms != NEVER_MS:
        return now_ms - state.third_quiesced_since_ms >= LEASE_MS
    if state.half_quiesced_since_ms == NEVER_MS:
        return False
    return now_ms - max(state.stored_ms, state.half_quiesced_since_ms) >= LEASE_MS


def rank_candidates(
    reports: Iterable[tuple[str, ServerReport]],
    leaving: Set[str],
    cold: Set[str] = frozenset(),
) -> list[tuple[str, ServerReport]]:
    """Return the candidates for promotion, the one with the most complete log first.

    Servers that are about to leave come last, however complete their logs are. Of those with the
    same position, the ones that have just started come last.

    :param reports: ``(server id, status report)`` of each candidate.
    :param leaving: ids of the servers that are about to leave.
    :param cold: ids of the servers that are slow because they started a short time ago.
    """

    def rank(item: tuple[str, ServerReport]) -> tuple:
        server_id, report = item
        position = report.position or ORIGIN
        return server_id not in leaving, position, server_id not in cold, server_id

    return sorted(reports, key=rank, reverse=True)
